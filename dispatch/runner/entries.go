package runner

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/dispatch/without"
)

// entry is one entry process that this agent has met.
type entry struct {
	name        string
	incarnation string
	session     link.Session
	// seen is the highest order number received. Orders come in order on a link,
	// and those of an older link are dropped, so no lower one can still come.
	seen uint64
	// heard is when the entry's last word was sent, as far as this side can tell.
	heard  time.Time
	late   lateness
	downAt time.Time

	unsent []*pb.OrderNews
	urgent bool // some of it must go out at once
	// mentionBy is when the rest must; zero: there is none.
	mentionBy time.Time
	// unacked is news of ends that the entry has not acknowledged, with the frame
	// that carried each; after a lost link they go out again.
	unacked []sentNews

	// retiring: this side closes the link; see Retire. The frame numbered retireSeq told
	// so; zero: none has yet.
	retiring  bool
	retireSeq uint64

	crashes []*pb.TaskCrash // not told on this link

	stale       bool // the state has changed since it was told
	eager       bool
	reportEvery time.Duration
	reportedAt  time.Time
}

type sentNews struct {
	seq  uint64
	news *pb.OrderNews
}

// forgetEntryAfter is how long an entry without link and runs is remembered. Its
// order numbers must outlast a link that was cut.
const forgetEntryAfter = time.Minute

// defaultReportEvery bounds reports to an entry that has not said how often it
// wants them.
const defaultReportEvery = 200 * time.Millisecond

// tell puts news of an end, or of something to decide on, into the next frame.
func (e *entry) tell(n *pb.OrderNews) {
	e.unsent = append(e.unsent, n)
	e.urgent = true
}

// mention puts news into the next frame that goes out anyway, or soon: that a run has
// begun changes no decision of the entry while nothing fails, and a frame for it alone
// would be one of three that a short task costs.
func (e *entry) mention(now time.Time, n *pb.OrderNews) {
	e.unsent = append(e.unsent, n)
	if e.mentionBy.IsZero() {
		e.mentionBy = now.Add(mentionWithin)
	}
}

// mentionWithin is less than a link's acknowledgement may take.
const mentionWithin = 60 * time.Millisecond

func (r *Runner) entry(incarnation string) *entry {
	for _, e := range r.entries {
		if e.incarnation == incarnation {
			return e
		}
	}
	return nil
}

// Greeting is what opens a link.
func (r *Runner) Greeting(epoch uint64) *pb.AgentGreeting {
	g := &pb.AgentGreeting{
		Agent: r.opts.Agent, Incarnation: r.opts.Incarnation, FailureDomain: r.opts.FailureDomain, Epoch: epoch,
	}
	for _, e := range r.entries {
		g.Met = append(g.Met, &pb.MetEntry{Incarnation: e.incarnation, SeenOrder: e.seen})
	}
	return g
}

// Closing takes in that the link to an entry is closed on this side, before a new
// one is opened: no frame of it may be taken in any more.
func (r *Runner) Closing(now time.Time, incarnation string) {
	if e := r.entry(incarnation); e != nil && e.session.IsUp() {
		e.session.Down()
		e.downAt = now
	}
}

// LinkUp takes in the entry's answer on a new link. Asked is when the link was
// asked for. It returns false for a link that can't be used, since the answer took so
// long that nothing tells how late the frames behind it are: the process was frozen
// meanwhile, or the connection cut.
func (r *Runner) LinkUp(now, asked time.Time, g *pb.EntryGreeting, epoch uint64, sentNs int64) bool {
	if now.Sub(asked) > r.opts.Times.MaxLate {
		return false
	}
	e := r.entry(g.Incarnation)
	if e == nil {
		e = &entry{name: g.Entry, incarnation: g.Incarnation, reportEvery: defaultReportEvery}
		r.entries = append(r.entries, e)
	}
	e.session.Up(now, epoch, r.opts.Link)
	e.retiring = false
	e.late = lateness{asked: now}
	e.late.bound(now, asked, sentNs)
	e.heard = asked
	e.stale, e.reportedAt = true, time.Time{}
	r.setEvacuations(now, e, g.Evacuations)
	e.crashes = r.recentCrashes(now)
	for _, n := range e.unacked {
		e.unsent = append(e.unsent, n.news)
	}
	e.unacked, e.urgent = nil, len(e.unsent) > 0
	return true
}

// LinkDown takes in that a link was lost. Ended says that the entry's process is
// known to have ended.
func (r *Runner) LinkDown(now time.Time, incarnation string, epoch uint64) {
	if e := r.entry(incarnation); e != nil && e.session.IsUp() && e.session.Epoch() == epoch {
		e.session.Down()
		e.downAt = now
	}
}

