package runner

import (
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/bounds"
)

// leaseLeft returns how long a lease that is requested now lasts, at most, by a clock that runs
// at the right rate.
func (h *harness) leaseLeft(until time.Duration) time.Duration {
	return bounds.LeaseExpiry(until - h.r.workerNow(h.now))
}

// An entry is killed, and its agent freezes before it has stopped the entry's runs. The lease
// that it requested last must end them before the callers send their jobs again, also if it was
// requested for runs of another entry.
func TestLeaseEndsTheRunsOfASilentEntryInTime(t *testing.T) {
	h := newHarness(t, "e1", "e2")
	h.begin("e1", "t1", 100)
	began := h.now
	for h.now.Sub(began) < h.times.EntryTimeout-10*time.Millisecond {
		h.now = h.now.Add(10 * time.Millisecond)
		h.poll()
		l, _ := h.r.NextPoll(h.now, true)
		s := h.begin("e2", h.now.String(), 10)
		for call, until := range map[string]time.Duration{"poll": l.Until, "start": s.Until} {
			if end := h.now.Sub(began) + h.leaseLeft(until); end > h.times.RenewalLimit {
				t.Fatalf("the %s %v after the entry's last frame requests a lease up to %v, want %v at most", call, h.now.Sub(began), end, h.times.RenewalLimit)
			}
		}
	}
	h.frame("e1", &pb.OrderFrame{})
	if l, _ := h.r.NextPoll(h.now, true); h.leaseLeft(l.Until) < h.times.Lease {
		t.Errorf("a lease of %v after a frame from the entry, want %v", h.leaseLeft(l.Until), h.times.Lease)
	}
}

// An order arrives late, or waits for capacity, on a worker whose lease was renewed just before for
// another entry's run. That lease can't be shortened, so it must not be too long for the order.
func TestLeaseRequestedBeforeAnOrderEndsItsRunInTime(t *testing.T) {
	h := newHarness(t, "e1", "e2")
	h.frame("e1", &pb.OrderFrame{})
	h.begin("e2", "t2", 4000, expected(uint32(h.times.EntryTimeout.Milliseconds())))
	h.poll()
	l, _ := h.r.NextPoll(h.now, true)
	sent := h.now.Add(-h.times.MaxOrderDelay)
	check := func(what string) {
		t.Helper()
		if end := h.now.Add(h.leaseLeft(l.Until)).Sub(sent); end > h.times.RenewalLimit {
			t.Errorf("%s: a lease up to %v after the entry's last frame, want %v at most", what, end, h.times.RenewalLimit)
		}
	}
	check("late order")
	h.order("e1", "t1", 100, waits(1000))
	sent = h.now
	for h.now.Sub(sent) < h.times.EntryTimeout-10*time.Millisecond {
		h.now = h.now.Add(10 * time.Millisecond)
		h.frame("e2", &pb.OrderFrame{})
		l, _ = h.r.NextPoll(h.now, true)
		check("queued order")
	}
	h.end("t2", EndedDone)
	if len(h.started()) != 1 {
		t.Errorf("started %v, want the queued order", h.started())
	}
}

// A caller has left and its entry stops the run, but no stop reaches the worker. The run must
// end with the lease before the caller sends its job again, whoever else has runs there.
func TestLeaseEndsARunThatCannotBeStopped(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 100)
	h.begin("e1", "t2", 100)
	h.frame("e1", &pb.OrderFrame{Stops: []uint64{1}})
	began := h.now
	for h.now.Sub(began) < 2*h.times.RenewalLimit {
		h.now = h.now.Add(10 * time.Millisecond)
		h.poll()
		h.frame("e1", &pb.OrderFrame{})
		l, _ := h.r.NextPoll(h.now, true)
		if left := h.leaseLeft(l.Until); left > 0 && h.now.Sub(began)+left > h.times.RenewalLimit {
			t.Fatalf("a lease up to %v after the stop, want %v at most", h.now.Sub(began)+left, h.times.RenewalLimit)
		}
	}
}

// A link is cut, reopens and is cut again before the entry has repeated the stops that were lost
// with it. The answer to the handshake must not prolong the runs.
func TestHandshakeDoesNotProlongRuns(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 100)
	began := h.now
	h.wait(h.times.EntryTimeout - 50*time.Millisecond)
	h.r.CloseLink(h.now, "e1")
	h.r.LinkUp(h.now, h.now, &pb.EntryGreeting{Entry: "e1", Incarnation: "e1"}, 2, h.now.UnixNano())
	h.ready()
	for h.now.Sub(began) < 2*h.times.EntryTimeout {
		h.wait(10 * time.Millisecond)
		if len(h.last.Stops) > 0 {
			break
		}
	}
	if got := h.now.Sub(began); got > h.times.EntryTimeout+10*time.Millisecond {
		t.Errorf("the run was stopped %v after the last frame, want %v", got, h.times.EntryTimeout)
	}
}

