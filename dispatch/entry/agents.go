package entry

import (
	"slices"
	"strings"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/place"
)

// agent is this entry's view of one agent process.
type agent struct {
	hello       *pb.AgentHello
	session     link.Session
	epoch       uint64 // of the last link requested
	dialing     bool
	failedDials int       // dial attempts since the last link
	dialAt      time.Time // when the next attempt may start
	downAt      time.Time // when the last link was lost
	abandoned   bool      // until it announces itself again
	// announced is another process that announced itself under this name; nil if there is
	// none. Asking means that the last dial was to that process.
	announced *pb.AgentHello
	asking    bool

	leaving    bool
	load       *pb.AgentLoad
	revision   uint64
	sentDemand uint32 // unmet demand, as last sent

	tasks []*taskState // sent, without a result or refusal yet

	nextFrame     pb.EntryFrame // content of the next frame
	pendingStarts []*taskState  // starts to send in the next frame
	dirty         bool

	healthState place.HealthState // as last recorded, for operators
}

const (
	// maxPastIncarnations is how many ended incarnations are remembered for an agent,
	// and maxPastAgents for how many agents.
	maxPastIncarnations = 4
	maxPastAgents       = 10_000
	// forgetAgentAfter is how long an abandoned agent stays listed.
	forgetAgentAfter = 10 * time.Minute
)

// AgentAnnounced handles an agent's announcement. A new incarnation replaces the old one,
// whose process has ended, once it has accepted a link. Relink requests a new link to the
// same process.
func (e *Entry) AgentAnnounced(now time.Time, hello *pb.AgentHello, relink, leaving bool) {
	if slices.Contains(e.pastIncarnations[hello.Agent], hello.Incarnation) {
		// A stale announcement, delayed until after that of the next process. Handling
		// it would abandon every task that runs in the current process.
		return
	}
	a := e.byName[hello.Agent]
	if a != nil && a.hello.Incarnation != hello.Incarnation {
		e.askAnnounced(now, a, hello)
		return
	}
	if a == nil {
		a = e.addAgent(now, hello)
	}
	a.leaving = leaving
	if a.abandoned {
		e.recordPeer(now, event.PeerBack, a, "", 0)
		a.abandoned = false
		a.downAt = now
	}
	if relink && a.session.IsUp() {
		e.recordPeer(now, event.PeerSuspected, a, "the agent asks for a new link", 0)
		e.linkLost(now, a)
		a.dialAt = now
	}
	e.dial(now, a)
}

func (e *Entry) addAgent(now time.Time, hello *pb.AgentHello) *agent {
	a := &agent{hello: hello, downAt: now}
	e.byName[hello.Agent] = a
	e.agents = append(e.agents, a)
	slices.SortFunc(e.agents, func(x, y *agent) int { return strings.Compare(x.hello.Agent, y.hello.Agent) })
	e.policy.health.Add(hello.Agent)
	return a
}

// askAnnounced dials a process that announced itself under the name of another one. Its
// announcement may be late and the other process the later one, so nothing else is
// concluded from it.
func (e *Entry) askAnnounced(now time.Time, a *agent, hello *pb.AgentHello) {
	if a.announced.GetIncarnation() != hello.Incarnation {
		if a.session.IsUp() {
			e.recordPeer(now, event.PeerSuspected, a, "another process has announced itself", 0)
		}
		e.linkLost(now, a)
		a.dialAt, a.asking = now, false
	}
	a.announced = hello
	if a.abandoned {
		a.abandoned, a.downAt = false, now
	}
	e.dial(now, a)
}

// removeEnded removes an agent whose process is known to have ended.
func (e *Entry) removeEnded(a *agent) {
	e.rememberEnded(a.hello)
	e.forgetAgent(a)
}

// rememberEnded records a process that is known to have ended.
func (e *Entry) rememberEnded(hello *pb.AgentHello) {
	if len(e.pastIncarnations) >= maxPastAgents {
		// Agents are regularly replaced by ones with new names. If an incarnation is
		// not remembered, a stale announcement costs at most one dial.
		clear(e.pastIncarnations)
	}
	past := append(e.pastIncarnations[hello.Agent], hello.Incarnation)
	e.pastIncarnations[hello.Agent] = past[max(0, len(past)-maxPastIncarnations):]
}