// EntryGone takes in that an entry's process has ended: nobody waits for its runs.
func (r *Runner) EntryGone(now time.Time, incarnation, why string) {
	e := r.entry(incarnation)
	if e == nil {
		return
	}
	e.session.Down()
	r.stopRunsOf(now, e, why)
	r.entries = slices.DeleteFunc(r.entries, func(x *entry) bool { return x == e })
}

// stopRunsOf ends what an entry ordered that can't be heard any more. Its callers
// send their jobs again elsewhere, and a task must not run twice at a time.
func (r *Runner) stopRunsOf(now time.Time, e *entry, why string) {
	for _, x := range slices.Clone(r.order) {
		if x.entry == e && x.wanted {
			r.decided(now, Decision{Event: "run_abandoned", Task: x.task, Run: x.run, Entry: e.name, Order: x.order, Reason: why})
			r.stop(now, x)
		}
	}
}

// Step takes in a frame of the link with the given epoch.
func (r *Runner) Step(now time.Time, incarnation string, epoch uint64, f *pb.OrderFrame) {
	e := r.entry(incarnation)
	if e == nil || !e.session.IsUp() || e.session.Epoch() != epoch {
		return
	}
	content := len(f.Orders) > 0 || len(f.Stops) > 0
	if !e.session.Received(now, f.Seq, f.Ack, content) {
		return
	}
	e.late.acked(now, f.Ack, f.SentNs)
	late := e.late.of(now, f.SentNs)
	if word := now.Add(-late); word.After(e.heard) {
		e.heard = word
	}
	e.acked()
	e.eager = f.Eager
	if f.ReportEveryMs > 0 {
		e.reportEvery = time.Duration(f.ReportEveryMs) * time.Millisecond
	}
	r.setEvacuations(now, e, f.Evacuations)
	for _, o := range f.Orders {
		r.take(now, e, o, late)
	}
	for _, n := range f.Stops {
		if x := r.byOrder(e, n); x != nil && x.wanted {
			r.stop(now, x)
		}
	}
	if f.Ended {
		r.EntryGone(now, incarnation, "the entry has ended")
	}
}

func (e *entry) acked() {
	acked := e.session.Acked()
	e.unacked = slices.DeleteFunc(e.unacked, func(n sentNews) bool { return n.seq <= acked })
}

func (r *Runner) byOrder(e *entry, number uint64) *run {
	for _, x := range r.order {
		if x.entry == e && x.order == number {
			return x
		}
	}
	return nil
}

// take starts an order, queues it, or refuses it.
func (r *Runner) take(now time.Time, e *entry, o *pb.Order, late time.Duration) {
	if o.Number <= e.seen {
		return
	}
	e.seen = o.Number
	x := &run{
		task: o.Task, run: o.Run, payload: o.Payload, size: size.Of(o.Size), priority: o.Priority,
		expected: time.Duration(o.ExpectedMs) * time.Millisecond,
		entry:    e, order: o.Number, arrived: now, wanted: true,
		waitEnd: now.Add(time.Duration(o.WaitMs) * time.Millisecond),
		limit:   now.Add(time.Duration(o.LimitMs) * time.Millisecond),
		startBy: now.Add(time.Duration(o.StartByMs) * time.Millisecond), late: o.StartByMs < 0,
	}
	if r.opts.Without.Has(without.StartBy) {
		x.startBy = now
	}
	if reason := r.refuse(now, x, late); reason != "" {
		e.tell(&pb.OrderNews{Number: o.Number, State: pb.OrderState_ORDER_STATE_REFUSED, Reason: reason})
		e.stale = true
		r.decided(now, Decision{Event: "run_refused", Task: o.Task, Run: o.Run, Entry: e.name, Order: o.Number, Reason: reason})
		return
	}
	r.runs[x.task] = x
	r.order = append(r.order, x)
	r.changed()
	if r.mustWait(x) {
		r.enqueue(x)
		return
	}
	r.start(now, x)
}

func (r *Runner) refuse(now time.Time, x *run, late time.Duration) string {
	switch {
	case late > r.opts.Times.MaxLate:
		// A cut or a freeze held the order up. Its entry has given it up by now, and
		// its caller may have sent the job to another one.
		return ReasonLate
	case r.heldFor(x.entry) != HeldNone:
		return ReasonHeld
	case r.runs[x.task] != nil:
		return ReasonDouble
	case r.mustWait(x) && !r.mayWait(now, x):
		return ReasonRoom
	}
	return ""
}

