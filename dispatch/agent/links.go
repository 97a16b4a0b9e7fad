package agent

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/job"
)

// LinkUp takes in a new link. It returns the reason when the link is refused.
func (a *Agent) LinkUp(now time.Time, hello *pb.EntryHello) (refused string) {
	if hello.AgentIncarnation != a.opts.Hello.Incarnation {
		// A start meant for the process before this one must not run here: the
		// entry may have had it started there already.
		return "another incarnation of the agent"
	}
	p := a.peer(hello.Incarnation)
	if p == nil {
		a.forgetPeers()
		p = &peer{}
		a.peers = append(a.peers, p)
	} else if hello.Epoch <= p.session.Epoch() {
		// A connection that was slow to open after its successor: its starts are
		// older than what the entry knows now.
		return "older than the link in use"
	}
	p.hello = hello
	p.lost, p.told = false, false
	p.session.Up(now, hello.Epoch, a.opts.Link)
	a.recordPeer(now, event.LinkUp, p, "", hello.Epoch)
	a.slots.Link(hello.Incarnation, now)
	p.unacked = nil
	p.out = pb.AgentFrame{Hello: a.opts.Hello, Leaving: a.leaving}
	p.loadSentAt = time.Time{}
	p.dirty = true
	a.requeueResults(p)
	a.balance(now)
	return ""
}

// requeueResults puts every result the entry has not acknowledged on its new
// link: what was sent on the old one may never have arrived.
func (a *Agent) requeueResults(p *peer) {
	for _, rec := range a.sortedRecords(p.hello.Incarnation) {
		for _, t := range rec.sortedTasks() {
			if t.result != nil && !t.acked {
				a.addNews(p, rec.name, t.result)
			}
		}
	}
}

// LinkDown ends a link. Its credits return at once: starts that are still on
// their way on it will be dropped.
func (a *Agent) LinkDown(now time.Time, entry string, epoch uint64) {
	p := a.peer(entry)
	if p == nil || p.session.Epoch() != epoch || !p.session.IsUp() {
		return
	}
	a.recordPeer(now, event.LinkDown, p, "the connection ended", epoch)
	a.drop(now, p)
	a.balance(now)
}

func (a *Agent) drop(now time.Time, p *peer) {
	p.session.Down()
	p.downAt = now
	a.slots.Unlink(p.hello.Incarnation)
	p.out = pb.AgentFrame{}
	p.dirty = false
}

// Step takes in a frame of the link with the given epoch.
func (a *Agent) Step(now time.Time, entry string, epoch uint64, f *pb.EntryFrame) {
	p := a.peer(entry)
	if p == nil || p.session.Epoch() != epoch {
		return
	}
	if p.session.Silent(now) {
		// This process was paused, and reads what has waited for it: starts of jobs
		// that may be over. Over a new link it gets those that are still wanted.
		a.Tick(now)
		return
	}
	if !p.session.Received(now, f.Seq, f.Ack, HasContent(f)) {
		return
	}
	if !a.opts.Events.Observe(f.Clock, now) && f.Seq == 1 {
		a.recordPeer(now, event.ClockRejected, p, "its clock is too far ahead", 0)
	}
	a.recordReceived(now, p, f)
	a.acknowledged(p)
	a.slots.SetWant(entry, int(f.Want))
	if f.Returned > 0 || f.Recalled {
		a.slots.Returned(entry, int(f.Returned))
	}
	for _, b := range f.Starts {
		a.start(now, p, b)
	}
	for _, r := range f.Revokes {
		a.revoke(now, p, r)
	}
	for _, fe := range f.Fences {
		a.fence(now, p, fe)
	}
	for _, id := range f.Finished {
		a.finished(id)
	}
	if f.Ended {
		a.drop(now, p)
		a.lose(p)
	}
	a.runQueued(now)
	a.balance(now)
}

// lose takes an entry for gone: nobody waits for its results any more.
func (a *Agent) lose(p *peer) {
	p.lost = true
	for _, q := range slices.Clone(a.queue) {
		if q.task.rec.home == p.hello.Incarnation {
			a.unqueue(q.task, job.RefusedRevoked)
		}
	}
	a.retireAll(p.hello.Incarnation)
}

