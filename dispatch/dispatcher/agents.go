package dispatcher

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/forecast"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/place"
	"github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// agent is this entry's view of one agent process.
type agent struct {
	name        string
	incarnation string
	domain      string
	session     link.Session

	state    *pb.WorkerState
	stateAt  time.Time
	capacity size.Size
	// free is the free capacity last reported, less the orders that the report doesn't
	// include; it is negative when these exceed it.
	free        size.Size
	releases    forecast.Releases
	healthState place.HealthState
	slowness    float64 // relative to other workers, as last judged
	speed       float64 // 1 is usual; see package speed
	loggedSpeed float64

	live      []*order // not ended, oldest first
	reserved  []*task  // chosen for it, with an order still to be made
	lastSent  time.Time
	downAt    time.Time
	abandoned bool // the jobs that can't wait for it have been answered
	replaced  bool // another process of the agent has taken its place
	forgetful bool // a greeting has left out this entry while orders were live
	// handshakeAt is when the handshake of its link arrived.
	handshakeAt time.Time
	// firstLink and latestLink number its links among those of all agents.
	firstLink, latestLink uint64

	pending     pb.OrderFrame // content of the next frame
	dirty       bool
	expedite    bool     // last value sent: report immediately; see recordExpedite
	entries     []string // addresses sent to it
	invitedBy   []string // entries that request a link, not sent yet
	sendEntries bool
	// sendEvacuations: the next frame carries the evacuated failure domains.
	sendEvacuations bool

	touched bool // since the last call of Ready
	wakeAt  time.Time
	wakePos int // in Dispatcher.timers
	// hasPredecessor: an earlier process of the same agent is listed.
	hasPredecessor bool
	// trialUntil is until when nothing is placed beside a suspected task.
	trialUntil time.Time
}

// Before implements indexheap.Item: the agent with the earliest wake-up comes first.
func (a *agent) Before(o *agent) bool { return a.wakeAt.Before(o.wakeAt) }

// SetPos implements indexheap.Item.
func (a *agent) SetPos(pos int) { a.wakePos = pos }

func (a *agent) hasLabel(label string) bool {
	return label == "" || slices.Contains(a.state.GetLabels(), label)
}

// reserve takes a place for a task until its order is made or the place is released.
func (a *agent) reserve(t *task, s *step) {
	a.free = a.free.Minus(s.Size)
	a.reserved = append(a.reserved, t)
}

func (a *agent) release(t *task, s *step) {
	a.free = a.free.Plus(s.Size)
	a.endReservation(t)
}

func (a *agent) endReservation(t *task) {
	if i := slices.Index(a.reserved, t); i >= 0 {
		a.reserved = slices.Delete(a.reserved, i, i+1)
	}
}

// stepLimitReached reports whether as many tasks of the step are here as may be at one worker.
func (a *agent) stepLimitReached(t *task, s *step) bool {
	return s.MaxPerWorker > 0 && a.countOfStep(t) >= s.MaxPerWorker
}

// countOfStep returns the number of tasks of the given task's step here, ordered or reserved.
func (a *agent) countOfStep(t *task) int {
	n := 0
	for _, o := range a.live {
		if o.task.sameStep(t) {
			n++
		}
	}
	for _, x := range a.reserved {
		if x.sameStep(t) {
			n++
		}
	}
	return n
}

// recomputeFree derives the free capacity and its predicted releases from the last
// report and the orders that the report doesn't include.
func (a *agent) recomputeFree() {
	a.free = size.FromRoom(a.state.GetRoom())
	a.releases = forecast.Releases{}
	for i, cpu := range a.state.GetFrees() {
		if i < len(a.releases) {
			a.releases[i] = int64(cpu)
		}
	}
	for _, o := range a.live {
		if o.number > a.state.GetSeenOrder() {
			a.free = a.free.Minus(o.size)
			a.releases.Add(o.expected, o.size.CPUMillis)
		}
	}
}