// forgetAbandoned removes agents that were abandoned long ago. One that comes back
// announces itself like a new one.
func (e *Entry) forgetAbandoned(now time.Time) {
	old := func(a *agent) bool { return a.abandoned && !now.Before(a.downAt.Add(forgetAgentAfter)) }
	for i := slices.IndexFunc(e.agents, old); i >= 0; i = slices.IndexFunc(e.agents, old) {
		e.forgetAgent(e.agents[i])
	}
}

func (e *Entry) forgetAgent(a *agent) {
	e.policy.health.Remove(a.hello.Agent)
	delete(e.byName, a.hello.Agent)
	e.agents = slices.DeleteFunc(e.agents, func(x *agent) bool { return x == a })
}

func (e *Entry) dial(now time.Time, a *agent) {
	if a.dialing || a.session.IsUp() || a.abandoned || now.Before(a.dialAt) {
		return
	}
	// All agents share one counter: an agent that was removed and comes back would
	// refuse a link with an epoch below that of its last one.
	e.lastEpoch++
	a.epoch = e.lastEpoch
	a.dialing = true
	a.dialAt = now.Add(e.backoff(a.failedDials))
	a.failedDials++
	// If both processes are known, they are dialed in turn.
	a.asking = a.announced != nil && !a.asking
	target := a.hello
	if a.asking {
		target = a.announced
	}
	h := &pb.EntryHello{
		Entry: e.opts.Hello.Entry, Incarnation: e.opts.Hello.Incarnation, Address: e.opts.Hello.Address,
		FailureDomain: e.opts.Hello.FailureDomain, AgentIncarnation: target.Incarnation, Epoch: a.epoch,
		OperatorAddress: e.opts.Hello.OperatorAddress,
	}
	e.ready.Dials = append(e.ready.Dials, Dial{Agent: a.hello.Agent, Address: target.Address, Hello: h})
}

// backoff returns the delay after the given number of failed attempts, drawn from
// the upper half of a bound that doubles. Without jitter, a failed switch would
// make all entries dial all agents behind it in lockstep.
func (e *Entry) backoff(failed int) time.Duration {
	bound := e.opts.RedialAfter
	for i := 0; i < failed && bound < e.opts.RedialMax; i++ {
		bound *= 2
	}
	bound = min(bound, e.opts.RedialMax)
	return bound/2 + time.Duration(e.opts.Random()*float64(bound)/2)
}

// LinkUp reports that the link requested with the epoch is open. Every start
// without a result is sent again: the start, its refusal or its result may have
// been lost with the old link, and the agent recognizes starts that it has received
// before. For a revoked task the revocation is sent instead, since it must not start
// any more.
func (e *Entry) LinkUp(now time.Time, name string, epoch uint64) {
	a := e.byName[name]
	if a == nil || a.epoch != epoch || !a.dialing {
		return
	}
	if a.asking {
		ended := a
		e.abandon(now, ended, "the agent was restarted")
		e.removeEnded(ended)
		a = e.addAgent(now, ended.announced)
		a.epoch = epoch
	}
	a.dialing, a.failedDials, a.announced = false, 0, nil
	a.session.Up(now, epoch, e.opts.Link)
	e.recordPeer(now, event.LinkUp, a, "", epoch)
	a.sentDemand = 0
	known := e.updateAgent(now, a)
	a.nextFrame = pb.EntryFrame{Peers: e.peers}
	a.pendingStarts = nil
	a.dirty = len(a.tasks) > 0 || len(e.peers) > 0
	for _, t := range a.tasks {
		if t.revoked {
			a.addRevoke(t)
		} else {
			a.pendingStarts = append(a.pendingStarts, t)
			// The agent deducts the slot from the credits that it grants on this link.
			e.policy.sched.Pool.Grant(known, -known.Units(t.start.MemoryBytes))
		}
	}
	for _, name := range e.recoveryNames() {
		e.resendFence(e.recoveries[name], a)
	}
}