// HasContent reports whether a frame must be acknowledged.
func HasContent(f *pb.EntryFrame) bool {
	return f.Hello != nil || len(f.Starts) > 0 || len(f.Revokes) > 0 || len(f.Fences) > 0 ||
		f.Returned > 0 || len(f.Contracts) > 0
}

func (a *Agent) acknowledged(p *peer) {
	acked := p.session.Acked()
	n := 0
	for ; n < len(p.unacked) && p.unacked[n].seq <= acked; n++ {
		for _, t := range p.unacked[n].tasks {
			a.taskAcked(t)
		}
	}
	p.unacked = p.unacked[n:]
	p.knows = p.knows || (a.leaving && p.told && p.session.Settled())
}

func (a *Agent) taskAcked(t *task) {
	if t.acked {
		return
	}
	t.acked = true
	t.rec.open--
	if t.notRun() {
		// From here on a start of the task is a new one.
		a.dropTask(t)
		return
	}
	a.retire(t.rec)
}

func (a *Agent) addNews(p *peer, jobID string, res *pb.TaskResult) {
	p.dirty = true
	news := p.out.News
	if n := len(news); n > 0 && news[n-1].Job == jobID {
		news[n-1].Results = append(news[n-1].Results, res)
		return
	}
	p.out.News = append(news, &pb.TaskNews{Job: jobID, Results: []*pb.TaskResult{res}})
}

func (a *Agent) flush(now time.Time, p *peer) {
	f := &pb.AgentFrame{
		Hello: p.out.Hello, News: p.out.News, Fenced: p.out.Fenced,
		Granted: p.out.Granted, Recall: p.out.Recall, Leaving: a.leaving,
	}
	p.out = pb.AgentFrame{}
	p.dirty = false
	if now.Sub(p.loadSentAt) >= a.opts.LoadEvery {
		f.Load = a.load()
		p.loadSentAt = now
	}
	if !a.opts.Divided {
		spare := int32(a.slots.Free())
		f.Spare = &spare
		f.Waiting = uint32(a.slots.Queued(p.hello.Incarnation))
	}
	content := f.Hello != nil || len(f.News) > 0 || len(f.Fenced) > 0 || f.Granted > 0 || (a.leaving && !p.told)
	p.told = a.leaving
	f.Seq, f.Ack = p.session.Send(now, content)
	a.recordSent(now, p, f)
	f.Clock = a.opts.Events.Stamp(now)
	if tasks := a.tasksOf(p, f.News); len(tasks) > 0 {
		p.unacked = append(p.unacked, sentNews{seq: f.Seq, tasks: tasks})
	}
	a.ready.Frames = append(a.ready.Frames, Out{Entry: p.hello.Incarnation, Epoch: p.session.Epoch(), Frame: f})
}

// tasksOf lists the recorded tasks of a home that news is about; refusals have no
// record. Only the home's acknowledgement counts: with that of an entry that
// gathers results, the record would be evicted, and the home, back from a pause,
// would have the task run again.
func (a *Agent) tasksOf(home *peer, news []*pb.TaskNews) []*task {
	var out []*task
	for _, n := range news {
		rec := a.jobs[n.Job]
		if rec == nil || rec.home != home.hello.Incarnation {
			continue
		}
		for _, res := range n.Results {
			if t := rec.tasks[res.Task]; t != nil && t.result == res {
				out = append(out, t)
			}
		}
	}
	return out
}

func (a *Agent) load() *pb.AgentLoad {
	l := &pb.AgentLoad{
		Running:             uint32(a.running),
		FreeSlots:           uint32(max(a.slots.Free(), 0)),
		ReservedMemoryBytes: a.reserved,
	}
	for _, c := range sortedKeys(a.loads) {
		cl := a.loads[c]
		l.Contracts = append(l.Contracts, &pb.ContractLoad{Contract: cl.Contract, Running: cl.Running, MemoryBytes: cl.MemoryBytes})
	}
	return l
}

func (a *Agent) peer(incarnation string) *peer {
	for _, p := range a.peers {
		if p.hello.Incarnation == incarnation {
			return p
		}
	}
	return nil
}