// A machine is suspended, and when it resumes the entry's link is open again before any timer has
// fired. Guards against runs that go on, since the new link hides the silence during which the entry
// has taken them for ended and ordered their tasks elsewhere.
func TestLinkAfterSilenceDoesNotKeepRunsAlive(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	h.now = h.now.Add(h.times.EntryTimeout)
	h.r.LinkUp(h.now, h.now, &pb.EntryGreeting{Entry: "e1", Incarnation: "e1"}, 2, h.now.UnixNano())
	h.ready()
	if len(h.last.Stops) != 1 || h.last.Stops[0].Task != "t1" {
		t.Errorf("stops %v, want one of t1", h.last.Stops)
	}
}

// suspend suspends the machine of agent and worker.
func (h *harness) suspend(d time.Duration) {
	h.now = h.now.Add(d)
	h.r.Suspended(d)
}

// A machine resumes, and its agent asks for a lease before the worker has answered again. Guards against
// a lease that is longer by the time for which the worker's clock has stood still.
func TestLeaseAfterASuspensionIsNoLonger(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	h.poll()
	clock := h.clock()
	h.suspend(500 * time.Millisecond)
	h.frame("e1", &pb.OrderFrame{})
	if l, _ := h.r.NextPoll(h.now, true); l.Until-clock > h.times.Lease {
		t.Errorf("a lease of %v, want %v at most", l.Until-clock, h.times.Lease)
	}
}

// A machine is suspended while its worker doesn't answer. Guards against an agent that takes the runs
// for ended when it resumes, while their lease, which has stood still, keeps them going.
func TestRunsOfASuspendedWorkerAreKeptUntilTheirLeaseExpires(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	h.failPolls()
	h.suspend(3 * time.Second)
	resumed := h.now
	h.wait(h.times.Lease / 2)
	if h.r.Running() == 0 {
		t.Errorf("lost %v after it resumed", h.now.Sub(resumed))
	}
	h.wait(h.times.LeaseEndedAfter)
	if h.r.Running() > 0 {
		t.Errorf("still kept %v after it resumed", h.now.Sub(resumed))
	}
}

// A new process's first poll is refused because of an earlier one's token. Guards against a lease that is
// requested before an answer shows which runs of that process are left, whose entry has lost it.
func TestNoLeaseIsRequestedBeforeTheRunsAreKnown(t *testing.T) {
	h := newHarness(t, "e1")
	h.r.HandleLeave(h.now, "w1")
	h.ready()
	h.r.HandleReport(h.now, reportOf("w2", 1, false))
	l, _ := h.r.NextPoll(h.now, true)
	h.r.PollFenced(h.now, l, h.clock())
	if l, _ = h.r.NextPoll(h.now, true); l.Until != 0 {
		t.Errorf("lease until %v requested of a worker that hasn't listed its runs", l.Until)
	}
}

// A worker is superseded and takes its place again, and its answer to a poll of the time before comes
// late. Guards against a lease that is renewed for a run whose end was reckoned from the earlier one.
func TestLeaseOfASupersededRunIsNotRenewed(t *testing.T) {
	h := newHarness(t, "e1")
	h.begin("e1", "t1", 1000)
	late, _ := h.r.NextPoll(h.now, true)
	l, _ := h.r.NextPoll(h.now, true)
	h.r.PollMisdirected(h.now, l)
	h.supersede("w2")
	l, _ = h.r.NextPoll(h.now, true)
	h.r.PollMisdirected(h.now, l)
	h.wait(60 * time.Millisecond)
	h.r.HandleReport(h.now, reportOf("w1", 9, false))
	h.running = map[string]uint32{"t1": 1}
	h.answer(late)
	if l, _ = h.r.NextPoll(h.now, true); l.Until != 0 {
		t.Errorf("lease until %v requested, while t1 counts as ended at %v", l.Until, h.r.runs["t1"].lostAt())
	}
	h.answer(l)
	if x := h.r.runs["t1"]; x == nil || x.phase != running {
		t.Errorf("t1 is %+v, want it running", x)
	}
}
