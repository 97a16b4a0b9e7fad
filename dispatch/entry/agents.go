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

// agent is one agent process as this entry sees it.
type agent struct {
	hello   *pb.AgentHello
	session link.Session
	epoch   uint64 // of the last link asked for
	dialing bool
	failed  int       // attempts since the last link
	dialAt  time.Time // when the next attempt may start
	downAt  time.Time // when the last link was lost
	gone    bool      // given up; back when it announces itself

	leaving  bool
	load     *pb.AgentLoad
	revision uint64
	wanted   uint32 // want as last told

	tasks []*taskState // sent, and no result or refusal has come

	out    pb.EntryFrame // content of the next frame
	placed []*taskState  // starts of the next frame
	dirty  bool

	standing place.Standing // as last told, for operators
}

const (
	// maxPast is how many ended incarnations of an agent are remembered, and
	// maxPastNames of how many agents.
	maxPast      = 4
	maxPastNames = 10_000
	// forgetAgentAfter is how long an agent that was given up is listed.
	forgetAgentAfter = 10 * time.Minute
)

// AgentSeen takes in an announcement. A new incarnation replaces the old one,
// whose process has ended. Relink asks for a new link to the same process.
func (e *Entry) AgentSeen(now time.Time, hello *pb.AgentHello, relink, leaving bool) {
	if slices.Contains(e.past[hello.Agent], hello.Incarnation) {
		// An announcement that was delayed until after the next process's own. Taking
		// it in would give up on all that runs in the living process.
		return
	}
	a := e.byName[hello.Agent]
	if a != nil && a.hello.Incarnation != hello.Incarnation {
		e.lose(now, a, "the agent was restarted")
		e.remove(a)
		a = nil
	}
	if a == nil {
		a = &agent{hello: hello, downAt: now}
		e.byName[hello.Agent] = a
		e.agents = append(e.agents, a)
		slices.SortFunc(e.agents, func(x, y *agent) int { return strings.Compare(x.hello.Agent, y.hello.Agent) })
	}
	a.leaving = leaving
	e.policy.health.Add(hello.Agent)
	if a.gone {
		e.recordPeer(now, event.PeerBack, a, "", 0)
		a.gone = false
		a.downAt = now
	}
	if relink && a.session.IsUp() {
		e.recordPeer(now, event.PeerSuspected, a, "the agent asks for a new link", 0)
		e.down(now, a)
		a.dialAt = now
	}
	e.dial(now, a)
}

// remove forgets an agent whose process is known to have ended.
func (e *Entry) remove(a *agent) {
	if len(e.past) >= maxPastNames {
		// Agents with new names take the place of old ones every day. Without what was
		// known of these, a late announcement costs at most one dial.
		clear(e.past)
	}
	past := append(e.past[a.hello.Agent], a.hello.Incarnation)
	e.past[a.hello.Agent] = past[max(0, len(past)-maxPast):]
	e.forgetAgent(a)
}

// forgetGone forgets agents that were given up long ago. One that comes back all
// the same announces itself like a new one.
func (e *Entry) forgetGone(now time.Time) {
	old := func(a *agent) bool { return a.gone && !now.Before(a.downAt.Add(forgetAgentAfter)) }
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
	if a.dialing || a.session.IsUp() || a.gone || now.Before(a.dialAt) {
		return
	}
	// One counter for all agents: an agent that is forgotten and comes back would
	// refuse a link numbered lower than the last.
	e.epoch++
	a.epoch = e.epoch
	a.dialing = true
	a.dialAt = now.Add(e.backoff(a.failed))
	a.failed++
	h := &pb.EntryHello{
		Entry: e.opts.Hello.Entry, Incarnation: e.opts.Hello.Incarnation, Address: e.opts.Hello.Address,
		FailureDomain: e.opts.Hello.FailureDomain, AgentIncarnation: a.hello.Incarnation, Epoch: a.epoch,
		OperatorAddress: e.opts.Hello.OperatorAddress,
	}
	e.ready.Dials = append(e.ready.Dials, Dial{Agent: a.hello.Agent, Address: a.hello.Address, Hello: h})
}

// backoff is the pause after the given number of failed attempts, drawn from the
// upper half of a bound that doubles: a switch that fails would otherwise have
// every entry dial every agent behind it in step, over and over.
func (e *Entry) backoff(failed int) time.Duration {
	bound := e.opts.RedialAfter
	for i := 0; i < failed && bound < e.opts.RedialMax; i++ {
		bound *= 2
	}
	bound = min(bound, e.opts.RedialMax)
	return bound/2 + time.Duration(e.opts.Random()*float64(bound)/2)
}

