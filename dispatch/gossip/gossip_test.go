package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// fleet runs many views on virtual time. Each pair of partners exchanges once a second.
type fleet struct {
	t           *testing.T
	now         time.Time
	ticks       int
	views       []*View
	down        map[int]bool
	partitioned func(a, b int) bool
	// calls counts the exchanges of each entry, records those sent by all.
	calls   []int
	records int
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7", i) }

// newFleet starts n entries that know three seeds.
func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0), down: map[int]bool{}, calls: make([]int, n)}
	f.partitioned = func(int, int) bool { return false }
	for i := range n {
		f.views = append(f.views, f.newView(i))
	}
	return f
}

func (f *fleet) newView(i int) *View {
	seeds := []string{address(0), address(1), address(2)}
	v := New(address(i), uint64(f.now.UnixMilli()), slices.DeleteFunc(seeds, func(a string) bool { return a == address(i) }))
	return v
}

const (
	tickInterval  = 100 * time.Millisecond
	exchangeTicks = 10
)

// advance runs the fleet for a duration of virtual time.
func (f *fleet) advance(d time.Duration) {
	for range d / tickInterval {
		f.now = f.now.Add(tickInterval)
		f.ticks++
		for i, v := range f.views {
			if f.down[i] {
				continue
			}
			v.Tick(f.now)
			for j := range f.views {
				// The lower of two entries initiates the exchange, or the higher one if
				// it is not a partner of the lower.
				if j != i && v.IsPartner(address(j)) && (j > i || !f.views[j].IsPartner(address(i))) && (f.ticks+7*i+3*j)%exchangeTicks == 0 {
					f.exchange(i, j)
				}
			}
		}
	}
}

func (f *fleet) exchange(i, j int) {
	f.calls[i]++
	if f.down[j] || f.partitioned(i, j) {
		return
	}
	f.calls[j]++
	a, b := f.views[i], f.views[j]
	a.RecordContact(f.now, address(j))
	b.RecordContact(f.now, address(i))
	if a.Digest() != b.Digest() {
		mine, theirs := a.Records(), b.Records()
		f.records += len(mine) + len(theirs)
		b.Merge(f.now, mine)
		a.Merge(f.now, theirs)
	}
}

// agreeing counts the views of running entries that list as many entries as are running.
func (f *fleet) agreeing() int {
	n := 0
	for i, v := range f.views {
		if !f.down[i] && len(v.Alive()) == len(f.views)-len(f.down) {
			n++
		}
	}
	return n
}

func (f *fleet) wantAgreement(what string) {
	f.t.Helper()
	if got, want := f.agreeing(), len(f.views)-len(f.down); got != want {
		f.t.Errorf("%s: %d of %d views list the running entries", what, got, want)
	}
}

// All machines start at once, knowing three addresses of which one is not reachable.
// Agents can't choose among entries that don't know each other, so the views must
// converge within a few exchanges.
func TestAllEntriesConvergeAfterStart(t *testing.T) {
	for _, n := range []int{3, 12, 55, 120} {
		f := newFleet(t, n)
		if n > 3 {
			f.down[1] = true
		}
		f.advance(6 * time.Second)
		f.wantAgreement(fmt.Sprint(n, " entries after 6 s"))
	}
}

// An entry's machine fails. Its partners detect the loss and the record must reach all
// others, so that no agent is directed to it.
func TestLostEntryIsRemovedFromAllViews(t *testing.T) {
	f := newFleet(t, 55)
	f.advance(8 * time.Second)
	f.down[20], f.down[21] = true, true
	f.advance(8 * time.Second)
	f.wantAgreement("8 s after the loss of two entries")
	f.views[20] = f.newView(20)
	delete(f.down, 20)
	f.advance(6 * time.Second)
	f.wantAgreement("6 s after the restart of one")
}

// Some entries are partitioned from the others for a while and mark them lost. When the
// partition heals, their records must not remove running entries from any view.
func TestPartitionedEntriesRejoin(t *testing.T) {
	f := newFleet(t, 55)
	f.advance(8 * time.Second)
	f.partitioned = func(a, b int) bool { return a%3 == 0 != (b%3 == 0) }
	f.advance(10 * time.Second)
	f.partitioned = func(int, int) bool { return false }
	f.advance(8 * time.Second)
	f.wantAgreement("8 s after the partition")
}

// A process is suspended for seconds. When it resumes, all others seem unresponsive; it
// must not mark them lost.
func TestPausedEntryMarksNoneLost(t *testing.T) {
	f := newFleet(t, 30)
	f.advance(8 * time.Second)
	v, before := f.views[4], len(f.views[4].Alive())
	f.now = f.now.Add(10 * time.Second)
	v.Tick(f.now)
	if got := len(v.Alive()); got != before {
		t.Errorf("%d of %d entries are alive after a pause", got, before)
	}
}

// A machine is replaced by one whose clock is behind: the new process has a lower
// generation than the earlier one, which is marked lost. It must rejoin nevertheless.
func TestEntryWithLowerGenerationRejoins(t *testing.T) {
	f := newFleet(t, 20)
	f.advance(6 * time.Second)
	f.down[7] = true
	f.advance(8 * time.Second)
	delete(f.down, 7)
	f.views[7] = New(address(7), 1, []string{address(0)})
	f.advance(8 * time.Second)
	f.wantAgreement("8 s after the restart")
}

// The exchange rate of an entry must grow slowly with the fleet, and no records may be
// sent while nothing changes.
func TestExchangeRateGrowsSlowly(t *testing.T) {
	perSecond := func(n int) float64 {
		f := newFleet(t, n)
		f.advance(10 * time.Second)
		clear(f.calls)
		f.records = 0
		f.advance(5 * time.Second)
		if f.records > 0 {
			t.Errorf("%d entries: %d records sent in 5 s without a change", n, f.records)
		}
		return float64(slices.Max(f.calls)) / 5
	}
	few, many := perSecond(13), perSecond(200)
	if many > 2*few {
		t.Errorf("%.1f exchanges/s among 13 entries, %.1f among 200", few, many)
	}
}

// The partner relation must be symmetric, or one side would never be contacted.
func TestPartnersAreMutual(t *testing.T) {
	for _, n := range []int{2, 13, 14, 55, 200} {
		var alive []string
		for i := range n {
			alive = append(alive, address(i))
		}
		for _, a := range alive {
			for b := range partnersOf(a, alive) {
				if !partnersOf(b, alive)[a] {
					t.Fatalf("%d entries: %s is no partner of its partner %s", n, a, b)
				}
			}
		}
	}
}

// Views that list different entries must have different digests, or no records would be
// exchanged between them.
func TestDigestDistinguishesLists(t *testing.T) {
	with := func(addresses ...string) uint64 {
		v := New("self", 1, nil)
		for _, a := range addresses {
			v.RecordContact(time.Unix(1000, 0), a)
		}
		return v.Digest()
	}
	if with("ab", "c") == with("a", "bc") || with("a") == with("a", "b") {
		t.Error("two different lists have the same digest")
	}
	if with("a", "b") != with("b", "a") {
		t.Error("the same list has two digests")
	}
}
