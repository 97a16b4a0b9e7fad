package bounds

import (
	"cmp"
	"iter"
	"testing"
	"time"
)

// settings calls f with the settings of many deployments that Derive accepts.
func settings(t *testing.T, f func(g Params, resend time.Duration, times Timeouts)) {
	t.Helper()
	ms := time.Millisecond
	accepted := 0
	for _, resend := range []time.Duration{0, 200 * ms, 300 * ms, 400 * ms, 450 * ms, 600 * ms, 900 * ms, 1300 * ms, 2 * time.Second, 5 * time.Second, time.Minute, 10 * time.Minute} {
		for _, lease := range []time.Duration{0, 10 * ms, 100 * ms, 400 * ms, time.Second, 2 * time.Second, 30 * time.Second, time.Hour} {
			for _, stop := range []time.Duration{0, ms, 20 * ms, 50 * ms, 200 * ms, 325 * ms, time.Second, 15 * time.Second} {
				g := Params{ResendAfter: resend, MaxLease: lease, StopTime: stop}
				times, err := Derive(g)
				if err != nil {
					continue
				}
				accepted++
				f(g, cmp.Or(resend, defaultResend), times)
			}
		}
	}
	if accepted < 300 {
		t.Errorf("%d settings accepted", accepted)
	}
}

// Settings of usual deployments are rejected although values exist that satisfy the bounds: their
// processes would not start.
func TestUsualSettingsAreAccepted(t *testing.T) {
	for _, g := range []Params{
		{},
		{ResendAfter: 1300 * time.Millisecond, MaxLease: time.Second, StopTime: 50 * time.Millisecond},
		{ResendAfter: 900 * time.Millisecond, MaxLease: 400 * time.Millisecond, StopTime: 20 * time.Millisecond},
		{ResendAfter: 5 * time.Second, MaxLease: 2 * time.Second, StopTime: 200 * time.Millisecond},
		{ResendAfter: time.Minute, MaxLease: 30 * time.Second, StopTime: time.Second},
	} {
		if _, err := Derive(g); err != nil {
			t.Errorf("%+v: %v", g, err)
		}
	}
}

// A caller sends its job again after ResendAfter. Whatever has failed, the first entry's
// runs must have ended by then; otherwise a task would run twice at the same time.
func TestRunsEndBeforeTheJobIsSentAgain(t *testing.T) {
	settings(t, func(g Params, resend time.Duration, times Timeouts) {
		ends := map[string]time.Duration{
			"the entry fails": times.EntryTimeout + times.StopTime,
			"entry and agent fail when an order has arrived": times.MaxOrderDelay + LeaseExpiry(times.Lease),
		}
		for silence := range steps(times.EntryTimeout) {
			end := silence + LeaseExpiry(times.LeaseAfter(silence))
			ends["entry and agent fail"] = max(ends["entry and agent fail"], end)
		}
		for silence := range steps(resend) {
			lease := times.LeaseAfter(silence)
			if end := silence + LeaseExpiry(lease); lease > 0 {
				ends["entry and worker fail"] = max(ends["entry and worker fail"], end)
			}
		}
		for failure, end := range ends {
			if end+times.MaxStall+Slack > resend {
				t.Errorf("%+v: when %s, runs may last %v after a stall of %v, but the job is sent again after %v", g, failure, end, times.MaxStall, resend)
			}
			if end+Slack+WorkerStall > times.RunsEndedAfter {
				t.Errorf("%+v: when %s, runs may last %v, but are considered ended after %v", g, failure, end, times.RunsEndedAfter)
			}
		}
		if end := LeaseExpiry(times.Lease) + Slack + WorkerStall; end > times.LeaseEndedAfter {
			t.Errorf("%+v: runs of a worker out of reach may last %v, but are considered ended after %v", g, end, times.LeaseEndedAfter)
		}
		if times.MaxStall < 0 {
			t.Errorf("%+v: MaxStall is %v", g, times.MaxStall)
		}
		if g.MaxLease > 0 && times.Lease > g.MaxLease {
			t.Errorf("%+v: lease %v is longer than the worker grants", g, times.Lease)
		}
		if times.MaxOrderDelay >= times.EntryTimeout {
			t.Errorf("%+v: an order may start after its entry has timed out", g)
		}
	})
}

// A lease covers all runs of a worker. One that lapses while the runs of a silent entry are
// stopped would end the runs of all entries.
func TestLeaseOutlastsTheStopOfASilentEntrysRuns(t *testing.T) {
	settings(t, func(g Params, _ time.Duration, times Timeouts) {
		want := min(times.Lease, scale(times.StopTime, 1/(1+ClockError)))
		if got := times.LeaseAfter(times.EntryTimeout); got < want-time.Millisecond {
			t.Errorf("%+v: a lease of %v after the entry timeout, want %v", g, got, want)
		}
	})
}

// steps returns times from 0 to the given one, both included.
func steps(to time.Duration) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		const n = 200
		for i := range time.Duration(n + 1) {
			if !yield(to * i / n) {
				return
			}
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