// LinkUp takes in that the link asked for with the epoch is open. Every start
// without a result goes out again: it, its refusal or its result may have been
// lost with the old link, and the agent knows which of its starts it took. A
// revoked one must not start any more, so its revocation goes out in its place.
func (e *Entry) LinkUp(now time.Time, name string, epoch uint64) {
	a := e.byName[name]
	if a == nil || a.epoch != epoch || !a.dialing {
		return
	}
	a.dialing, a.failed = false, 0
	a.session.Up(now, epoch, e.opts.Link)
	e.recordPeer(now, event.LinkUp, a, "", epoch)
	a.wanted = 0
	known := e.updateAgent(now, a)
	a.out = pb.EntryFrame{Peers: e.peers}
	a.placed = nil
	a.dirty = len(a.tasks) > 0 || len(e.peers) > 0
	for _, t := range a.tasks {
		if t.revoked {
			a.addRevoke(t)
		} else {
			a.placed = append(a.placed, t)
			// The agent takes the slot from what it grants on this link.
			e.policy.sched.Pool.Grant(known, -known.Units(t.start.MemoryBytes))
		}
	}
	for _, name := range e.recoveryNames() {
		e.fenceAgain(e.recoveries[name], a)
	}
}

// TellPeers takes in the entries that live and tells every agent. The link's
// next epoch tells them again, so that a frame lost with its link does no harm.
func (e *Entry) TellPeers(peers []*pb.Peer) {
	e.peers = peers
	for _, a := range e.agents {
		if a.session.IsUp() {
			a.out.Peers, a.dirty = peers, true
		}
	}
}

// LinkDown takes in that a link was lost or could not be opened. Refused tells
// that the process there is another one, and the agent's own has ended.
func (e *Entry) LinkDown(now time.Time, name string, epoch uint64, refused bool) {
	a := e.byName[name]
	if a == nil || a.epoch != epoch {
		return
	}
	if refused {
		e.lose(now, a, "the agent was restarted")
		e.remove(a)
		return
	}
	wasUp := a.session.IsUp()
	e.down(now, a)
	if wasUp {
		a.dialAt = now
	}
	e.dial(now, a)
}

func (e *Entry) down(now time.Time, a *agent) {
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
	// Starts that were placed and never framed have not left this process.
	placed := a.placed
	a.placed = nil
	for _, t := range placed {
		if t.seq == 0 {
			a.untrack(t)
			e.release(a, t)
			e.requeue(now, t)
		}
	}
}

func (e *Entry) tickAgent(now time.Time, a *agent) {
	if a.session.Silent(now) {
		e.recordPeer(now, event.PeerSuspected, a, "the link has gone silent", a.session.Epoch())
		e.down(now, a)
		a.dialAt = now
	}
	if a.session.IsUp() {
		if a.session.Due(now) {
			a.dirty = true
		}
		return
	}
	if !a.gone && !now.Before(a.downAt.Add(e.opts.AgentLostAfter)) {
		e.lose(now, a, "the agent can't be reached")
		a.gone = true
		return
	}
	e.dial(now, a)
}

func (a *agent) next(o *Options) time.Time {
	if a.session.IsUp() {
		return a.session.Next()
	}
	if a.gone {
		return a.downAt.Add(forgetAgentAfter)
	}
	lost := a.downAt.Add(o.AgentLostAfter)
	if a.dialing {
		return lost
	}
	return link.Earlier(lost, a.dialAt)
}

// lose gives up on what was sent to an agent process: each such task may have
// started there, and nobody else may start it.
func (e *Entry) lose(now time.Time, a *agent, why string) {
	e.recordPeer(now, event.PeerGone, a, why, uint64(len(a.tasks)))
	e.down(now, a)
	tasks := a.tasks
	a.tasks = nil
	e.policy.sched.Drop(a.hello.Agent)
	for _, t := range tasks {
		e.release(a, t)
		if t.phase == ended {
			continue
		}
		e.recordTask(now, event.TaskUnknown, t, a, why)
		e.taskEnded(now, t, &pb.TaskResult{Task: t.index, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Error: why})
	}
	for _, name := range e.recoveryNames() {
		e.recoveryLost(now, e.recoveries[name], a)
	}
}

// Step takes in a frame of the link with the given epoch.
func (e *Entry) Step(now time.Time, name string, epoch uint64, f *pb.AgentFrame) {
	a := e.byName[name]
	if a == nil || a.session.Epoch() != epoch {
		return
	}
	if a.session.Silent(now) {
		// As an agent that was paused does; what was missed comes over a new link.
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
		e.news(now, a, n)
	}
	for _, r := range f.Fenced {
		e.fenceReport(now, a, r)
	}
	// The agent ends once this is acknowledged.
	a.dirty = a.dirty || (f.Leaving && !a.leaving)
	a.leaving = f.Leaving
	if a.leaving {
		e.policy.sched.Pool.SetCredits(known, 0)
		e.updateAgent(now, a)
	}
	if f.Spare != nil {
		spare, unseen := int(*f.Spare), a.unseen(known)
		waiting := int(f.Waiting) + max(unseen-max(spare, 0), 0)
		e.policy.sched.Pool.SetSpare(known, spare-unseen, waiting)
	}
	if f.Recall > 0 {
		e.giveBack(a, int(f.Recall))
	}
}

