package leasedcheck

import (
	"fmt"
	"testing"
	"time"
)

// pairRun is a run in which an entry and an agent of one of its jobs fail, the agent some time
// after the caller's connection has ended. The caller sends the job to another entry as soon as
// it may. Runs of that entry keep the leases of all workers renewed.
type pairRun struct {
	failEntry func(w *World, t *attempt)
	failAgent func(w *World, a *agentNode)
	delay     time.Duration
	// queued: the job's order waits for capacity when the entry fails.
	queued bool
}

// run returns the violated promises, and whether the second entry has started the job.
func (p pairRun) run(o Options) (violations []string, restarted bool) {
	w := newWorld(o)
	w.runFor(2 * time.Second)
	for range w.agents {
		w.submitSized(w.entries[1], 10*time.Second, defaultCapacity/10)
		if p.queued {
			w.submit(w.entries[1], 400*time.Millisecond+w.jitter(220*time.Millisecond))
		}
		w.runFor(20 * time.Millisecond) // reports arrive, so each worker gets one
	}
	t := w.submit(w.entries[0], 4*time.Second)
	if p.queued {
		w.runFor(20 * time.Millisecond)
	} else {
		for !w.checker.started[t.c.id] {
			if w.step(); t.finished {
				return []string{"the job ended before its entry failed"}, false
			}
		}
		w.runFor(w.jitter(500 * time.Millisecond)) // the entry sends frames meanwhile
	}
	t.finished = true
	p.failEntry(w, t)
	w.schedule(p.delay, func() {
		if holder := w.holder(t); holder != nil {
			w.trace("%s fails", holder.name)
			p.failAgent(w, holder)
		}
	})
	startedBefore := 0
	w.schedule(resendDelay, func() {
		startedBefore = w.checker.starts[firstTask(t)]
		t.c.attempts++
		t.c.request(w.entries[1])
	})
	w.runFor(resendDelay + time.Second)
	return w.checker.r.Violations, w.checker.starts[firstTask(t)] > startedBefore
}

// firstTask returns the name of the first task of the attempt's job.
func firstTask(t *attempt) string { return t.c.id + ".0.0.0" }

// holder returns the agent whose worker runs the first task of the attempt's job.
func (w *World) holder(t *attempt) *agentNode {
	for s := range w.checker.running[firstTask(t)] {
		return s.a
	}
	return nil
}

// isolate cuts an entry off from all agents for a while.
func (w *World) isolate(e *entryNode, d time.Duration) {
	for _, a := range w.agents {
		a.partitions[e.index] = w.now.Add(d)
	}
}

const longerThanTheRun = 20 * time.Second

// Failures of an entry at the moment at which the caller's connection ends.
var entryFailures = map[string]func(w *World, t *attempt){
	"is killed": func(_ *World, t *attempt) { t.e.kill() },
	"loses power": func(w *World, t *attempt) {
		w.isolate(t.e, longerThanTheRun)
		t.e.frozenUntil = w.now.Add(longerThanTheRun)
	},
	"is cut off, and notices that the caller has left": func(w *World, t *attempt) {
		w.isolate(t.e, longerThanTheRun)
		t.notifyEntry()
	},
	"is cut off after its answer": func(w *World, t *attempt) {
		w.isolate(t.e, longerThanTheRun)
		t.e.decide(func(now time.Time) { t.e.core.Cancel(now, t.c.job.Queue.Name, t.c.id) })
	},
	"loses its links, and notices that the caller has left": func(w *World, t *attempt) {
		t.notifyEntry()
		for _, a := range w.agents {
			if c := a.conns[t.e.index]; c != nil {
				c.closeByEntry()
			}
		}
	},
	"loses its links, and again after the next handshake": func(w *World, t *attempt) {
		w.isolate(t.e, 300*time.Millisecond)
		t.notifyEntry()
		for _, a := range w.agents {
			a.conns[t.e.index].closeByAgent()
			w.whenAnswered(a, t.e, func() { a.partitions[t.e.index] = w.now.Add(longerThanTheRun) })
		}
	},
	"stalls, and is cut off before it notices that the caller has left": func(w *World, t *attempt) {
		t.e.frozenUntil = w.now.Add(w.times.MaxStall)
		w.schedule(w.times.MaxStall+time.Millisecond, func() { w.isolate(t.e, longerThanTheRun) })
	},
}

