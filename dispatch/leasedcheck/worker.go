package leasedcheck

import (
	"fmt"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

const capacity = 4000

// simWorker is one life of a worker: it starts what it is told to, under one lease,
// and keeps ends until they are taken note of.
type simWorker struct {
	w        *World
	a        *agentNode
	life     int
	up       bool
	draining bool
	begun    time.Time
	rate     float64 // of its clock
	lease    time.Time
	token    uint64
	runs     map[string]*simRun
	highest  map[string]uint32 // run stopped or ended, by task
	ends     []runner.End
	endNo    uint64
	waiters  []func()
	lossy    time.Time // until when calls are lost or late
	reported uint64
}

type simRun struct {
	task     string
	run      uint32
	cpu      int64
	began    time.Time
	length   time.Duration
	stopping bool
}

func newSimWorker(w *World, a *agentNode, life int) *simWorker {
	s := &simWorker{
		w: w, a: a, life: life, up: true, begun: w.now, rate: 1 - 0.02*w.rand.Float64(),
		runs: map[string]*simRun{}, highest: map[string]uint32{},
	}
	w.at(w.upTo(20*time.Millisecond), s.report)
	return s
}

func (s *simWorker) id() string { return fmt.Sprintf("w%d.%d", s.a.index, s.life) }

func (s *simWorker) clock() time.Duration {
	return time.Second + time.Duration(float64(s.w.now.Sub(s.begun))*s.rate)
}

// onOurs is the moment at which the worker's clock shows a time.
func (s *simWorker) onOurs(clock time.Duration) time.Time {
	return s.begun.Add(time.Duration(float64(clock-time.Second) / s.rate))
}

// report is the worker's heartbeat to its agent.
func (s *simWorker) report() {
	if !s.up {
		return
	}
	s.reported++
	report := runner.Worker{
		ID: s.id(), Service: "s", Capacity: size.Size{CPUMillis: capacity, MemoryMB: 1 << 20}, Draining: s.draining, Sequence: s.reported,
	}
	s.a.run(s.a.life, func() {
		s.a.decide(func(now time.Time) {
			if s.a.core.Reported(now, report) {
				s.a.record = report
			}
		})
	})
	s.w.at(300*time.Millisecond, s.report)
}

// crash ends this life; another one begins after a while.
func (s *simWorker) crash(dark bool) {
	pause := 100*time.Millisecond + s.w.upTo(time.Second)
	if dark {
		pause += time.Second
	}
	s.crashFor(pause)
}

func (s *simWorker) crashFor(pause time.Duration) {
	s.w.trace("%s crashes", s.id())
	for _, task := range sortedKeys(s.runs) {
		s.w.checker.ends(s, task)
	}
	s.up = false
	s.runs = map[string]*simRun{}
	s.w.at(pause, func() { s.a.worker = newSimWorker(s.w, s.a, s.life+1) })
}

// call carries a call out and its answer back: mostly at once, on a lossy worker
// sometimes late or without an answer. lost is called in its place by the caller's
// own time-out.
func (s *simWorker) call(a *agentNode, timeout time.Duration, do func() (answer func()), lost func(refused bool)) {
	life, answered := a.life, false
	a.after(timeout, func() {
		if !answered {
			answered = true
			lost(false)
		}
	})
	carry := func(reply bool) {
		if !s.up {
			if reply && s.w.chance(0.7) {
				a.run(life, func() {
					if !answered {
						answered = true
						lost(true)
					}
				})
			}
			return
		}
		answer := do()
		if !reply || answer == nil {
			return
		}
		s.w.at(s.w.upTo(time.Millisecond), func() {
			a.run(life, func() {
				if !answered {
					answered = true
					answer()
				}
			})
		})
	}
	delay := 200*time.Microsecond + s.w.upTo(time.Millisecond)
	lossy := s.w.now.Before(s.lossy)
	switch {
	case lossy && s.w.chance(0.2):
		s.w.at(2*time.Second+s.w.upTo(4*time.Second), func() { carry(false) })
	case lossy && s.w.chance(0.25):
		s.w.at(delay, func() { carry(false) })
	default:
		s.w.at(delay, func() { carry(true) })
	}
}

// extend takes a lease time from a call.
func (s *simWorker) extend(until time.Duration) {
	if until <= 0 {
		return
	}
	at := s.onOurs(min(until, s.clock()+time.Second))
	if at.After(s.lease) {
		s.lease = at
		s.w.at(at.Sub(s.w.now), s.lapse)
	}
}

func (s *simWorker) lapse() {
	if !s.up || s.w.now.Before(s.lease) {
		return
	}
	for _, task := range sortedKeys(s.runs) {
		s.finish(task, runner.EndedLapsed)
	}
}

func (s *simWorker) finish(task string, how runner.Ending) {
	r := s.runs[task]
	delete(s.runs, task)
	s.highest[task] = max(s.highest[task], r.run)
	s.endNo++
	s.ends = append(s.ends, runner.End{Number: s.endNo, Task: task, Run: r.run, How: how})
	s.w.checker.ends(s, task)
	if how == runner.EndedDone {
		s.w.checker.done[task] = true
	}
	waiters := s.waiters
	s.waiters = nil
	for _, f := range waiters {
		f()
	}
}

func (s *simWorker) callStart(a *agentNode, c runner.Start) {
	var verdict runner.StartVerdict
	var clock time.Duration
	done := func() {
		a.decide(func(now time.Time) { a.core.StartAnswered(now, c, verdict, clock, "") })
	}
	s.call(a, 40*time.Millisecond, func() func() {
		verdict, clock = s.start(c), s.clock()
		return done
	}, func(refused bool) {
		verdict = runner.Unanswered
		if refused {
			verdict = runner.Unsent
		}
		done()
	})
}

func (s *simWorker) start(c runner.Start) runner.StartVerdict {
	switch {
	case c.Worker != s.id():
		return runner.OtherLife
	case c.Token < s.token:
		return runner.Fenced
	}
	s.token = c.Token
	if r := s.runs[c.Task]; r != nil && r.run == c.Run {
		return runner.Started
	}
	if c.Until <= s.clock() {
		return runner.Refused
	}
	s.extend(c.Until)
	if c.Run <= s.highest[c.Task] || s.runs[c.Task] != nil {
		return runner.OldRun
	}
	r := &simRun{task: c.Task, run: c.Run, cpu: cpuOf(c.Payload), began: s.w.now, length: lengthOf(c.Payload)}
	s.runs[c.Task] = r
	s.w.checker.begins(s, r)
	s.w.at(r.length, func() {
		if s.up && s.runs[c.Task] == r && !r.stopping {
			how := runner.EndedDone
			if s.w.chance(0.03) {
				how = runner.EndedFailed
			}
			s.finish(c.Task, how)
		}
	})
	return runner.Started
}

func (s *simWorker) callStop(a *agentNode, c runner.Stop) {
	var clock time.Duration
	s.call(a, 40*time.Millisecond, func() func() {
		if c.Worker != s.id() || c.Token < s.token {
			return nil
		}
		s.token = c.Token
		clock = s.clock()
		s.stop(c)
		return func() { a.decide(func(now time.Time) { a.core.StopAnswered(now, c, clock) }) }
	}, func(bool) {})
}

func (s *simWorker) stop(c runner.Stop) {
	r := s.runs[c.Task]
	if r == nil || r.run > c.Run {
		s.highest[c.Task] = max(s.highest[c.Task], c.Run)
		return
	}
	if r.run < c.Run || r.stopping {
		return
	}
	r.stopping = true
	s.w.at(s.w.upTo(50*time.Millisecond), func() {
		if s.up && s.runs[c.Task] == r {
			s.finish(c.Task, runner.EndedStopped)
		}
	})
}

func (s *simWorker) callLook(a *agentNode, l runner.Look, waiting bool) {
	next := func() {
		if waiting {
			a.look(true)
		}
	}
	life, over := a.life, false
	respond := func() {
		if over || !s.up {
			return
		}
		over = true
		seen := runner.Seen{Clock: s.clock(), Ended: append([]runner.End(nil), s.ends...)}
		for _, task := range sortedKeys(s.runs) {
			r := s.runs[task]
			percent := int(100 * s.w.now.Sub(r.began) / r.length)
			seen.Running = append(seen.Running, runner.Row{Task: task, Run: r.run, Percent: min(percent, 99)})
		}
		lost := s.w.now.Before(s.lossy) && s.w.chance(0.2)
		s.w.at(s.w.upTo(time.Millisecond), func() {
			if lost {
				return
			}
			a.run(life, func() {
				if a.lookDone(&life) {
					a.decide(func(now time.Time) { a.core.Looked(now, l, seen) })
					next()
				}
			})
		})
	}
	a.after(l.Wait+150*time.Millisecond, func() {
		if a.lookDone(&life) {
			a.decide(func(now time.Time) { a.core.LookFailed(now, l, false) })
			a.after(20*time.Millisecond, next)
		}
	})
	s.w.at(200*time.Microsecond+s.w.upTo(time.Millisecond), func() {
		switch {
		case !s.up && s.w.chance(0.7), s.up && l.Worker != s.id():
			a.run(life, func() {
				if a.lookDone(&life) {
					a.decide(func(now time.Time) { a.core.LookFailed(now, l, true) })
					a.after(20*time.Millisecond, next)
				}
			})
			return
		case !s.up:
			return
		case l.Token < s.token:
			a.run(life, func() {
				if a.lookDone(&life) {
					a.decide(func(now time.Time) { a.core.LookFenced(now, s.clock()) })
					a.after(20*time.Millisecond, next)
				}
			})
			return
		}
		s.token = l.Token
		s.extend(l.Until)
		for len(s.ends) > 0 && s.ends[0].Number <= l.Seen {
			s.ends = s.ends[1:]
		}
		if l.Wait == 0 || len(s.ends) > 0 {
			respond()
			return
		}
		s.waiters = append(s.waiters, respond)
		s.w.at(l.Wait, respond)
	})
}

// lookDone reports, once for each look, that its answer or time-out may be taken.
func (a *agentNode) lookDone(life *int) bool {
	if *life != a.life {
		return false
	}
	*life = -1
	return true
}