// unseen returns the units of starts that the agent had not received when it sent
// its last frame.
func (a *agent) unseen(known *place.Agent) int {
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

// giveBack returns credits that no waiting task needs; it answers even with
// none, so that the agent may ask again.
func (e *Entry) giveBack(a *agent, n int) {
	known := e.policy.sched.Pool.Agent(a.hello.Agent)
	a.out.Returned += uint32(e.policy.sched.Pool.Reclaim(known, n))
	a.out.Recalled = true
	a.dirty = true
}

func (e *Entry) news(now time.Time, a *agent, n *pb.TaskNews) {
	if r := e.recoveries[n.Job]; r != nil {
		e.recoveryNews(now, r, n.Results)
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
			// A result that came twice, over an old and a new link.
			continue
		}
		if a.untrack(t) {
			e.unspend(a, t)
		}
		e.release(a, t)
		e.learn(now, a, t, res)
		if res.Outcome == pb.Outcome_OUTCOME_NOT_RUN {
			e.refused(now, t, res)
			continue
		}
		e.taskEnded(now, t, res)
	}
}

// flush sends what has gathered for an agent.
func (e *Entry) flush(now time.Time, a *agent) {
	f := &pb.EntryFrame{
		Revokes: a.out.Revokes, Fences: a.out.Fences, Finished: a.out.Finished,
		Returned: a.out.Returned, Recalled: a.out.Recalled, Contracts: a.out.Contracts, Want: a.wanted, Leaving: e.leaving,
		Ended: e.over, Peers: a.out.Peers,
	}
	a.out = pb.EntryFrame{}
	a.dirty = false
	// With a new link, the agent's first frame may bring the result of a task whose
	// start was about to be sent again.
	a.placed = slices.DeleteFunc(a.placed, func(t *taskState) bool { return t.phase != sent })
	for _, t := range a.placed {
		f.Starts = addStart(now, f.Starts, t)
	}
	content := len(f.Starts) > 0 || len(f.Revokes) > 0 || len(f.Fences) > 0 || f.Returned > 0 || len(f.Contracts) > 0
	f.Seq, f.Ack = a.session.Send(now, content)
	e.recordSent(now, a, f)
	f.Clock = e.opts.Events.Stamp(now)
	for _, t := range a.placed {
		t.seq = f.Seq
	}
	a.placed = a.placed[:0]
	e.ready.Frames = append(e.ready.Frames, Out{Agent: a.hello.Agent, Epoch: a.session.Epoch(), Frame: f})
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

// track notes that a task is this agent's.
func (a *agent) track(t *taskState) {
	t.agent = a
	t.phase = sent
	t.seq = 0
	t.pos = len(a.tasks)
	a.tasks = append(a.tasks, t)
	a.placed = append(a.placed, t)
	a.dirty = true
}

// untrack ends the agent's part in a task. A start that waits for the next frame
// is taken out of it, which untrack reports: with a new link the result or refusal
// may be in the agent's first frame, and the start that was about to go out again
// would run the task a second time.
func (a *agent) untrack(t *taskState) (withdrawn bool) {
	n := len(a.placed)
	a.placed = slices.DeleteFunc(a.placed, func(x *taskState) bool { return x == t })
	withdrawn = len(a.placed) < n
	last := len(a.tasks) - 1
	if t.pos > last || a.tasks[t.pos] != t {
		return withdrawn
	}
	a.tasks[t.pos] = a.tasks[last]
	a.tasks[t.pos].pos = t.pos
	a.tasks = a.tasks[:last]
	return withdrawn
}

// revoke asks the agent not to start a task, or to stop it.
func (a *agent) revoke(t *taskState) {
	if t.revoked {
		return
	}
	t.revoked = true
	if a.session.IsUp() {
		a.placed = slices.DeleteFunc(a.placed, func(x *taskState) bool { return x == t })
		a.addRevoke(t)
	}
}

func (a *agent) addRevoke(t *taskState) {
	a.dirty = true
	name := t.job.name
	if n := len(a.out.Revokes); n > 0 && a.out.Revokes[n-1].Job == name {
		a.out.Revokes[n-1].Tasks = append(a.out.Revokes[n-1].Tasks, t.index)
		return
	}
	a.out.Revokes = append(a.out.Revokes, &pb.Revoke{Job: name, Tasks: []uint32{t.index}})
}