// whenAnswered calls f when an entry has answered an agent's next handshake, before the answer
// arrives.
func (w *World) whenAnswered(a *agentNode, e *entryNode, f func()) {
	before := a.epoch
	var check func()
	check = func() {
		if c := a.conns[e.index]; c != nil && c.epoch > before && c.entryOpen {
			f()
			return
		}
		w.schedule(100*time.Microsecond, check)
	}
	check()
}

// Failures of an agent.
var agentFailures = map[string]func(w *World, a *agentNode){
	"freezes":   func(w *World, a *agentNode) { a.frozenUntil = w.now.Add(1500 * time.Millisecond) },
	"is killed": func(_ *World, a *agentNode) { a.kill() },
	"loses its worker": func(w *World, a *agentNode) {
		a.worker.silentUntil = w.now.Add(longerThanTheRun)
	},
	"has its calls lost": func(w *World, a *agentNode) { a.worker.lossyUntil = w.now.Add(longerThanTheRun) },
}

// An entry fails when its caller's connection ends, and the agent of its job at some moment
// within the time after which the caller sends the job again. Guards against two runs at a time
// when the entry timeout and the lease follow each other.
func TestPromisesHoldWhenEntryAndAgentFail(t *testing.T) {
	t.Parallel()
	for entryFailure, failEntry := range entryFailures {
		for agentFailure, failAgent := range agentFailures {
			for _, queued := range []bool{false, true} {
				t.Run(fmt.Sprintf("the entry %s, the agent %s, the order waits: %v", entryFailure, agentFailure, queued), func(t *testing.T) {
					failAtAnyMoment(t, pairRun{failEntry: failEntry, failAgent: failAgent, queued: queued})
				})
			}
		}
	}
}

// failAtAnyMoment has the agent fail at each moment until the caller sends the job again.
func failAtAnyMoment(t *testing.T, p pairRun) {
	runs, restarted := 0, 0
	for p.delay = 0; p.delay < resendDelay; p.delay += 20 * time.Millisecond {
		for range max(1, *seeds/100) {
			o := Options{Seed: *first + uint64(runs), Entries: 2, Agents: 3, SlowestWorkers: true}
			violations, again := p.run(o)
			if runs++; again {
				restarted++
			}
			if len(violations) == 0 {
				continue
			}
			o.Trace = func(s string) { t.Log(s) }
			p.run(o)
			t.Fatalf("%v later, seed %d: %v", p.delay, o.Seed, violations)
		}
	}
	if restarted < runs/2 {
		t.Errorf("the second entry has started %d of %d jobs, want half", restarted, runs)
	}
}

// The link between an entry and an agent is cut, opens again for a handshake only, and stays cut.
// The entry starts the task elsewhere once the agent must have ended its run. Guards against an
// agent that counts the time from the handshake.
func TestPromisesHoldWhenALinkIsLostTwice(t *testing.T) {
	t.Parallel()
	for cut := time.Duration(0); cut < 600*time.Millisecond; cut += 20 * time.Millisecond {
		o := Options{Seed: *first + uint64(cut.Milliseconds()), Entries: 1, Agents: 3, SlowestWorkers: true}
		w := newWorld(o)
		w.runFor(2 * time.Second)
		a := w.submit(w.entries[0], 4*time.Second)
		for !w.checker.started[a.c.id] {
			w.step()
		}
		holder := w.holder(a)
		holder.partitions[a.e.index] = w.now.Add(cut)
		lost := holder.conns[a.e.index]
		lost.closeByEntry()
		lost.closeByAgent()
		w.whenAnswered(holder, a.e, func() { holder.partitions[a.e.index] = w.now.Add(longerThanTheRun) })
		w.runFor(3 * time.Second)
		if len(w.checker.r.Violations) > 0 || w.checker.starts[firstTask(a)] != 2 {
			t.Errorf("cut for %v: %d starts, %v", cut, w.checker.starts[firstTask(a)], w.checker.r.Violations)
		}
	}
}