// expectedWait returns how long a task is expected to wait for free capacity behind the
// queued work that precedes it and the orders sent since the last report.
func (a *agent) expectedWait(m demand) time.Duration {
	needed := m.size.CPUMillis - a.free.CPUMillis
	for _, q := range a.state.GetQueued() {
		if m.waitsBehind(q) {
			needed += int64(q.CpuMillis)
		}
	}
	if needed <= 0 && !m.size.FitsIn(a.free) {
		// Memory or accelerators are short; they are released along with CPU.
		needed = m.size.CPUMillis
	}
	// The prediction isn't advanced by the age of the report: what was released
	// since then, other entries have taken as well. See forecast.Releases.
	return a.releases.Wait(needed)
}

// demand is what a task needs of a worker, and what decides its place in an agent's queue.
type demand struct {
	size     size.Size
	priority uint32
	late     bool
	// startWithin is the time in which the task must start, rounded up to a bound of
	// forecast.StartBounds.
	startWithin time.Duration
}

func (t *task) demand(now time.Time) demand {
	return demand{
		size: t.job.steps[t.step].Size, priority: t.job.queue.Priority, late: t.job.late,
		startWithin: forecast.StartBound(t.startBy().Sub(now)),
	}
}

// muchLater is how many times later than a task queued work must start for the task to overtake
// it: the queued work still starts in time then. Closer together, one of the two would miss its
// start, so the queued work counts as ahead.
const muchLater = 4

// waitsBehind reports whether queued work counts as ahead of the task.
func (m demand) waitsBehind(q *pb.QueuedWork) bool {
	switch {
	case q.Late != m.late:
		return m.late
	case q.Priority != m.priority:
		return q.Priority < m.priority
	}
	return m.late || time.Duration(q.StartWithinMs)*time.Millisecond < muchLater*m.startWithin
}

func (d *Dispatcher) agent(incarnation string) *agent { return d.byIncarnation[incarnation] }

func (a *agent) findOrder(n uint64) *order {
	for _, o := range a.live {
		if o.number == n {
			return o
		}
	}
	return nil
}

// agentRetention is how long an agent without link or orders is kept.
const agentRetention = 10 * time.Second

// tickAgents handles the agents whose wake-up is due.
func (d *Dispatcher) tickAgents(now time.Time) {
	d.expireHandshakes(now)
	for d.timers.Len() > 0 && !now.Before(d.timers.First().wakeAt) {
		a := d.timers.First()
		d.timers.Remove(a.wakePos) // until Ready
		d.touch(a)
		d.tickAgent(now, a)
	}
}

func (d *Dispatcher) tickAgent(now time.Time, a *agent) {
	if a.session.TimedOut(now) && !d.behind(now) {
		d.linkLost(now, a, "the link has gone silent")
		d.ready.Close = append(d.ready.Close, a.incarnation)
	}
	if a.session.IsUp() {
		return
	}
	if !a.abandoned && !now.Before(a.downAt.Add(d.opts.Timeouts.ReconnectTimeout)) {
		d.abandonJobsOn(now, a)
	}
	if len(a.live) > 0 && !now.Before(a.lastSent.Add(d.opts.Timeouts.RunsEndedAfter)) {
		// No run ordered there can still be alive; see package bounds.
		d.loseOrders(now, a, ReasonRunsEnded)
	}
	if len(a.live) == 0 && !now.Before(a.downAt.Add(agentRetention)) {
		d.remove(a)
	}
}

// abandonJobsOn answers the jobs whose runs on a lost agent can't be replaced in time.
func (d *Dispatcher) abandonJobsOn(now time.Time, a *agent) {
	a.abandoned = true
	free := a.lastSent.Add(d.opts.Timeouts.RunsEndedAfter)
	for _, o := range slices.Clone(a.live) {
		j := o.task.job
		if !j.ended && free.Add(o.nominal).After(j.deadline) {
			d.abandon(now, j, ReasonAgentLost)
		}
	}
}

// loseOrders records that all orders at an agent have ended without a result.
func (d *Dispatcher) loseOrders(now time.Time, a *agent, reason string) {
	d.loseOrdersIf(now, a, reason, func(*order) bool { return true })
}

// loseOrdersIf records that the orders at an agent for which ended returns true have ended without
// a result.
func (d *Dispatcher) loseOrdersIf(now time.Time, a *agent, reason string, ended func(*order) bool) {
	for _, o := range slices.Clone(a.live) {
		if !ended(o) {
			continue
		}
		d.removeOrder(o)
		// The run may have begun without a report.
		o.task.job.started = true
		d.recordLost(now, o)
		d.opts.OnDecision(Decision{
			Event: "run_lost", Job: o.task.job.ID, Task: o.task.name(), Run: o.run, Agent: a.name, Order: o.number, Reason: reason,
			Age: now.Sub(a.lastSent),
		})
		d.requeue(o.task.job, o.task)
	}
}

