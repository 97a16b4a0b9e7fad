package agent

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/job"
)

// LinkUp registers a new link of an entry. If the link is refused, it returns the
// reason, otherwise an empty string.
func (a *Agent) LinkUp(now time.Time, hello *pb.EntryHello) (refused string) {
	if hello.AgentIncarnation != a.opts.Hello.Incarnation {
		// A start sent to an earlier process of the agent must not run here: that
		// process may have started it already.
		return "another incarnation of the agent"
	}
	p := a.peer(hello.Incarnation)
	if p == nil {
		a.removeLostPeers()
		p = &peer{}
		a.peers = append(a.peers, p)
	} else if hello.Epoch <= p.session.Epoch() {
		// This connection was opened before the one in use but took longer. Its
		// starts may be stale.
		return "older than the link in use"
	}
	p.hello = hello
	p.lost, p.leavingSent = false, false
	p.session.Up(now, hello.Epoch, a.opts.Link)
	a.recordPeer(now, event.LinkUp, p, "", hello.Epoch)
	a.slots.Link(hello.Incarnation, now)
	p.unacked = nil
	p.pending = pb.AgentFrame{Hello: a.opts.Hello, Leaving: a.leaving}
	p.loadSentAt = time.Time{}
	p.dirty = true
	a.resendResults(p)
	a.balance(now)
	return ""
}

// resendResults queues on the new link of an entry every result that the entry has
// not acknowledged: what was sent on the old link may not have arrived.
func (a *Agent) resendResults(p *peer) {
	for _, rec := range a.sortedRecords(p.hello.Incarnation) {
		for _, t := range rec.sortedTasks() {
			if t.result != nil && !t.acked {
				a.addResult(p, rec.name, t.result)
			}
		}
	}
}

// LinkDown handles the end of a link. The credits granted on it are free at once,
// since starts in flight on it will be dropped.
func (a *Agent) LinkDown(now time.Time, entry string, epoch uint64) {
	p := a.peer(entry)
	if p == nil || p.session.Epoch() != epoch || !p.session.IsUp() {
		return
	}
	a.recordPeer(now, event.LinkDown, p, "the connection ended", epoch)
	a.disconnect(now, p)
	a.balance(now)
}

func (a *Agent) disconnect(now time.Time, p *peer) {
	p.session.Down()
	p.downAt = now
	a.slots.Unlink(p.hello.Incarnation)
	p.pending = pb.AgentFrame{}
	p.dirty = false
}

// Step handles a frame received on the link with the given epoch. Frames of other
// links are ignored.
func (a *Agent) Step(now time.Time, entry string, epoch uint64, f *pb.EntryFrame) {
	p := a.peer(entry)
	if p == nil || p.session.Epoch() != epoch {
		return
	}
	if p.session.TimedOut(now) {
		// This process was paused and now reads stale frames, with starts of jobs
		// that may have ended. The entry resends on a new link the starts that it
		// still wants.
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
	a.handleAck(p)
	a.slots.SetWant(entry, int(f.Want))
	if f.Returned > 0 || f.Recalled {
		a.slots.Return(entry, int(f.Returned))
	}
	for _, b := range f.Starts {
		a.startBatch(now, p, b)
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
		a.disconnect(now, p)
		a.markLost(p)
	}
	a.startQueued(now)
	a.balance(now)
}

// markLost marks an entry as dead: its queued tasks are refused and its results may
// be evicted.
func (a *Agent) markLost(p *peer) {
	p.lost = true
	for _, q := range slices.Clone(a.queue) {
		if q.task.rec.home == p.hello.Incarnation {
			a.refuseQueued(q.task, job.RefusedRevoked)
		}
	}
	a.queueEvictionsOf(p.hello.Incarnation)
}

// HasContent reports whether a frame from an entry must be acknowledged.
func HasContent(f *pb.EntryFrame) bool {
	return f.Hello != nil || len(f.Starts) > 0 || len(f.Revokes) > 0 || len(f.Fences) > 0 ||
		f.Returned > 0 || len(f.Contracts) > 0
}

func (a *Agent) handleAck(p *peer) {
	acked := p.session.Acked()
	n := 0
	for ; n < len(p.unacked) && p.unacked[n].seq <= acked; n++ {
		for _, t := range p.unacked[n].tasks {
			a.markAcked(t)
		}
	}
	p.unacked = p.unacked[n:]
	p.leavingAcked = p.leavingAcked || (a.leaving && p.leavingSent && p.session.AllAcked())
}

func (a *Agent) markAcked(t *task) {
	if t.acked {
		return
	}
	t.acked = true
	t.rec.open--
	if t.notRun() {
		// Any later start of the task is a new one.
		a.removeTask(t)
		return
	}
	a.queueEviction(t.rec)
}

func (a *Agent) addResult(p *peer, jobID string, res *pb.TaskResult) {
	p.dirty = true
	news := p.pending.News
	if n := len(news); n > 0 && news[n-1].Job == jobID {
		news[n-1].Results = append(news[n-1].Results, res)
		return
	}
	p.pending.News = append(news, &pb.TaskNews{Job: jobID, Results: []*pb.TaskResult{res}})
}

func (a *Agent) flush(now time.Time, p *peer) {
	f := &pb.AgentFrame{
		Hello: p.pending.Hello, News: p.pending.News, Fenced: p.pending.Fenced,
		Granted: p.pending.Granted, Recall: p.pending.Recall, Leaving: a.leaving,
	}
	p.pending = pb.AgentFrame{}
	p.dirty = false
	if now.Sub(p.loadSentAt) >= a.opts.LoadInterval {
		f.Load = a.load()
		p.loadSentAt = now
	}
	if !a.opts.Divided {
		spare := int32(a.slots.Free())
		f.Spare = &spare
		f.Waiting = uint32(a.slots.Queued(p.hello.Incarnation))
	}
	content := f.Hello != nil || len(f.News) > 0 || len(f.Fenced) > 0 || f.Granted > 0 || (a.leaving && !p.leavingSent)
	p.leavingSent = a.leaving
	f.Seq, f.Ack = p.session.Send(now, content)
	a.recordSent(now, p, f)
	f.Clock = a.opts.Events.Stamp(now)
	if tasks := a.recordedTasks(p, f.News); len(tasks) > 0 {
		p.unacked = append(p.unacked, sentResults{seq: f.Seq, tasks: tasks})
	}
	a.ready.Frames = append(a.ready.Frames, OutgoingFrame{Entry: p.hello.Incarnation, Epoch: p.session.Epoch(), Frame: f})
}

// recordedTasks returns the recorded tasks whose results are in news and whose home
// is the given entry; refusals have no record. Only the home's acknowledgement
// counts. If that of another entry that collects the results counted too, the record
// could be evicted, and the home could have the task run again after a pause.
func (a *Agent) recordedTasks(home *peer, news []*pb.TaskNews) []*task {
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
		ReservedMemoryBytes: a.reservedMemory,
	}
	for _, c := range sortedKeys(a.contractLoads) {
		cl := a.contractLoads[c]
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
