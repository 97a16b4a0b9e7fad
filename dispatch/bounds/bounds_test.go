package bounds

import (
	"testing"
	"time"
)

// A caller sends its job again after Resend. Whatever was lost meanwhile, the first
// entry's runs must have ended by then, or a certificate is stamped twice at once.
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
			t.Errorf("%+v: runs may last %v, and the job may be sent again after %v", g, worst, times.GiveUp+resend)
		}
		if g.MaxLease > 0 && times.Lease > g.MaxLease {
			t.Errorf("%+v: lease %v is longer than the worker grants", g, times.Lease)
		}
		if times.MaxLate >= times.Silence {
			t.Errorf("%+v: an order may start after its entry was given up", g)
		}
	}
}

// A worker takes longer to stop a run than a caller waits before it sends its job
// again. No figures can keep two runs apart, so the process must not start.
func TestImpossibleBoundsAreRefused(t *testing.T) {
	_, err := Derive(Given{Resend: 300 * time.Millisecond, MaxLease: time.Second, Stop: 250 * time.Millisecond})
	if err == nil {
		t.Error("no error")
	}
}
