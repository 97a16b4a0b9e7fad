// Package bounds derives the timeouts that keep an entry, an agent and a worker
// under a lease from running a task twice at the same time.
//
// A caller whose connection broke sends its job again after ResendAfter, to any entry,
// which starts the tasks anew without knowing about the first entry's runs. All of
// those must have ended by then, whatever failed:
//
//   - The entry is alive and reaches the agent: it stops them immediately.
//   - The entry is gone, frozen or partitioned: the agent stops them EntryTimeout after
//     the last frame from the entry, and a stop takes up to StopTime.
//   - The agent is also gone, frozen or partitioned from its worker: the lease ends
//     them, at most Lease after its last renewal by the worker's clock, which may be
//     slow by ClockError.
//
// The entry abandons a job no sooner than ReconnectTimeout after it lost the link that the
// job's runs are on. All values must therefore satisfy
//
//	EntryTimeout + StopTime + Lease*(1+ClockError) + Slack <= ReconnectTimeout + ResendAfter
//
// and, for a caller that disconnects by itself while entry or agent fails,
//
//	max(EntryTimeout + StopTime, Lease*(1+ClockError)) + Slack <= ResendAfter.
//
// An entry that gets no CPU for a while learns late that callers have disconnected, and may
// order tasks for them until then. Such an order is safe, whatever fails after it, if its caller
// has disconnected at most MaxStall before:
//
//	MaxStall + max(EntryTimeout + StopTime, Lease*(1+ClockError)) + Slack <= ResendAfter.
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
	// Lease is the duration of the leases that agents request from workers.
	Lease time.Duration
	// StopTime is the longest time that a worker takes to stop a run.
	StopTime time.Duration
	// ReconnectTimeout is how long an entry waits for a lost link to an agent to come back
	// before it abandons the jobs on it.
	ReconnectTimeout time.Duration
	// MaxOrderDelay is the delay up to which an order that arrives is still started. It
	// must be below EntryTimeout, so that a stale order does not start after its entry
	// has timed out.
	MaxOrderDelay time.Duration
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
	// entryTimeoutFraction is EntryTimeout as a fraction of ResendAfter. It leaves time for StopTime
	// and a lease after it, and is long enough to establish a new connection.
	entryTimeoutFraction = 0.45
	// reconnectFraction is ReconnectTimeout as a fraction of ResendAfter: the time for an agent to
	// come back on a new connection.
	reconnectFraction = 0.3
	// leaseFraction is the longest lease as a fraction of ResendAfter.
	leaseFraction = 0.6
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
		Lease:            min(cmp.Or(g.MaxLease, defaultLease), scale(resend, leaseFraction)),
		StopTime:         cmp.Or(g.StopTime, defaultStop),
		ReconnectTimeout: scale(resend, reconnectFraction),
	}
	t.MaxOrderDelay = scale(t.EntryTimeout, orderDelayFraction)
	leaseExpiry := LeaseExpiry(t.Lease)
	t.RunsEndedAfter = t.EntryTimeout + t.StopTime + leaseExpiry + Slack
	t.MaxStall = resend - max(t.EntryTimeout+t.StopTime, leaseExpiry) - Slack
	if t.RunsEndedAfter > t.ReconnectTimeout+resend || t.MaxStall < 0 {
		return t, ErrUnsatisfiable.New("a resend after %v leaves too little time to end runs with a stop time of %v and a lease of %v", resend, t.StopTime, t.Lease)
	}
	return t, nil
}

// LeaseExpiry returns the time, by this process's clock, after which a lease kept by a
// worker's clock has certainly ended.
func LeaseExpiry(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + ClockError))
}

func scale(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction).Round(time.Millisecond)
}
