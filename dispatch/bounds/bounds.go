// Package bounds derives the timeouts that keep an entry, an agent and a worker
// under a lease from running a task twice at the same time.
//
// A caller whose connection ends without an answer, or with the answer that its job was
// abandoned, sends the job again after ResendAfter, to any entry, which starts the tasks anew
// without knowing about the first entry's runs. All of those must have ended by then, whatever
// failed. The times below count from the last frame that the agent has received from the
// entry. Such a frame says that the entry still wants the runs that it doesn't stop.
//
//   - The entry is alive and reaches the agent: it stops them immediately.
//   - The entry is gone, frozen or partitioned: the agent stops them after EntryTimeout, and a
//     stop takes up to StopTime.
//   - The agent also fails, or is cut off from its worker, at any moment before that: the lease
//     ends them. The agent requests no lease that ends later than RenewalLimit, by a worker's
//     clock that may be slow by ClockError. Its own failure can't change what it has requested,
//     and another process of the agent requests no lease before it has found which runs are left.
//   - The worker doesn't confirm a stop: the same, counted from the frame that asked for it.
//
// The last frame was sent before the caller's connection ended, or up to MaxStall later by an
// entry that got no CPU for so long; see Timeouts.MaxStall. So all values must satisfy
//
//	MaxStall + max(EntryTimeout + StopTime, RenewalLimit) + Slack <= ResendAfter.
//
// A lease covers all runs of a worker, and none is shortened. One that was requested just before
// an order arrives applies to the order's run, too, and the frame with the order may have taken
// MaxOrderDelay:
//
//	MaxOrderDelay + Lease*(1+ClockError) <= RenewalLimit.
//
// In order that a lease doesn't end the runs of other entries while the agent can still stop those
// of a silent one, they must also satisfy
//
//	EntryTimeout + StopTime <= RenewalLimit.
//
// A worker that gets no CPU when its lease expires ends its runs later, by up to WorkerStall. The system
// waits for that before it orders a task again whose run it takes for ended because of the time that
// has passed:
//
//	Lease*(1+ClockError) + Slack + WorkerStall <= LeaseEndedAfter,
//	RenewalLimit + Slack + WorkerStall <= RunsEndedAfter.
//
// A caller doesn't wait for it before it sends its job again.
package bounds

import (
	"cmp"
	"time"

	"github.com/joomcode/errorx"
)

// ErrUnsatisfiable is returned when no values satisfy the bounds.
var ErrUnsatisfiable = errorx.NewNamespace("bounds").NewType("too_tight")

// Params holds the deployment's parameters. Zero fields take defaults.
type Params struct {
	// ResendAfter is the shortest time after which a caller without an answer sends its
	// job again.
	ResendAfter time.Duration
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// StopTime is the longest time that a worker takes to stop a run.
	StopTime time.Duration
}

// Timeouts holds the derived timeouts.
type Timeouts struct {
	// EntryTimeout is how long after the last frame from an entry its agent stops the
	// entry's runs.
	EntryTimeout time.Duration
	// Lease is the longest duration of the leases that agents request from workers; see
	// LeaseAfter.
	Lease time.Duration
	// RenewalLimit is how long after the last frame from an entry a lease may extend while runs of
	// that entry are on the worker, or orders wait for it.
	RenewalLimit time.Duration
	// StopTime is the longest time that a worker takes to stop a run.
	StopTime time.Duration
	// ReconnectTimeout is how long an entry waits for a lost link to an agent to come back
	// before it abandons the jobs on it.
	ReconnectTimeout time.Duration
	// MaxOrderDelay is the delay up to which an order that arrives is still started. It
	// must be below EntryTimeout, so that a stale order does not start after its entry
	// has timed out.
	MaxOrderDelay time.Duration
	// LeaseEndedAfter is how long after the last request for a lease the runs of a worker that can't
	// be reached have ended.
	LeaseEndedAfter time.Duration
	// RunsEndedAfter is how long after an entry's last frame to an unreachable agent all
	// runs that the entry ordered there have ended.
	RunsEndedAfter time.Duration
	// MaxStall is how long an entry may handle nothing before it must check its callers'
	// connections.
	MaxStall time.Duration
}

const (
	// ClockError is the fraction by which a worker's clock may be slow, according to
	// its service.
	ClockError = 0.02
	// Slack covers timers that fire late, messages in flight, and CPU throttling: a
	// process that has used up its CPU quota is paused for up to 100 ms.
	Slack = 150 * time.Millisecond
	// WorkerStall is how long a worker may get no CPU when its lease expires: its share of the CPU
	// may be used up in two periods in a row.
	WorkerStall = 200 * time.Millisecond
	// entryTimeoutFraction is EntryTimeout as a fraction of ResendAfter. It leaves time for StopTime
	// and a lease after it, and is long enough to establish a new connection.
	entryTimeoutFraction = 0.45
	// reconnectFraction is ReconnectTimeout as a fraction of ResendAfter: the time for an agent to
	// come back on a new connection.
	reconnectFraction = 0.3
	// renewalFraction is RenewalLimit as a fraction of ResendAfter. A lease that is requested just
	// before EntryTimeout must outlast some polls of the worker, and what is left of ResendAfter is
	// for MaxStall.
	renewalFraction = 0.7
	// orderDelayFraction is MaxOrderDelay as a fraction of EntryTimeout.
	orderDelayFraction = 0.3
	// defaultResend, defaultLease and defaultStop apply to deployments that don't set
	// theirs. They allow for a few of the shortest common tasks.
	defaultResend = 1300 * time.Millisecond
	defaultLease  = time.Second
	defaultStop   = 50 * time.Millisecond
)

// Derive returns times that satisfy the bounds, or ErrUnsatisfiable.
func Derive(g Params) (Timeouts, error) {
	resend := cmp.Or(g.ResendAfter, defaultResend)
	t := Timeouts{
		EntryTimeout:     scale(resend, entryTimeoutFraction),
		StopTime:         cmp.Or(g.StopTime, defaultStop),
		ReconnectTimeout: scale(resend, reconnectFraction),
	}
	t.RenewalLimit = min(max(scale(resend, renewalFraction), t.EntryTimeout+t.StopTime), resend-Slack)
	t.MaxOrderDelay = scale(t.EntryTimeout, orderDelayFraction)
	t.Lease = min(cmp.Or(g.MaxLease, defaultLease), withinExpiry(t.RenewalLimit-t.MaxOrderDelay))
	t.LeaseEndedAfter = LeaseExpiry(t.Lease) + Slack + WorkerStall
	t.RunsEndedAfter = t.RenewalLimit + Slack + WorkerStall
	t.MaxStall = resend - t.RenewalLimit - Slack
	if t.EntryTimeout+t.StopTime > t.RenewalLimit {
		return t, ErrUnsatisfiable.New("a resend after %v leaves too little time to end runs with a stop time of %v and a lease of %v", resend, t.StopTime, t.Lease)
	}
	return t, nil
}

// LeaseAfter returns the duration of the leases that are requested while runs of an entry are on
// the worker whose last frame was received the given time ago.
func (t Timeouts) LeaseAfter(silence time.Duration) time.Duration {
	return min(t.Lease, max(0, withinExpiry(t.RenewalLimit-silence)))
}

// withinExpiry returns the longest lease that has certainly ended after the given time.
func withinExpiry(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + ClockError))
}

// LeaseExpiry returns the time, by this process's clock, after which a lease kept by a
// worker's clock has certainly ended.
func LeaseExpiry(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + ClockError))
}

func scale(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction).Round(time.Millisecond)
}