// Step handles a frame of the link with the given epoch.
func (d *Dispatcher) Step(now time.Time, incarnation string, epoch uint64, f *pb.WorkerFrame) {
	if g, ok := d.handshakes[incarnation]; ok && g.Epoch == epoch {
		d.completeHandshake(now, g, f)
	}
	a := d.agent(incarnation)
	if a == nil || !a.session.IsUp() || a.session.Epoch() != epoch {
		return
	}
	content := len(f.News) > 0 || f.State.GetHeld() == runner.HeldRetiring || f.AnswerAtOnce
	if !a.session.Received(now, f.Seq, f.Ack, content) {
		return
	}
	d.touch(a)
	a.dirty = a.dirty || f.AnswerAtOnce
	d.opts.Events.Observe(f.Clock, now)
	d.applyEarlierEnds(now, a, f.Ends) // before a clean state takes these orders for lost
	if f.State != nil {
		d.applyState(now, a, f.State)
	}
	d.applyCrashes(now, a, f.Crashes)
	for _, n := range f.News {
		if o := a.findOrder(n.Number); o != nil {
			d.handleOrderUpdate(now, o, n)
		}
	}
}

func (d *Dispatcher) applyState(now time.Time, a *agent, s *pb.WorkerState) {
	if a.state == nil || a.state.Accepting != s.Accepting || a.state.Worker != s.Worker {
		d.opts.OnDecision(Decision{Event: "worker_state", Agent: a.name, Reason: s.Held, Outcome: s.Worker, Free: size.FromRoom(s.Room), Age: now.Sub(a.stateAt)})
	}
	if a.state != nil && a.state.Worker != s.Worker {
		// Statistics of one worker incarnation say little of the next.
		d.health.Remove(a.incarnation)
		d.health.Add(a.incarnation)
		a.slowness = 1
		d.speeds.Remove(a.incarnation)
		d.setSpeed(a, 1)
		for _, o := range a.live {
			o.worker = ""
		}
	}
	a.state, a.stateAt, a.capacity = s, now, size.FromMessage(s.Capacity)
	a.recomputeFree()
	d.updateHealthState(now, a)
	if s.Clean && a.hasPredecessor {
		d.settlePredecessors(now, a)
	}
}

func (d *Dispatcher) updateHealthState(now time.Time, a *agent) {
	s := d.health.State(a.incarnation, now)
	if s != a.healthState {
		d.opts.OnDecision(Decision{Event: "worker_standing", Agent: a.name, Outcome: healthStateName(s)})
		a.healthState = s
	}
}

func healthStateName(s place.HealthState) string {
	switch s {
	case place.Trial:
		return "trial"
	case place.Suspended:
		return "suspended"
	}
	return "open"
}

const (
	// Reports more frequent than minReportInterval carry nothing new. maxReportInterval
	// bounds the age of an agent's state when the first job arrives after a pause; a
	// link's heartbeat is due at that age anyway.
	minReportInterval = 20 * time.Millisecond
	maxReportInterval = time.Second
	// reportsPerOrder is how many reports an entry requests for each order that it
	// sends. An order is placed by the state of about three workers; reports that arrive
	// faster than that go unused.
	reportsPerOrder = 3
	// minReportsPerSecond is how many reports an entry requests when it has few orders,
	// so that the next job isn't refused because of half a second old state. They cost
	// a fifth of a hundredth of a core.
	minReportsPerSecond = 100
)

// reportInterval returns how often an agent is to report its state without other updates.
//
// It follows the rate of orders: otherwise most reports in a large fleet would come from
// idle workers.
func (d *Dispatcher) reportInterval(now time.Time) time.Duration {
	perSecond := min(d.opts.ReportsPerSecond, max(minReportsPerSecond, reportsPerOrder*d.orderRate.perSecond(now)))
	every := time.Duration(float64(len(d.agents)) / perSecond * float64(time.Second))
	return min(max(every, minReportInterval), maxReportInterval)
}
