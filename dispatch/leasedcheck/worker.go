package leasedcheck

import (
	"fmt"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

const capacity = 4000

// capacityCounts is how long after a worker has shrunk its earlier capacity still counts: it
// tells of it with its next report, and its agent may be frozen.
const capacityCounts = 5 * time.Second

// simWorker is one life of a worker: it starts what it is told to, under one lease,
// and keeps ends until they are taken note of.
type simWorker struct {
	w        *World
	a        *agentNode
	life     int
	up       bool
	draining bool
	capacity int64
	// before is the capacity that counts until shrunk, too.
	before   int64
	shrunk   time.Time
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
		w: w, a: a, life: life, up: true, capacity: capacity, begun: w.now, rate: 1 - 0.02*w.rand.Float64(),
		runs: map[string]*simRun{}, highest: map[string]uint32{},
	}
	w.at(w.upTo(20*time.Millisecond), s.report)
	return s
}

func (s *simWorker) id() string { return fmt.Sprintf("w%d.%d", s.a.index, s.life) }

// identity is what messages name: a new identifier for each life, or the birth beside one
// that stays.
func (s *simWorker) identity() runner.Life {
	if s.w.o.Reborn {
		return runner.Life{ID: fmt.Sprintf("w%d", s.a.index), Born: s.begun.UnixMilli()}
	}
	return runner.Life{ID: s.id()}
}

// listening is the life that a call reaches: the present one at the address, whichever it was
// made to.
func (s *simWorker) listening() *simWorker {
	if s.w.o.Reborn {
		return s.a.worker
	}
	return s
}

// resize changes the capacity.
func (s *simWorker) resize(to int64) {
	s.w.trace("%s has a capacity of %d", s.id(), to)
	if room := s.room(); to < room {
		s.before, s.shrunk = room, s.w.now.Add(capacityCounts)
	}
	s.capacity = to
}

// room is the capacity that starts are held against.
func (s *simWorker) room() int64 {
	if s.w.now.Before(s.shrunk) {
		return max(s.capacity, s.before)
	}
	return s.capacity
}

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
		Life: s.identity(), Service: "s", Capacity: size.Size{CPUMillis: s.capacity, MemoryMB: 1 << 20}, Draining: s.draining, Sequence: s.reported,
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
func (s *simWorker) call(a *agentNode, timeout time.Duration, do func(to *simWorker) (answer func()), lost func(refused bool)) {
	life, answered := a.life, false
	a.after(timeout, func() {
		if !answered {
			answered = true
			lost(false)
		}
	})
	carry := func(reply bool) {
		to := s.listening()
		if !to.up {
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
		answer := do(to)
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
	s.call(a, 40*time.Millisecond, func(to *simWorker) func() {
		verdict, clock = to.start(c), to.clock()
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
	case c.Worker.ID != s.identity().ID:
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
	if crashesOf(c.Payload) {
		s.w.at(time.Millisecond, func() {
			if s.up {
				s.w.checker.r.Crashes++
				s.crash(false)
			}
		})
	}
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
	s.call(a, 40*time.Millisecond, func(to *simWorker) func() {
		if c.Worker.ID != to.identity().ID || c.Token < to.token {
			return nil
		}
		to.token = c.Token
		clock = to.clock()
		to.stop(c)
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
	respond := func(s *simWorker) {
		if over || !s.up {
			return
		}
		over = true
		seen := runner.Seen{Born: s.identity().Born, Clock: s.clock(), Ended: append([]runner.End(nil), s.ends...)}
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
	a.after(l.Wait+l.Slack, func() {
		if a.lookDone(&life) {
			a.decide(func(now time.Time) { a.core.LookFailed(now, l, false) })
			a.after(20*time.Millisecond, next)
		}
	})
	delay := 200*time.Microsecond + s.w.upTo(time.Millisecond)
	if s.w.o.Reborn && s.w.now.Before(s.lossy) && s.w.chance(0.1) {
		delay = s.w.upTo(3 * time.Second)
	}
	s.w.at(delay, func() {
		s := s.listening()
		switch {
		case !s.up && s.w.chance(0.7), s.up && l.Worker.ID != s.identity().ID:
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
					a.decide(func(now time.Time) { a.core.LookFenced(now, l, s.clock()) })
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
			respond(s)
			return
		}
		s.waiters = append(s.waiters, func() { respond(s) })
		s.w.at(l.Wait, func() { respond(s) })
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
