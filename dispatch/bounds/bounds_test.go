package bounds

import (
	"testing"
	"time"
)

// A caller sends its job again after ResendAfter. Whatever has failed, the first entry's
// runs must have ended by then; otherwise a task would run twice at the same time.
func TestRunsEndBeforeTheJobIsSentAgain(t *testing.T) {
	for _, g := range []Params{
		{},
		{ResendAfter: 1300 * time.Millisecond, MaxLease: time.Second, StopTime: 50 * time.Millisecond},
		{ResendAfter: 900 * time.Millisecond, MaxLease: 400 * time.Millisecond, StopTime: 20 * time.Millisecond},
		{ResendAfter: 5 * time.Second, MaxLease: 2 * time.Second, StopTime: 200 * time.Millisecond},
		{ResendAfter: time.Minute, MaxLease: 30 * time.Second, StopTime: time.Second},
	} {
		times, err := Derive(g)
		if err != nil {
			t.Fatalf("%+v: %v", g, err)
		}
		resend := g.ResendAfter
		if resend == 0 {
			resend = defaultResend
		}
		if worst := times.EntryTimeout + times.StopTime + LeaseExpiry(times.Lease) + Slack; worst > times.ReconnectTimeout+resend {
			t.Errorf("%+v: runs may last %v, but the job may be sent again after %v", g, worst, times.ReconnectTimeout+resend)
		}
		if g.MaxLease > 0 && times.Lease > g.MaxLease {
			t.Errorf("%+v: lease %v is longer than the worker grants", g, times.Lease)
		}
		if worst := times.MaxStall + max(times.EntryTimeout+times.StopTime, LeaseExpiry(times.Lease)) + Slack; worst > resend {
			t.Errorf("%+v: runs for a caller that is gone may last %v, but the job may be sent again after %v", g, worst, resend)
		}
		if times.MaxOrderDelay >= times.EntryTimeout {
			t.Errorf("%+v: an order may start after its entry has timed out", g)
		}
	}
}

// Stopping a run takes so long, compared with the time after which callers send a
// job again, that no values satisfy the bounds. The process must not start.
func TestUnsatisfiableBoundsRejected(t *testing.T) {
	_, err := Derive(Params{ResendAfter: 300 * time.Millisecond, MaxLease: time.Second, StopTime: 250 * time.Millisecond})
	if err == nil {
		t.Error("no error")
	}
}
