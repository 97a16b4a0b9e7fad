package dispatcher

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/bounds"
	"github.com/papayahoist/papayahoist/dispatch/dispatcher"
	"github.com/papayahoist/papayahoist/dispatch/gossip"
)

func newTestDispatcher(t *testing.T, seeds ...string) *Dispatcher {
	t.Helper()
	times, err := bounds.Derive(bounds.Params{})
	if err != nil {
		t.Fatal(err)
	}
	d, err := New(Options{
		NodesListen: "127.0.0.1:0", Seeds: seeds, Logger: slog.New(slog.DiscardHandler),
		Core: dispatcher.Options{Entry: "e", Incarnation: t.Name() + time.Now().String(), Timeouts: times},
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = d.Serve() }()
	t.Cleanup(d.Close)
	return d
}

// With seventy entries, exchanges of all pairs from both sides every half second took more
// CPU time and network traffic than the entries' work. The rate of exchanges must stay
// low, but partners must exchange before they count each other as lost.
func TestExchangePeriodGrowsWithPartners(t *testing.T) {
	for _, c := range []struct {
		partners int
		want     time.Duration
	}{{2, exchangeInterval}, {6, exchangeInterval}, {9, 750 * time.Millisecond}, {12, maxExchangeInterval}, {69, maxExchangeInterval}} {
		if got := exchangePeriod(c.partners); got != c.want {
			t.Errorf("%d partners: each %v, want %v", c.partners, got, c.want)
		}
	}
}

// Both entries of a pair have the same period. If both started the next exchange at its
// end, there would be two exchanges instead of one.
func TestOneOfAPairStartsTheExchange(t *testing.T) {
	const period = time.Second
	first, second := untilExchange(period, 0, "a", "b"), untilExchange(period, 0, "b", "a")
	if first != period || second <= first || second >= gossip.LostAfter-exchangeTimeout {
		t.Errorf("exchanges start after %v and %v; want the first after %v, and the second later, but before the first entry counts as lost", first, second, period)
	}
	if left := untilExchange(period, 1200*time.Millisecond, "b", "a"); left >= second || left <= 0 {
		t.Errorf("%v left until the exchange", left)
	}
}

// The records of entries are sent only if the two views differ.
func TestRecordsAreSentOnlyIfTheyDiffer(t *testing.T) {
	d := newTestDispatcher(t)
	if got := d.peers.serve(&pb.ShareRequest{EntriesDigest: d.peers.view.Digest()}); len(got.Records) > 0 {
		t.Errorf("sent %v to an entry that has them", got.Records)
	}
	if got := d.peers.serve(&pb.ShareRequest{EntriesDigest: 1}); len(got.Records) != 1 {
		t.Errorf("sent %v to an entry that lacks a record, want one record", got.Records)
	}
}

// One entry can't reach the store. It must receive a new configuration from an entry that
// has it, and not again once it has it.
func TestConfigurationIsReceivedFromAnotherEntry(t *testing.T) {
	one := newTestDispatcher(t)
	two := newTestDispatcher(t, one.Address())
	for len(one.Entries()) < 2 || len(two.Entries()) < 2 {
		time.Sleep(5 * time.Millisecond)
	}
	one.SetConfiguration(&pb.Configuration{Version: 7}, "store")
	for two.Configuration().GetVersion() != 7 {
		time.Sleep(5 * time.Millisecond)
	}
	if resp := one.peers.serve(&pb.ShareRequest{Address: two.Address(), Version: 7}); resp.Configuration != nil {
		t.Error("the configuration was sent to an entry that has it")
	}
	if resp := one.peers.serve(&pb.ShareRequest{Address: two.Address(), Version: 6}); resp.Configuration == nil {
		t.Error("the configuration was not sent to an entry that lacks it")
	}
}

// One entry can't reach the store while a failure domain is evacuated and restored. It must
// receive both changes from an entry that can, before a configuration from that entry lets
// it admit jobs. A message that holds a configuration must not bring back an older list.
func TestEvacuationsAreReceivedFromAnotherEntry(t *testing.T) {
	one := newTestDispatcher(t)
	two := newTestDispatcher(t, one.Address())
	for len(one.Entries()) < 2 || len(two.Entries()) < 2 {
		time.Sleep(5 * time.Millisecond)
	}
	one.SetEvacuations(&pb.Evacuations{Revision: 5, Domains: []string{"shed"}})
	for len(two.Evacuations().GetDomains()) != 1 {
		time.Sleep(5 * time.Millisecond)
	}
	two.SetEvacuations(&pb.Evacuations{Revision: 8})
	for len(one.Evacuations().GetDomains()) != 0 {
		time.Sleep(5 * time.Millisecond)
	}
	if resp := one.peers.serve(&pb.ShareRequest{Version: 9, Configuration: &pb.Configuration{Version: 9}, Evacuations: &pb.Evacuations{Revision: 7, Domains: []string{"hall"}}}); len(resp.Evacuations.GetDomains()) != 0 {
		t.Errorf("evacuations %v in force, which are older", resp.Evacuations)
	}
}

// A caller asks one entry for the number of waiting jobs of a queue. Jobs that wait at other
// entries count, including those that aren't partners. The entry answers without calls to
// others: in a fleet each request would cost a call to every entry.
func TestWaitingIncludesOtherEntries(t *testing.T) {
	const entries = 16
	all := []*Dispatcher{newTestDispatcher(t)}
	for len(all) < entries {
		all = append(all, newTestDispatcher(t, all[0].Address()))
	}
	for _, d := range all {
		for len(d.Entries()) < entries {
			time.Sleep(5 * time.Millisecond)
		}
	}
	one := all[0]
	nonPartner := slices.IndexFunc(all, func(d *Dispatcher) bool { return d != one && !one.peers.isPartner(one.peers.all[d.Address()]) })
	if nonPartner < 0 {
		t.Fatal("all entries are partners")
	}
	all[nonPartner].decide(func(now time.Time) {
		all[nonPartner].core.Submit(now, dispatcher.Job{ID: "1", Queue: &pb.Queue{Name: "q", Service: "s", TargetMs: 5000}, Steps: []dispatcher.Step{{Count: 1}}})
	})
	if got := all[nonPartner].WaitingJobs("q"); got != 1 {
		t.Fatalf("%d jobs waiting at the entry that holds one", got)
	}
	for one.WaitingJobs("q") != 3 {
		all[nonPartner].peers.countWaiting(map[string]int{"q": 3}) // as if they had waited for the minimum time
		time.Sleep(5 * time.Millisecond)
	}
}