// tickEntries notices silent links and entries.
func (r *Runner) tickEntries(now time.Time) {
	for _, e := range slices.Clone(r.entries) {
		if e.session.Silent(now) {
			r.decided(now, Decision{Event: "entry_silent", Entry: e.name, Reason: "no frame or acknowledgement in time"})
			r.ready.Redial = append(r.ready.Redial, e.incarnation)
			e.session.Down()
			e.downAt = now
		}
		if r.mute(now, e) && r.wantedBy(e) {
			r.stopRunsOf(now, e, "no word from the entry")
			if e.session.IsUp() {
				r.ready.Redial = append(r.ready.Redial, e.incarnation)
				e.session.Down()
				e.downAt = now
			}
		}
		if !e.session.IsUp() && now.After(e.downAt.Add(forgetEntryAfter)) && !r.runsOf(e) {
			r.entries = slices.DeleteFunc(r.entries, func(x *entry) bool { return x == e })
		}
	}
}

// mute reports whether an entry has been silent for longer than its runs may go on.
func (r *Runner) mute(now time.Time, e *entry) bool {
	return !now.Before(e.heard.Add(r.opts.Times.Silence))
}

func (r *Runner) wantedBy(e *entry) bool {
	return slices.ContainsFunc(r.order, func(x *run) bool { return x.entry == e && x.wanted })
}

func (r *Runner) runsOf(e *entry) bool {
	return slices.ContainsFunc(r.order, func(x *run) bool { return x.entry == e })
}

func (r *Runner) nextEntries() time.Time {
	var next time.Time
	for _, e := range r.entries {
		next = link.Earlier(next, e.session.Next())
		if r.wantedBy(e) {
			next = link.Earlier(next, e.heard.Add(r.opts.Times.Silence))
		}
		if e.session.IsUp() {
			next = link.Earlier(next, e.mentionBy)
		}
		if e.stale && e.session.IsUp() {
			next = link.Earlier(next, e.reportedAt.Add(e.reportEvery))
		}
	}
	return next
}

// flush makes the frames that are due.
func (r *Runner) flush(now time.Time) {
	for _, e := range r.entries {
		if !e.session.IsUp() {
			continue
		}
		report := e.stale && (e.eager || !now.Before(e.reportedAt.Add(e.reportEvery)))
		mention := !e.mentionBy.IsZero() && !now.Before(e.mentionBy)
		if e.urgent || mention || report || e.session.Due(now) {
			r.send(now, e)
		}
	}
}

func (r *Runner) send(now time.Time, e *entry) {
	f := &pb.WorkerFrame{News: e.unsent, Crashes: e.crashes}
	e.crashes = nil
	if e.stale {
		f.State = r.state(now, e)
		e.stale, e.reportedAt = false, now
	}
	f.AnswerAtOnce = e.late.ask(now)
	// That it is left has to be acknowledged before the link is closed.
	retiring := f.State != nil && e.retiring
	f.Seq, f.Ack = e.session.Send(now, len(f.News) > 0 || retiring || f.AnswerAtOnce)
	e.late.sent(now, f.Seq)
	if retiring && e.retireSeq == 0 {
		e.retireSeq = f.Seq
	}
	for _, n := range f.News {
		if x := r.byOrder(e, n.Number); x != nil && n.State == pb.OrderState_ORDER_STATE_STARTED {
			// It was mentioned, and has waited for a frame since.
			n.RunMs = uint32(now.Sub(x.began).Milliseconds())
		}
		e.unacked = append(e.unacked, sentNews{f.Seq, n})
	}
	e.unsent, e.urgent, e.mentionBy = nil, false, time.Time{}
	f.Clock = r.opts.Events.Stamp(now)
	r.ready.Frames = append(r.ready.Frames, Out{Entry: e.incarnation, Epoch: e.session.Epoch(), Frame: f})
}

// heldFor says why no order of an entry may start.
func (r *Runner) heldFor(e *entry) string {
	if e.retiring {
		return HeldRetiring
	}
	return r.held()
}

func (r *Runner) state(now time.Time, e *entry) *pb.WorkerState {
	s := &pb.WorkerState{SeenOrder: e.seen, Held: r.heldFor(e)}
	s.Accepting = s.Held == HeldNone
	s.Clean = r.known && r.looked && !r.hasForeign()
	if r.known {
		s.Worker, s.Service, s.Labels = r.worker.ID, r.worker.Service, r.worker.Labels
		s.Capacity, s.Room = r.worker.Capacity.Message(), r.room().Room()
		s.ColdMs = uint32(r.worker.Cold.Milliseconds())
		s.Queued = r.queuedWork()
		for _, cpu := range r.frees(now) {
			s.Frees = append(s.Frees, uint32(cpu))
		}
	}
	return s
}
