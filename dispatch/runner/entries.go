package runner

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/disabled"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// entry is the state of one entry process that this agent has had a link with.
type entry struct {
	name        string
	incarnation string
	session     link.Session
	// lastOrder is the highest order number received. Orders arrive in order on a link, and
	// those of an older link are dropped, so no lower number can still arrive.
	lastOrder uint64
	// lastReceived is a lower bound of the time at which the entry sent its latest frame. The answer
	// to a handshake doesn't count, as it may leave before the stops that the entry has to repeat.
	lastReceived time.Time
	delay        frameDelay
	downAt       time.Time

	unsent   []*pb.OrderNews
	flushNow bool // some updates must go out at once
	// flushBy is when the deferred updates must go out; zero if there are none.
	flushBy time.Time
	// unacked holds updates that the entry has not acknowledged, with the number of the frame
	// that carried each. They are sent again after a lost link.
	unacked []sentUpdate

	// retiring is set while this side closes the link; see retire.go. The frame numbered retireSeq
	// announced it; zero if none has yet.
	retiring  bool
	retireSeq uint64

	crashes []*pb.TaskCrash // not yet reported on this link
	ends    []*pb.RunEnd    // the same

	stateChanged     bool // the state has changed since the last report
	immediateReports bool
	reportInterval   time.Duration
	reportedAt       time.Time
}

type sentUpdate struct {
	seq    uint64
	update *pb.OrderNews
}

// entryRetention is how long an entry without link and runs is remembered. Its order numbers
// must outlast an interrupted link.
const entryRetention = time.Minute

// defaultReportInterval is the minimum interval of state reports to an entry that has not
// requested one.
const defaultReportInterval = 200 * time.Millisecond

// notify queues an update for the next frame and has that frame sent at once. It is used for
// the end of a run and for anything that the entry has to decide on.
func (e *entry) notify(n *pb.OrderNews) {
	e.unsent = append(e.unsent, n)
	e.flushNow = true
}

// notifyDeferred queues an update for the next frame, which is sent within maxNotifyDelay. The
// start of a run changes no decision of the entry as long as nothing fails, and a frame of its
// own would be a third of the frames that a short task costs.
func (e *entry) notifyDeferred(now time.Time, n *pb.OrderNews) {
	e.unsent = append(e.unsent, n)
	if e.flushBy.IsZero() {
		e.flushBy = now.Add(maxNotifyDelay)
	}
}

// maxNotifyDelay is less than the time in which a link expects an acknowledgement.
const maxNotifyDelay = 60 * time.Millisecond

func (r *Runner) entry(incarnation string) *entry {
	for _, e := range r.entries {
		if e.incarnation == incarnation {
			return e
		}
	}
	return nil
}

// Greeting returns the message that opens a link.
func (r *Runner) Greeting(epoch uint64) *pb.AgentGreeting {
	g := &pb.AgentGreeting{
		Agent: r.opts.Agent, Incarnation: r.opts.Incarnation, FailureDomain: r.opts.FailureDomain, Epoch: epoch,
	}
	for _, e := range r.entries {
		g.Met = append(g.Met, &pb.MetEntry{Incarnation: e.incarnation, SeenOrder: e.lastOrder})
	}
	return g
}

// CloseLink records that this side closes the link to an entry before it opens a new one. No
// frame of the old link may be handled afterwards.
func (r *Runner) CloseLink(now time.Time, incarnation string) {
	if e := r.entry(incarnation); e != nil && e.session.IsUp() {
		e.session.Down()
		e.downAt = now
	}
}

// LinkUp handles the entry's answer on a new link whose opening began at requested. It returns
// false if the link can't be used: the answer took so long, because the process was frozen or
// the connection cut, that the delay of the frames behind it can't be bounded, or a later link is
// known to the entry, which sends nothing more on this one.
func (r *Runner) LinkUp(now, requested time.Time, g *pb.EntryGreeting, epoch uint64, sentNs int64) bool {
	if now.Sub(requested) > r.opts.Timeouts.MaxOrderDelay {
		return false
	}
	e := r.entry(g.Incarnation)
	if e == nil {
		e = &entry{name: g.Entry, incarnation: g.Incarnation, reportInterval: defaultReportInterval, lastReceived: requested}
		r.entries = append(r.entries, e)
	}
	if epoch < e.session.Epoch() {
		return false
	}
	if r.timedOut(now, e) && r.hasWantedRuns(e) {
		// Tick may be late. Frames on the new link would hide the silence, in which the entry has
		// taken these runs for ended.
		r.stopRunsOf(now, e, "no word from the entry")
	}
	e.session.Up(now, epoch, r.opts.Link)
	e.retiring = false
	e.delay = frameDelay{probedAt: now}
	e.delay.update(now, requested, sentNs)
	e.stateChanged, e.reportedAt = true, time.Time{}
	r.setEvacuations(now, e, g.Evacuations)
	e.crashes, e.ends = r.recentCrashes(now), r.recentEarlierEnds(now)
	for _, n := range e.unacked {
		e.unsent = append(e.unsent, n.update)
	}
	e.unacked, e.flushNow = nil, len(e.unsent) > 0
	return true
}

