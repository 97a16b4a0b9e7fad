package leasedcheck

import (
	"cmp"
	"fmt"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/bounds"
	"github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

const defaultCapacity = 4000

// oldCapacityGrace is how long the earlier capacity of a worker still counts after it has
// shrunk: the worker sends the change with its next report, and its agent may be frozen.
const oldCapacityGrace = 5 * time.Second

// simWorker is one incarnation of a worker. It starts runs under one lease and keeps their
// ends until the agent acknowledges them.
type simWorker struct {
	w           *World
	a           *agentNode
	incarnation int
	up          bool
	draining    bool
	capacity    int64
	// oldCapacity counts, too, until oldCapacityUntil.
	oldCapacity      int64
	oldCapacityUntil time.Time
	startedAt        time.Time
	clockRate        float64 // of the worker's clock, relative to the simulated time
	leaseEnd         time.Time
	token            uint64
	runs             map[string]*simRun
	highestRun       map[string]uint32 // by task, of the runs stopped or ended
	ends             []runner.End
	lastEnd          uint64
	pollWaiters      []func()
	lossyUntil       time.Time // calls are lost or late until then
	silentUntil      time.Time // all calls are lost until then
	refusesUntil     time.Time // connections are refused until then
	incompleteUntil  time.Time // answers to polls may lack their lists
	misdirectedUntil time.Time // calls may be answered as misdirected
	stalledUntil     time.Time // it gets no CPU until then
	resets           []func()  // what callers do when their connections are reset
	reportSequence   uint64
}

type simRun struct {
	task      string
	run       uint32
	cpu       int64
	startedAt time.Time
	runTime   time.Duration
	stopping  bool
}

func newSimWorker(w *World, a *agentNode, incarnation int) *simWorker {
	s := &simWorker{
		w: w, a: a, incarnation: incarnation, up: true, capacity: defaultCapacity, startedAt: w.now, clockRate: 1 - bounds.ClockError*w.rand.Float64(),
		runs: map[string]*simRun{}, highestRun: map[string]uint32{},
	}
	if w.o.SlowestWorkers {
		s.clockRate = 1 - bounds.ClockError
	}
	w.schedule(w.jitter(20*time.Millisecond), s.report)
	return s
}

func (s *simWorker) id() string { return fmt.Sprintf("w%d.%d", s.a.index, s.incarnation) }

// identity returns the incarnation that messages name: a new identifier for each one, or
// one stable identifier with the start time.
func (s *simWorker) identity() runner.Incarnation {
	if s.w.o.WorkerRestarts {
		return runner.Incarnation{ID: fmt.Sprintf("w%d", s.a.index), StartUnixMs: s.startedAt.UnixMilli()}
	}
	return runner.Incarnation{ID: s.id()}
}

// receiver returns the incarnation that a call reaches: with a stable identifier the
// current one at the address, whichever incarnation the call was meant for.
func (s *simWorker) receiver() *simWorker {
	if s.w.o.WorkerRestarts {
		return s.a.worker
	}
	return s
}

// resize changes the capacity.
func (s *simWorker) resize(to int64) {
	s.w.trace("%s has a capacity of %d", s.id(), to)
	if current := s.effectiveCapacity(); to < current {
		s.oldCapacity, s.oldCapacityUntil = current, s.w.now.Add(oldCapacityGrace)
	}
	s.capacity = to
}

// effectiveCapacity returns the capacity that starts are checked against.
func (s *simWorker) effectiveCapacity() int64 {
	if s.w.now.Before(s.oldCapacityUntil) {
		return max(s.capacity, s.oldCapacity)
	}
	return s.capacity
}

func (s *simWorker) clock() time.Duration {
	return time.Second + time.Duration(float64(s.w.now.Sub(s.startedAt))*s.clockRate)
}

// simTime returns the simulated time at which the worker's clock shows the given time.
func (s *simWorker) simTime(clock time.Duration) time.Time {
	return s.startedAt.Add(time.Duration(float64(clock-time.Second) / s.clockRate))
}

// report sends the worker's heartbeat to its agent.
func (s *simWorker) report() {
	if !s.up || s.isSucceeded() {
		return
	}
	s.reportSequence++
	report := runner.Worker{
		Incarnation: s.identity(), Service: "s", Capacity: size.Size{CPUMillis: s.capacity, MemoryMB: 1 << 20}, Draining: s.draining, Sequence: s.reportSequence,
	}
	deliver := func() {
		s.a.run(s.a.incarnation, func() {
			s.a.decide(func(now time.Time) {
				if s.a.core.HandleReport(now, report) {
					s.a.recordedWorker = report
				}
			})
		})
	}
	if d := s.w.reportDelay(); d > 0 {
		s.w.schedule(d, deliver)
	} else {
		deliver()
	}
	s.w.schedule(cmp.Or(s.w.o.ReportInterval, 300*time.Millisecond), s.report)
}

// crash ends this incarnation. Another one starts after 0.1 s to 1.1 s, and a second later
// if longOutage is set.
func (s *simWorker) crash(longOutage bool) {
	downtime := 100*time.Millisecond + s.w.jitter(time.Second)
	if longOutage {
		downtime += time.Second
	}
	s.crashFor(downtime)
}

func (s *simWorker) crashFor(downtime time.Duration) {
	s.w.trace("%s crashes", s.id())
	for _, task := range sortedKeys(s.runs) {
		s.recordEnd(task, false)
		s.w.checker.runEnded(s, task)
	}
	s.up = false
	s.runs = map[string]*simRun{}
	if s.isSucceeded() {
		return
	}
	s.w.schedule(downtime, func() { s.a.worker = newSimWorker(s.w, s.a, s.incarnation+1) })
}

// call executes a call to the worker and delivers its response: mostly at once, on a lossy
// worker sometimes late or without a response. Instead of the response, lost is called
// when the call times out or is refused.
func (s *simWorker) call(a *agentNode, timeout time.Duration, do func(to *simWorker) (deliver func()), lost func(refused bool)) {
	incarnation, answered := a.incarnation, false
	a.after(timeout, func() {
		if !answered {
			answered = true
			lost(false)
		}
	})
	fail := func(refused bool) {
		a.run(incarnation, func() {
			if !answered {
				answered = true
				lost(refused)
			}
		})
	}
	var execute func(respond bool)
	execute = func(respond bool) {
		to := s.receiver()
		if s.w.now.Before(to.silentUntil) {
			return
		}
		if to.putOff(func() { execute(respond) }) {
			return
		}
		if !to.up {
			if respond && s.w.chance(0.7) {
				fail(true)
			}
			return
		}
		if to.refuses() {
			fail(true)
			return
		}
		to.onReset(func() { fail(false) })
		deliver := do(to)
		if !respond || deliver == nil {
			return
		}
		s.w.schedule(s.w.jitter(time.Millisecond), func() {
			a.run(incarnation, func() {
				if !answered {
					answered = true
					deliver()
				}
			})
		})
	}
	delay := 200*time.Microsecond + s.w.jitter(time.Millisecond)
	lossy := s.w.now.Before(s.lossyUntil)
	switch {
	case lossy && s.w.chance(0.2):
		s.w.schedule(2*time.Second+s.w.jitter(4*time.Second), func() { execute(false) })
	case lossy && s.w.chance(0.25):
		s.w.schedule(delay, func() { execute(false) })
	default:
		s.w.schedule(delay, func() { execute(true) })
	}
}

// extendLease applies the lease time of a call.
func (s *simWorker) extendLease(until time.Duration) {
	if until <= 0 {
		return
	}
	at := s.simTime(min(until, s.clock()+time.Second))
	if at.After(s.leaseEnd) {
		s.leaseEnd = at
		s.w.schedule(at.Sub(s.w.now), s.expireLease)
	}
}

func (s *simWorker) expireLease() {
	if !s.up || s.w.now.Before(s.leaseEnd) || s.putOff(s.expireLease) {
		return
	}
	for _, task := range sortedKeys(s.runs) {
		s.finish(task, runner.EndedLapsed)
	}
}

func (s *simWorker) finish(task string, how runner.Ending) {
	s.recordEnd(task, how != runner.EndedDone && how != runner.EndedFailed)
	r := s.runs[task]
	delete(s.runs, task)
	s.highestRun[task] = max(s.highestRun[task], r.run)
	s.lastEnd++
	s.ends = append(s.ends, runner.End{Number: s.lastEnd, Task: task, Run: r.run, Ending: how})
	s.w.checker.runEnded(s, task)
	if how == runner.EndedDone {
		s.w.checker.succeeded[task] = true
	}
	waiters := s.pollWaiters
	s.pollWaiters = nil
	for _, f := range waiters {
		f()
	}
}

func (s *simWorker) recordEnd(task string, forced bool) {
	s.a.runEnds[runKey{task, s.runs[task].run}] = runEnd{worker: s, at: s.w.now, forced: forced}
}

func (s *simWorker) callStart(a *agentNode, c runner.Start) {
	var verdict runner.StartVerdict
	var clock time.Duration
	done := func() {
		a.decide(func(now time.Time) { a.core.StartAnswered(now, c, verdict, clock, "") })
	}
	s.call(a, 40*time.Millisecond, func(to *simWorker) func() {
		misdirected, carriedOut := to.misdirects()
		if carriedOut {
			verdict, clock = to.start(c), to.clock()
		}
		if misdirected {
			verdict, clock = runner.Misdirected, 0
		}
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
		return runner.Misdirected
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
	s.extendLease(c.Until)
	if c.Run <= s.highestRun[c.Task] || s.runs[c.Task] != nil {
		return runner.OldRun
	}
	r := &simRun{task: c.Task, run: c.Run, cpu: payloadCPU(c.Payload), startedAt: s.w.now, runTime: payloadRunTime(c.Payload)}
	if s.w.load != nil {
		r.runTime = s.w.load.runTime(s.a.index, r.runTime)
	}
	s.runs[c.Task] = r
	s.a.runEnds[runKey{r.task, r.run}] = runEnd{worker: s}
	s.w.checker.runStarted(s, r)
	if crashesWorker(c.Payload) {
		s.w.schedule(time.Millisecond, func() {
			if s.up {
				s.w.checker.r.Crashes++
				s.crash(false)
			}
		})
	}
	s.w.schedule(r.runTime, func() { s.complete(r) })
	return runner.Started
}

// complete ends a run whose work is done.
func (s *simWorker) complete(r *simRun) {
	if !s.up || s.runs[r.task] != r || r.stopping || s.putOff(func() { s.complete(r) }) {
		return
	}
	how := runner.EndedDone
	if s.w.chance(0.03) {
		how = runner.EndedFailed
	}
	s.finish(r.task, how)
}

func (s *simWorker) callStop(a *agentNode, c runner.Stop) {
	var clock time.Duration
	s.call(a, 40*time.Millisecond, func(to *simWorker) func() {
		if c.Worker.ID != to.identity().ID || c.Token < to.token {
			return nil
		}
		to.token = c.Token
		clock = to.clock()
		misdirected, carriedOut := to.misdirects()
		if carriedOut {
			to.stop(c)
		}
		if misdirected {
			return nil
		}
		return func() { a.decide(func(now time.Time) { a.core.StopAnswered(now, c, clock) }) }
	}, func(bool) {})
}

func (s *simWorker) stop(c runner.Stop) {
	r := s.runs[c.Task]
	if r == nil || r.run > c.Run {
		s.highestRun[c.Task] = max(s.highestRun[c.Task], c.Run)
		return
	}
	if r.run < c.Run || r.stopping {
		return
	}
	r.stopping = true
	takes := s.w.times.StopTime
	if !s.w.o.SlowestWorkers {
		takes = s.w.jitter(takes)
	}
	s.w.schedule(takes, func() { s.completeStop(r) })
}

func (s *simWorker) completeStop(r *simRun) {
	if s.up && s.runs[r.task] == r && !s.putOff(func() { s.completeStop(r) }) {
		s.finish(r.task, runner.EndedStopped)
	}
}

// putOff has f called once the worker gets CPU again. It returns false if it has CPU.
func (s *simWorker) putOff(f func()) bool {
	if !s.w.now.Before(s.stalledUntil) {
		return false
	}
	s.w.schedule(s.stalledUntil.Sub(s.w.now), f)
	return true
}

func (s *simWorker) callPoll(a *agentNode, l runner.Poll, waiting bool) {
	next := func() {
		if waiting {
			a.poll(true)
		}
	}
	incarnation, responded := a.incarnation, false
	var respond func(s *simWorker)
	respond = func(s *simWorker) {
		if responded || !s.up || s.putOff(func() { respond(s) }) {
			return
		}
		responded = true
		seen := runner.PollAnswer{StartUnixMs: s.identity().StartUnixMs, Clock: s.clock(), Ended: append([]runner.End(nil), s.ends...)}
		for _, task := range sortedKeys(s.runs) {
			r := s.runs[task]
			percent := int(100 * s.w.now.Sub(r.startedAt) / r.runTime)
			seen.Running = append(seen.Running, runner.ListedRun{Task: task, Run: r.run, Percent: min(percent, 99)})
		}
		if s.answersIncompletely() {
			seen = runner.PollAnswer{StartUnixMs: seen.StartUnixMs, Missing: "no list of runs"}
		}
		lost := s.w.now.Before(s.lossyUntil) && s.w.chance(0.2)
		s.w.schedule(s.w.jitter(time.Millisecond), func() {
			if lost {
				return
			}
			a.run(incarnation, func() {
				if a.claimPoll(&incarnation) {
					a.decide(func(now time.Time) { a.core.PollAnswered(now, l, seen) })
					next()
				}
			})
		})
	}
	a.after(l.Wait+l.Slack, func() {
		if a.claimPoll(&incarnation) {
			a.decide(func(now time.Time) { a.core.PollFailed(now, l, false) })
			a.after(20*time.Millisecond, next)
		}
	})
	fail := func(handle func(now time.Time)) {
		a.run(incarnation, func() {
			if a.claimPoll(&incarnation) {
				a.decide(handle)
				a.after(20*time.Millisecond, next)
			}
		})
	}
	delay := 200*time.Microsecond + s.w.jitter(time.Millisecond)
	if s.w.o.WorkerRestarts && s.w.now.Before(s.lossyUntil) && s.w.chance(0.1) {
		delay = s.w.jitter(3 * time.Second)
	}
	var arrive func()
	arrive = func() {
		s := s.receiver()
		if s.up && !s.w.now.Before(s.silentUntil) && s.putOff(arrive) {
			return
		}
		misdirected, carriedOut := s.misdirects()
		switch {
		case s.w.now.Before(s.silentUntil):
			return
		case !s.up && s.w.chance(0.7), s.up && s.refuses():
			fail(func(now time.Time) { a.core.PollFailed(now, l, true) })
			return
		case !s.up:
			return
		case l.Worker.ID != s.identity().ID:
			fail(func(now time.Time) { a.core.PollMisdirected(now, l) })
			return
		case misdirected:
			fail(func(now time.Time) { a.core.PollMisdirected(now, l) })
		case l.Token < s.token:
			fail(func(now time.Time) { a.core.PollFenced(now, l, s.clock()) })
			return
		}
		if !carriedOut {
			return
		}
		s.onReset(func() { fail(func(now time.Time) { a.core.PollFailed(now, l, false) }) })
		s.token = max(s.token, l.Token)
		s.extendLease(l.Until)
		for len(s.ends) > 0 && s.ends[0].Number <= l.LastEnd {
			if s.ends[0].Ending == runner.EndedDone {
				s.w.checker.acknowledged[s.ends[0].Task] = true
			}
			s.ends = s.ends[1:]
		}
		if l.Wait == 0 || len(s.ends) > 0 {
			respond(s)
			return
		}
		s.pollWaiters = append(s.pollWaiters, func() { respond(s) })
		s.w.schedule(l.Wait, func() { respond(s) })
	}
	s.w.schedule(delay, arrive)
}

// claimPoll reports whether the response or timeout of a poll may be handled, which is so
// once per poll. It marks the poll as handled by setting *incarnation to -1.
func (a *agentNode) claimPoll(incarnation *int) bool {
	if *incarnation != a.incarnation {
		return false
	}
	*incarnation = -1
	return true
}
