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

// agent is one agent process as this entry sees it.
type agent struct {
	name        string
	incarnation string
	domain      string
	session     link.Session

	state    *pb.WorkerState
	stateAt  time.Time
	capacity size.Size
	// free is the room last reported less the orders that the report did not count;
	// it is negative when these are more.
	free     size.Size
	frees    forecast.Frees
	standing place.Standing
	slowness float64 // against others, as judged last

	live     []*order // that have not ended, oldest first
	lastSent time.Time
	downAt   time.Time
	gaveUp   bool // the jobs that can't wait for it have been answered
	replaced bool // another process has taken its place
	// greetedAt is when the greeting of its link arrived.
	greetedAt time.Time

	out         pb.OrderFrame // content of the next frame
	dirty       bool
	eager       bool     // it was told that work waits
	entries     []string // that it is told of
	invitedBy   []string // entries that want a link, not told yet
	tellEntries bool
	// tellEvacuations: the next frame tells which failure domains are evacuated.
	tellEvacuations bool

	touched bool // since the last call of Ready
	wakeAt  time.Time
	wakePos int // in Dispatcher.wakes
	// afterOther: an earlier process of the same agent is listed.
	afterOther bool
	// trialUntil is how long nothing is sent beside a suspected task.
	trialUntil time.Time
}

// Before implements indexheap.Item: the agent for which time matters next goes first.
func (a *agent) Before(o *agent) bool { return a.wakeAt.Before(o.wakeAt) }

// SetPos implements indexheap.Item.
func (a *agent) SetPos(pos int) { a.wakePos = pos }

func (a *agent) hasLabel(label string) bool {
	return label == "" || slices.Contains(a.state.GetLabels(), label)
}

// ofStep counts the live orders of the task's step here.
func (a *agent) ofStep(t *task) int {
	n := 0
	for _, o := range a.live {
		if o.task.job == t.job && o.task.step == t.step {
			n++
		}
	}
	return n
}

// renewFree counts what is free and comes free anew, from the last report and the
// orders that it did not count.
func (a *agent) renewFree() {
	a.free = size.OfRoom(a.state.GetRoom())
	a.frees = forecast.Frees{}
	for i, cpu := range a.state.GetFrees() {
		if i < len(a.frees) {
			a.frees[i] = int64(cpu)
		}
	}
	for _, o := range a.live {
		if o.number > a.state.GetSeenOrder() {
			a.free = a.free.Minus(o.size)
			a.frees.Add(o.expected, o.size.CPUMillis)
		}
	}
}

// wait is how long a task is expected to wait for room: behind what waits there and
// goes before it, and what was ordered since.
func (a *agent) wait(s size.Size, priority uint32, late bool) time.Duration {
	need := s.CPUMillis - a.free.CPUMillis
	for _, q := range a.state.GetQueued() {
		if q.Late == late && q.Priority <= priority || late && !q.Late {
			need += int64(q.CpuMillis)
		}
	}
	if need <= 0 && !s.FitsIn(a.free) {
		// Memory or accelerators are what is short; these come free with processor.
		need = s.CPUMillis
	}
	// The figures are not made younger by their age: what came free since then, other
	// entries have taken as well. See forecast.Frees.
	return a.frees.Wait(need)
}

func (d *Dispatcher) agent(incarnation string) *agent { return d.byIncarnation[incarnation] }

func (a *agent) byNumber(n uint64) *order {
	for _, o := range a.live {
		if o.number == n {
			return o
		}
	}
	return nil
}

// forgetAgentAfter is how long an agent without link and orders is listed.
const forgetAgentAfter = 10 * time.Second

// tickAgents takes in the passing of time for the agents for which it matters.
func (d *Dispatcher) tickAgents(now time.Time) {
	d.dropUnconfirmed(now)
	for d.wakes.Len() > 0 && !now.Before(d.wakes.First().wakeAt) {
		a := d.wakes.First()
		d.wakes.Remove(a.wakePos) // until Ready
		d.touch(a)
		d.tickAgent(now, a)
	}
}

func (d *Dispatcher) tickAgent(now time.Time, a *agent) {
	if a.session.Silent(now) && !d.late(now) {
		d.down(now, a, "the link has gone silent")
		d.ready.Close = append(d.ready.Close, a.incarnation)
	}
	if a.session.IsUp() {
		return
	}
	if !a.gaveUp && !now.Before(a.downAt.Add(d.opts.Times.GiveUp)) {
		d.giveUpOn(now, a)
	}
	if len(a.live) > 0 && !now.Before(a.lastSent.Add(d.opts.Times.RunsOver)) {
		// Nothing can still run of what was ordered there; see package bounds.
		d.lost(now, a, "the agent can't be reached")
	}
	if len(a.live) == 0 && !now.Before(a.downAt.Add(forgetAgentAfter)) {
		d.remove(a)
	}
}