// LinkDown records that a link was lost.
func (r *Runner) LinkDown(now time.Time, incarnation string, epoch uint64) {
	if e := r.entry(incarnation); e != nil && e.session.IsUp() && e.session.Epoch() == epoch {
		e.session.Down()
		e.downAt = now
	}
}

// EntryEnded stops the runs of an entry whose process has ended: nobody waits for them.
func (r *Runner) EntryEnded(now time.Time, incarnation, why string) {
	e := r.entry(incarnation)
	if e == nil {
		return
	}
	if e.session.IsUp() {
		e.session.Down()
		e.downAt = now
	}
	r.stopRunsOf(now, e, why)
}

// stopRunsOf stops the runs of an entry that is no longer reachable. Its callers send their
// jobs again elsewhere, and a task must not run twice at a time.
func (r *Runner) stopRunsOf(now time.Time, e *entry, why string) {
	for _, x := range slices.Clone(r.runList) {
		if x.entry == e && x.wanted {
			r.logDecision(now, Decision{Event: "run_abandoned", Task: x.task, Run: x.run, Entry: e.name, Order: x.order, Reason: why})
			r.stop(now, x)
		}
	}
}

// Step handles a frame of the link with the given epoch.
func (r *Runner) Step(now time.Time, incarnation string, epoch uint64, f *pb.OrderFrame) {
	e := r.entry(incarnation)
	if e == nil || !e.session.IsUp() || e.session.Epoch() != epoch {
		return
	}
	content := len(f.Orders) > 0 || len(f.Stops) > 0
	if !e.session.Received(now, f.Seq, f.Ack, content) {
		return
	}
	e.delay.recordAck(now, f.Ack, f.SentNs)
	delay := e.delay.of(now, f.SentNs)
	if sentAt := now.Add(-delay); sentAt.After(e.lastReceived) {
		e.lastReceived = sentAt
	}
	e.dropAcked()
	e.immediateReports = f.Eager
	if f.ReportEveryMs > 0 {
		e.reportInterval = time.Duration(f.ReportEveryMs) * time.Millisecond
	}
	r.setEvacuations(now, e, f.Evacuations)
	for _, o := range f.Orders {
		r.admitOrder(now, e, o, delay)
	}
	for _, n := range f.Stops {
		if x := r.runByOrder(e, n); x != nil && x.wanted {
			r.stop(now, x)
		}
	}
	if f.Ended {
		r.EntryEnded(now, incarnation, "the entry has ended")
	}
}

func (e *entry) dropAcked() {
	acked := e.session.Acked()
	e.unacked = slices.DeleteFunc(e.unacked, func(n sentUpdate) bool { return n.seq <= acked })
}

func (r *Runner) runByOrder(e *entry, number uint64) *run {
	for _, x := range r.runList {
		if x.entry == e && x.order == number {
			return x
		}
	}
	return nil
}

// admitOrder starts an order, queues it, or refuses it.
func (r *Runner) admitOrder(now time.Time, e *entry, o *pb.Order, delay time.Duration) {
	if o.Number <= e.lastOrder {
		return
	}
	e.lastOrder = o.Number
	x := &run{
		task: o.Task, run: o.Run, payload: o.Payload, size: size.FromMessage(o.Size), priority: o.Priority,
		expected: time.Duration(o.ExpectedMs) * time.Millisecond,
		entry:    e, order: o.Number, arrived: now, wanted: true,
		waitUntil: now.Add(time.Duration(o.WaitMs) * time.Millisecond),
		deadline:  now.Add(time.Duration(o.LimitMs) * time.Millisecond),
		startBy:   now.Add(time.Duration(o.StartByMs) * time.Millisecond), late: o.StartByMs < 0,
	}
	if r.opts.Disabled.Has(disabled.StartBy) {
		x.startBy = now
	}
	if reason := r.refusalReason(now, x, delay); reason != "" {
		e.notify(&pb.OrderNews{Number: o.Number, State: pb.OrderState_ORDER_STATE_REFUSED, Reason: reason})
		e.stateChanged = true
		r.logDecision(now, Decision{Event: "run_refused", Task: o.Task, Run: o.Run, Entry: e.name, Order: o.Number, Reason: reason})
		return
	}
	r.runs[x.task] = x
	r.runList = append(r.runList, x)
	r.markChanged()
	if r.mustWait(x) {
		r.enqueue(x)
		return
	}
	r.start(now, x)
}

func (r *Runner) refusalReason(now time.Time, x *run, delay time.Duration) string {
	switch {
	case delay > r.opts.Timeouts.MaxOrderDelay:
		// A network cut or a freeze delayed the order. Its entry has abandoned it by now, and
		// the caller may have sent the job to another entry.
		return ReasonStaleOrder
	case r.heldReasonFor(x.entry) != HeldNone:
		return ReasonNotAccepting
	case r.runs[x.task] != nil:
		return ReasonAlreadyRunning
	case r.mustWait(x) && !r.mayWait(now, x):
		return ReasonNoCapacity
	}
	return ""
}

