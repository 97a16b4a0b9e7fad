package bounds

import (
	"testing"
	"time"
)

// A caller sends its job again after Resend. Whatever has failed, the first entry's
// runs must have ended by then; otherwise a task would run twice at the same time.
func TestRunsEndBeforeTheJobIsSentAgain(t *testing.T) {
	for _, g := range []Given{
		{},
		{Resend: 1300 * time.Millisecond, MaxLease: time.Second, Stop: 50 * time.Millisecond},
		{Resend: 900 * time.Millisecond, MaxLease: 400 * time.Millisecond, Stop: 20 * time.Millisecond},
		{Resend: 5 * time.Second, MaxLease: 2 * time.Second, Stop: 200 * time.Millisecond},
		{Resend: time.Minute, MaxLease: 30 * time.Second, Stop: time.Second},
	} {
		times, err := Derive(g)
		if err != nil {
			t.Fatalf("%+v: %v", g, err)
		}
		resend := g.Resend
		if resend == 0 {
			resend = defaultResend
		}
		if worst := times.Silence + times.Stop + Lapse(times.Lease) + Slack; worst > times.GiveUp+resend {
			t.Errorf("%+v: runs may last %v, but the job may be sent again after %v", g, worst, times.GiveUp+resend)
		}
		if g.MaxLease > 0 && times.Lease > g.MaxLease {
			t.Errorf("%+v: lease %v is longer than the worker grants", g, times.Lease)
		}
		if times.MaxLate >= times.Silence {
			t.Errorf("%+v: an order may start after its entry has timed out", g)
		}
	}
}

// Stopping a run takes so long, compared with the time after which callers send a
// job again, that no values satisfy the bounds. The process must not start.
func TestUnsatisfiableBoundsRejected(t *testing.T) {
	_, err := Derive(Given{Resend: 300 * time.Millisecond, MaxLease: time.Second, Stop: 250 * time.Millisecond})
	if err == nil {
		t.Error("no error")
	}
}