// NotifyPeers sets the live entries and sends them to every agent. They are sent
// again on each new link, so a frame lost with its link does no harm.
func (e *Entry) NotifyPeers(peers []*pb.Peer) {
	e.peers = peers
	for _, a := range e.agents {
		if a.session.IsUp() {
			a.nextFrame.Peers, a.dirty = peers, true
		}
	}
}

// LinkDown reports that a link was lost or could not be opened. Refused means that
// another process answered there, so the process that was dialed has ended.
func (e *Entry) LinkDown(now time.Time, name string, epoch uint64, refused bool) {
	a := e.byName[name]
	if a == nil || a.epoch != epoch {
		return
	}
	if refused && a.asking {
		e.rememberEnded(a.announced)
		a.announced, a.asking, a.dialing, a.dialAt = nil, false, false, now
		e.dial(now, a)
		return
	}
	if refused {
		e.abandon(now, a, "the agent was restarted")
		e.removeEnded(a)
		return
	}
	wasUp := a.session.IsUp()
	e.linkLost(now, a)
	if wasUp {
		a.dialAt = now
	}
	e.dial(now, a)
}

func (e *Entry) linkLost(now time.Time, a *agent) {
	if a.session.IsUp() {
		a.downAt = now
		e.recordPeer(now, event.LinkDown, a, "", a.session.Epoch())
	}
	if n := e.creditsOf(a); n > 0 {
		e.recordPeer(now, event.CreditsLost, a, "", uint64(n))
	}
	a.session.Down()
	a.dialing = false
	if known := e.policy.sched.Pool.Agent(a.hello.Agent); known != nil {
		e.policy.sched.Pool.SetCredits(known, 0)
		e.updateAgent(now, a)
	}
	// Starts that were placed but never put into a frame have not left this process.
	placed := a.pendingStarts
	a.pendingStarts = nil
	for _, t := range placed {
		if t.seq == 0 {
			a.untrack(t)
			e.release(a, t)
			e.requeue(now, t)
		}
	}
}

func (e *Entry) tickAgent(now time.Time, a *agent) {
	if a.session.TimedOut(now) {
		e.recordPeer(now, event.PeerSuspected, a, "the link has gone silent", a.session.Epoch())
		e.linkLost(now, a)
		a.dialAt = now
	}
	if a.session.IsUp() {
		if a.session.Due(now) {
			a.dirty = true
		}
		return
	}
	if !a.abandoned && !now.Before(a.downAt.Add(e.opts.AgentLostAfter)) {
		e.abandon(now, a, "the agent can't be reached")
		a.abandoned = true
		return
	}
	e.dial(now, a)
}

func (a *agent) next(o *Options) time.Time {
	if a.session.IsUp() {
		return a.session.Next()
	}
	if a.abandoned {
		return a.downAt.Add(forgetAgentAfter)
	}
	lost := a.downAt.Add(o.AgentLostAfter)
	if a.dialing {
		return lost
	}
	return link.Earlier(lost, a.dialAt)
}

// abandon ends the tasks sent to an agent process with an unknown outcome: each of
// them may have started there, so no other agent may start it.
func (e *Entry) abandon(now time.Time, a *agent, why string) {
	e.recordPeer(now, event.PeerGone, a, why, uint64(len(a.tasks)))
	e.linkLost(now, a)
	tasks := a.tasks
	a.tasks = nil
	e.policy.sched.RemoveAgent(a.hello.Agent)
	for _, t := range tasks {
		e.release(a, t)
		if t.phase == ended {
			continue
		}
		e.recordTask(now, event.TaskUnknown, t, a, why)
		e.taskEnded(now, t, &pb.TaskResult{Task: t.index, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Error: why})
	}
	for _, name := range e.recoveryNames() {
		e.recoveryAgentLost(now, e.recoveries[name], a)
	}
}