// giveUpOn answers the jobs whose runs on a lost agent can't be replaced in time.
func (d *Dispatcher) giveUpOn(now time.Time, a *agent) {
	a.gaveUp = true
	free := a.lastSent.Add(d.opts.Times.RunsOver)
	for _, o := range slices.Clone(a.live) {
		j := o.task.job
		if !j.ended && free.Add(o.expected).After(j.deadline) {
			d.giveUp(now, j, ReasonAgentLost)
		}
	}
}

// lost takes in that what was ordered at an agent has ended without a result.
func (d *Dispatcher) lost(now time.Time, a *agent, why string) {
	for _, o := range slices.Clone(a.live) {
		d.drop(o)
		// Whether it began was not heard.
		o.task.job.started = true
		d.opts.Decided(Decision{Event: "run_lost", Job: o.task.job.ID, Task: o.task.name(), Run: o.run, Agent: a.name, Order: o.number, Reason: why})
		d.requeue(o.task.job, o.task)
	}
}

// Step takes in a frame of the link with the given epoch.
func (d *Dispatcher) Step(now time.Time, incarnation string, epoch uint64, f *pb.WorkerFrame) {
	if g, ok := d.greeted[incarnation]; ok && g.Epoch == epoch {
		d.confirm(now, g)
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
	if f.State != nil {
		d.takeState(now, a, f.State)
	}
	d.takeCrashes(now, a, f.Crashes)
	for _, n := range f.News {
		if o := a.byNumber(n.Number); o != nil {
			d.news(now, o, n)
		}
	}
}

func (d *Dispatcher) takeState(now time.Time, a *agent, s *pb.WorkerState) {
	if a.state == nil || a.state.Accepting != s.Accepting || a.state.Worker != s.Worker {
		d.opts.Decided(Decision{Event: "worker_state", Agent: a.name, Reason: s.Held, Outcome: s.Worker, Free: size.OfRoom(s.Room), Age: now.Sub(a.stateAt)})
	}
	if a.state != nil && a.state.Worker != s.Worker {
		// What was learned of one life says little of the next.
		d.health.Remove(a.incarnation)
		d.health.Add(a.incarnation)
		a.slowness = 1
	}
	a.state, a.stateAt, a.capacity = s, now, size.Of(s.Capacity)
	a.renewFree()
	d.updateStanding(now, a)
	if s.Clean && a.afterOther {
		d.settlePredecessors(now, a)
	}
}

func (d *Dispatcher) updateStanding(now time.Time, a *agent) {
	s := d.health.Standing(a.incarnation, now)
	if s != a.standing {
		d.opts.Decided(Decision{Event: "worker_standing", Agent: a.name, Outcome: standingName(s)})
		a.standing = s
	}
}

func standingName(s place.Standing) string {
	switch s {
	case place.Trial:
		return "trial"
	case place.Suspended:
		return "suspended"
	}
	return "open"
}

const (
	// minReportEvery is as often as reports tell anything new, and maxReportEvery how
	// old what is known of an agent may be when the first job comes after a pause: the
	// age at which a link's heartbeat is due anyway.
	minReportEvery = 20 * time.Millisecond
	maxReportEvery = time.Second
	// reportsPerOrder is how many reports an entry takes in for each order that it
	// sends. An order is placed by the state of some three workers; reports that come
	// faster than orders go out are not looked at.
	reportsPerOrder = 3
	// leastReports is how many reports a second an entry takes in when it has few orders:
	// the next job must not be refused for what was so half a second ago. They cost it a
	// fifth of a hundredth of a core.
	leastReports = 100
)

// reportEvery is how often an agent is to report its state without other news.
//
// It follows the orders: in a large fleet most reports would otherwise be of idle workers.
func (d *Dispatcher) reportEvery(now time.Time) time.Duration {
	perSecond := min(d.opts.ReportsPerSecond, max(leastReports, reportsPerOrder*d.ordered.perSecond(now)))
	every := time.Duration(float64(len(d.agents)) / perSecond * float64(time.Second))
	return min(max(every, minReportEvery), maxReportEvery)
}
