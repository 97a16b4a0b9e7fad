// Package bounds derives, in one place, the times by which an entry, an agent and
// a worker under a lease keep two runs of one task apart.
//
// A caller whose connection broke sends its job again after Resend, at any entry,
// which starts the tasks anew and knows nothing of the first entry's runs. So all
// of these must have ended by then, whatever failed:
//
//   - the entry lives and reaches the agent: it stops them at once;
//   - the entry is gone, frozen or cut off: the agent stops them Silence after the
//     entry's last word, and a stop takes Stop;
//   - the agent is gone, frozen or cut off from its worker as well: the lease ends
//     them, at most Lease of the worker's clock after the last renewal, and that
//     clock may be slow by ClockError.
//
// The entry gives a job up no sooner than GiveUp after it lost the link that the
// job's runs are on. The bound that all figures here must keep is therefore
//
//	Silence + Stop + Lease*(1+ClockError) + Slack <= GiveUp + Resend
//
// and for a caller that leaves by itself, with entry or agent gone at that moment,
//
//	max(Silence + Stop, Lease*(1+ClockError)) + Slack <= Resend.
package bounds

import (
	"cmp"
	"time"

	"github.com/joomcode/errorx"
)

// ErrTooTight is given when no figures keep the bound.
var ErrTooTight = errorx.NewNamespace("bounds").NewType("too_tight")

// Given are the deployment's figures.
type Given struct {
	// Resend is the least time after which a caller without an answer sends a job
	// again.
	Resend time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Stop is the longest time that a worker takes to end a run.
	Stop time.Duration
}

// Times are what the processes go by.
type Times struct {
	Silence time.Duration
	Lease   time.Duration
	Stop    time.Duration
	GiveUp  time.Duration
	// MaxLate is how late an order may arrive and still be started. It must be
	// below Silence, so that a late order doesn't begin after its entry was given up.
	MaxLate time.Duration
	// RunsOver is how long after the last frame an entry sent to an agent that it
	// can't reach all runs that it ordered there have ended.
	RunsOver time.Duration
}

const (
	// ClockError is by how much a worker's clock may be slow, as its service
	// states.
	ClockError = 0.02
	// Slack covers timers that fire late, messages under way, and a processor
	// that has used up its share for the rest of a tenth of a second.
	Slack = 150 * time.Millisecond
	// silencePart is the part of Resend that an entry may be silent. Short enough
	// for Stop and a lease after it, long enough to outlast a new connection.
	silencePart = 0.45
	// giveUpPart is the part of Resend that an entry waits for an agent to come
	// back on a new connection.
	giveUpPart = 0.3
	// leasePart is the part of Resend that a lease may last.
	leasePart = 0.6
	// latePart is the part of Silence by which an order may be late.
	latePart = 0.3
	// defaultResend, defaultLease and defaultStop are for deployments that don't
	// state theirs: a few of the shortest usual tasks.
	defaultResend = 1300 * time.Millisecond
	defaultLease  = time.Second
	defaultStop   = 50 * time.Millisecond
)

// Derive returns times that keep the bound.
func Derive(g Given) (Times, error) {
	resend := cmp.Or(g.Resend, defaultResend)
	t := Times{
		Silence: part(resend, silencePart),
		Lease:   min(cmp.Or(g.MaxLease, defaultLease), part(resend, leasePart)),
		Stop:    cmp.Or(g.Stop, defaultStop),
		GiveUp:  part(resend, giveUpPart),
	}
	t.MaxLate = part(t.Silence, latePart)
	lapse := Lapse(t.Lease)
	t.RunsOver = t.Silence + t.Stop + lapse + Slack
	if t.RunsOver > t.GiveUp+resend || max(t.Silence+t.Stop, lapse)+Slack > resend {
		return t, ErrTooTight.New("jobs are sent again after %v; a stop of %v and a lease of %v leave no time to end their runs", resend, t.Stop, t.Lease)
	}
	return t, nil
}

// Lapse is when a lease on a worker's clock has certainly ended on ours.
func Lapse(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + ClockError))
}

func part(d time.Duration, p float64) time.Duration {
	return time.Duration(float64(d) * p).Round(time.Millisecond)
}