// Step handles a frame received on the link with the given epoch.
func (e *Entry) Step(now time.Time, name string, epoch uint64, f *pb.AgentFrame) {
	a := e.byName[name]
	if a == nil || a.session.Epoch() != epoch {
		return
	}
	if a.session.TimedOut(now) {
		// The link has timed out, as after a pause of the agent. A new link carries what
		// was missed.
		e.tickAgent(now, a)
		return
	}
	if !a.session.Received(now, f.Seq, f.Ack, hasContent(f)) {
		return
	}
	if !e.opts.Events.Observe(f.Clock, now) && f.Hello != nil {
		e.recordPeer(now, event.ClockRejected, a, "its clock is too far ahead", 0)
	}
	e.recordReceived(now, a, f)
	if f.Hello != nil {
		a.hello = f.Hello
	}
	if f.Load != nil {
		a.load = f.Load
	}
	a.revision = max(a.revision, f.ConfigRevision)
	known := e.updateAgent(now, a)
	e.policy.sched.Pool.Grant(known, int(f.Granted))
	for _, n := range f.News {
		e.applyResults(now, a, n)
	}
	for _, r := range f.Fenced {
		e.applyFenceReport(now, a, r)
	}
	// The agent exits once this is acknowledged.
	a.dirty = a.dirty || (f.Leaving && !a.leaving)
	a.leaving = f.Leaving
	if a.leaving {
		e.policy.sched.Pool.SetCredits(known, 0)
		e.updateAgent(now, a)
	}
	if f.Spare != nil {
		spare, unacked := int(*f.Spare), a.unackedUnits(known)
		waiting := int(f.Waiting) + max(unacked-max(spare, 0), 0)
		e.policy.sched.Pool.SetSpare(known, spare-unacked, waiting)
	}
	if f.Recall > 0 {
		e.returnCredits(a, int(f.Recall))
	}
}

// unackedUnits returns the units of the starts that the agent had not received when
// it sent its last frame.
func (a *agent) unackedUnits(known *place.Agent) int {
	units := 0
	for _, t := range a.tasks {
		if t.seq == 0 || t.seq > a.session.Acked() {
			units += known.Units(t.start.MemoryBytes)
		}
	}
	return units
}

func hasContent(f *pb.AgentFrame) bool {
	return f.Hello != nil || len(f.News) > 0 || len(f.Fenced) > 0 || f.Granted > 0 || f.Leaving
}

// returnCredits returns credits that no waiting task needs. It replies even if
// there are none, so that the agent may recall again.
func (e *Entry) returnCredits(a *agent, n int) {
	known := e.policy.sched.Pool.Agent(a.hello.Agent)
	a.nextFrame.Returned += uint32(e.policy.sched.Pool.Reclaim(known, n))
	a.nextFrame.Recalled = true
	a.dirty = true
}

func (e *Entry) applyResults(now time.Time, a *agent, n *pb.TaskNews) {
	if r := e.recoveries[n.Job]; r != nil {
		e.recoveryResults(now, r, n.Results)
	}
	js := e.jobs[n.Job]
	if js == nil {
		return
	}
	for _, res := range n.Results {
		if int(res.Task) >= len(js.tasks) {
			continue
		}
		t := &js.tasks[res.Task]
		if t.agent != a || t.phase != sent {
			// A duplicate: the result came over both an old and a new link.
			continue
		}
		if a.untrack(t) {
			e.refundCredits(a, t)
		}
		e.release(a, t)
		e.recordOutcome(now, a, t, res)
		if res.Outcome == pb.Outcome_OUTCOME_NOT_RUN {
			e.taskRefused(now, t, res)
			continue
		}
		e.taskEnded(now, t, res)
	}
}