// tickEntries detects links and entries that have timed out.
func (r *Runner) tickEntries(now time.Time) {
	for _, e := range slices.Clone(r.entries) {
		if e.session.TimedOut(now) {
			r.logDecision(now, Decision{Event: "entry_silent", Entry: e.name, Reason: "no frame or acknowledgement in time"})
			r.ready.Reconnect = append(r.ready.Reconnect, e.incarnation)
			e.session.Down()
			e.downAt = now
		}
		if r.timedOut(now, e) && r.hasWantedRuns(e) {
			r.stopRunsOf(now, e, "no word from the entry")
			if e.session.IsUp() {
				r.ready.Reconnect = append(r.ready.Reconnect, e.incarnation)
				e.session.Down()
				e.downAt = now
			}
		}
		if !e.session.IsUp() && now.After(e.downAt.Add(entryRetention)) && !r.hasRuns(e) {
			r.entries = slices.DeleteFunc(r.entries, func(x *entry) bool { return x == e })
		}
	}
}

// timedOut reports whether nothing has been received from an entry for longer than its runs may
// go on.
func (r *Runner) timedOut(now time.Time, e *entry) bool {
	return !now.Before(e.lastReceived.Add(r.opts.Timeouts.EntryTimeout))
}

func (r *Runner) hasWantedRuns(e *entry) bool {
	return slices.ContainsFunc(r.runList, func(x *run) bool { return x.entry == e && x.wanted })
}

func (r *Runner) hasRuns(e *entry) bool {
	return slices.ContainsFunc(r.runList, func(x *run) bool { return x.entry == e })
}

func (r *Runner) nextEntryEvent() time.Time {
	var next time.Time
	for _, e := range r.entries {
		next = link.Earlier(next, e.session.Next())
		if r.hasWantedRuns(e) {
			next = link.Earlier(next, e.lastReceived.Add(r.opts.Timeouts.EntryTimeout))
		}
		if e.session.IsUp() {
			next = link.Earlier(next, e.flushBy)
		}
		if e.stateChanged && e.session.IsUp() {
			next = link.Earlier(next, e.reportedAt.Add(e.reportInterval))
		}
	}
	return next
}

// flush builds the frames that are due.
func (r *Runner) flush(now time.Time) {
	for _, e := range r.entries {
		if !e.session.IsUp() {
			continue
		}
		report := e.stateChanged && (e.immediateReports || !now.Before(e.reportedAt.Add(e.reportInterval)))
		deferred := !e.flushBy.IsZero() && !now.Before(e.flushBy)
		if e.flushNow || deferred || report || e.session.Due(now) {
			r.send(now, e)
		}
	}
}

func (r *Runner) send(now time.Time, e *entry) {
	f := &pb.WorkerFrame{News: e.unsent, Crashes: e.crashes, Ends: e.ends}
	e.crashes, e.ends = nil, nil
	if e.stateChanged {
		f.State = r.state(now, e)
		e.stateChanged, e.reportedAt = false, now
	}
	f.AnswerAtOnce = e.delay.probeDue(now)
	// That the link is retiring must be acknowledged before it is closed.
	retiring := f.State != nil && e.retiring
	f.Seq, f.Ack = e.session.Send(now, len(f.News) > 0 || retiring || f.AnswerAtOnce)
	e.delay.recordSent(now, f.Seq)
	if retiring && e.retireSeq == 0 {
		e.retireSeq = f.Seq
	}
	for _, n := range f.News {
		if x := r.runByOrder(e, n.Number); x != nil && n.State == pb.OrderState_ORDER_STATE_STARTED {
			// The update was deferred: add the time that it has waited for a frame.
			n.RunMs = uint32(now.Sub(x.startedAt).Milliseconds())
		}
		e.unacked = append(e.unacked, sentUpdate{f.Seq, n})
	}
	e.unsent, e.flushNow, e.flushBy = nil, false, time.Time{}
	f.Clock = r.opts.Events.Stamp(now)
	r.ready.Frames = append(r.ready.Frames, OutgoingFrame{Entry: e.incarnation, Epoch: e.session.Epoch(), Frame: f})
}

// heldReasonFor returns why no order of an entry may start.
func (r *Runner) heldReasonFor(e *entry) string {
	if e.retiring {
		return HeldRetiring
	}
	return r.heldReason()
}

func (r *Runner) state(now time.Time, e *entry) *pb.WorkerState {
	s := &pb.WorkerState{SeenOrder: e.lastOrder, Held: r.heldReasonFor(e)}
	s.Accepting = s.Held == HeldNone
	s.Clean = r.known && r.polled && !slices.ContainsFunc(r.runList, func(x *run) bool { return x.orphaned })
	if r.known {
		s.Worker, s.Service, s.Labels = r.worker.Incarnation.String(), r.worker.Service, r.worker.Labels
		s.Capacity, s.Room = r.worker.Capacity.Message(), r.freeCapacity().RoomMessage()
		s.ColdMs = uint32(r.worker.ColdStart.Milliseconds())
		s.Queued = r.queuedWork(now)
		for _, cpu := range r.releaseForecast(now) {
			s.Frees = append(s.Frees, uint32(cpu))
		}
	}
	return s
}