// flush sends everything pending for an agent in one frame.
func (e *Entry) flush(now time.Time, a *agent) {
	f := &pb.EntryFrame{
		Revokes: a.nextFrame.Revokes, Fences: a.nextFrame.Fences, Finished: a.nextFrame.Finished,
		Returned: a.nextFrame.Returned, Recalled: a.nextFrame.Recalled, Contracts: a.nextFrame.Contracts, Want: a.sentDemand, Leaving: e.leaving,
		Ended: e.exiting, Peers: a.nextFrame.Peers,
	}
	a.nextFrame = pb.EntryFrame{}
	a.dirty = false
	// On a new link, the agent's first frame may carry the result of a task whose
	// start was about to be sent again.
	a.pendingStarts = slices.DeleteFunc(a.pendingStarts, func(t *taskState) bool { return t.phase != sent })
	for _, t := range a.pendingStarts {
		f.Starts = addStart(now, f.Starts, t)
	}
	content := len(f.Starts) > 0 || len(f.Revokes) > 0 || len(f.Fences) > 0 || f.Returned > 0 || len(f.Contracts) > 0
	f.Seq, f.Ack = a.session.Send(now, content)
	e.recordSent(now, a, f)
	f.Clock = e.opts.Events.Stamp(now)
	for _, t := range a.pendingStarts {
		t.seq = f.Seq
	}
	a.pendingStarts = a.pendingStarts[:0]
	e.ready.Frames = append(e.ready.Frames, OutgoingFrame{Agent: a.hello.Agent, Epoch: a.session.Epoch(), Frame: f})
}

func addStart(now time.Time, batches []*pb.StartBatch, t *taskState) []*pb.StartBatch {
	js := t.job
	resent := t.seq != 0
	if n := len(batches); n > 0 && batches[n-1].Job == js.name && batches[n-1].Resent == resent {
		batches[n-1].Tasks = append(batches[n-1].Tasks, t.start)
		return batches
	}
	left := max(1, js.deadline.Sub(now)/time.Millisecond)
	return append(batches, &pb.StartBatch{
		Job: js.name, Contract: js.job.Contract, Kind: js.job.Kind, TimeoutMs: uint32(left),
		Tasks: []*pb.TaskStart{t.start}, Digest: js.digest, Resent: resent, Class: js.class,
	})
}

// track assigns a task to this agent and adds its start to the next frame.
func (a *agent) track(t *taskState) {
	t.agent = a
	t.phase = sent
	t.seq = 0
	t.pos = len(a.tasks)
	a.tasks = append(a.tasks, t)
	a.pendingStarts = append(a.pendingStarts, t)
	a.dirty = true
}

// untrack unassigns a task from the agent and reports whether it withdrew a start
// that was pending for the next frame. On a new link the agent's first frame may
// carry the task's result or refusal; sending the start again would then run the
// task a second time.
func (a *agent) untrack(t *taskState) (withdrawn bool) {
	n := len(a.pendingStarts)
	a.pendingStarts = slices.DeleteFunc(a.pendingStarts, func(x *taskState) bool { return x == t })
	withdrawn = len(a.pendingStarts) < n
	last := len(a.tasks) - 1
	if t.pos > last || a.tasks[t.pos] != t {
		return withdrawn
	}
	a.tasks[t.pos] = a.tasks[last]
	a.tasks[t.pos].pos = t.pos
	a.tasks = a.tasks[:last]
	return withdrawn
}

// revoke asks the agent not to start a task, or to stop it if it runs.
func (a *agent) revoke(t *taskState) {
	if t.revoked {
		return
	}
	t.revoked = true
	if a.session.IsUp() {
		a.pendingStarts = slices.DeleteFunc(a.pendingStarts, func(x *taskState) bool { return x == t })
		a.addRevoke(t)
	}
}

func (a *agent) addRevoke(t *taskState) {
	a.dirty = true
	name := t.job.name
	if n := len(a.nextFrame.Revokes); n > 0 && a.nextFrame.Revokes[n-1].Job == name {
		a.nextFrame.Revokes[n-1].Tasks = append(a.nextFrame.Revokes[n-1].Tasks, t.index)
		return
	}
	a.nextFrame.Revokes = append(a.nextFrame.Revokes, &pb.Revoke{Job: name, Tasks: []uint32{t.index}})
}
