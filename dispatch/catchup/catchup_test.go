package catchup_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/catchup"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// options have no jitter.
var options = catchup.Options{Delay: 100 * ms, MaxHold: time.Second, RetryDelay: 50 * ms, Random: func() float64 { return 0 }}

func TestBehind(t *testing.T) {
	c := catchup.New(options)
	for _, s := range []struct {
		name      string
		at        time.Duration
		own       uint64 // zero: another entry's version is recorded
		other     uint64
		newest    uint64
		behind    time.Duration // 50 ms later
		wasBehind time.Duration
	}{
		{"first version", 0, 3, 0, 3, 0, 0},
		{"an older one elsewhere", 100 * ms, 0, 2, 3, 0, 0},
		{"a newer one elsewhere", 200 * ms, 0, 5, 5, 50 * ms, 0},
		{"an even newer one", 400 * ms, 0, 8, 8, 250 * ms, 0},
		{"one of them here", 600 * ms, 5, 0, 8, 450 * ms, 0},
		{"the newest here", 900 * ms, 8, 0, 8, 0, 700 * ms},
		{"newer here than elsewhere", 1100 * ms, 9, 0, 9, 0, 0},
	} {
		var was time.Duration
		if s.own > 0 {
			was = c.SetOwn(at(s.at), s.own)
		} else {
			c.SetOther(at(s.at), "a", s.other, true)
		}
		newest, behind := c.Newest(at(s.at + 50*ms))
		if newest != s.newest || behind != s.behind || was != s.wasBehind {
			t.Errorf("%s: newest %d, behind %v, was behind %v; want %d, %v, %v", s.name, newest, behind, was, s.newest, s.behind, s.wasBehind)
		}
	}
}

// step is one call of a Tracker. Its result is compared if next is set.
type step struct {
	at         time.Duration
	own        uint64
	other      string // with version
	version    uint64
	old        bool // the other entry doesn't serve fetches
	remove     string
	done       bool
	failed     bool
	next       bool
	delivering bool
	want       string        // address
	wantAt     time.Duration // zero: not at all
}

func TestFetches(t *testing.T) {
	for name, steps := range map[string][]step{
		"after a delay, from one entry at a time": {
			{own: 3}, {other: "a", version: 4}, {next: true, wantAt: 100 * ms},
			{at: 50 * ms, other: "b", version: 4}, {at: 100 * ms, next: true, want: "a"},
			{at: 110 * ms, next: true}, {at: 200 * ms, own: 4}, {at: 200 * ms, done: true}, {at: 200 * ms, next: true},
		},
		"not if the store has delivered it": {
			{own: 3}, {other: "a", version: 4}, {at: 40 * ms, own: 4}, {at: 100 * ms, next: true},
		},
		"later while the store delivers": {
			{own: 3}, {other: "a", version: 4}, {at: 100 * ms, next: true, delivering: true, wantAt: 200 * ms},
			{at: 950 * ms, next: true, delivering: true, wantAt: 1050 * ms}, {at: 1050 * ms, next: true, delivering: true, want: "a"},
		},
		"at once without any configuration": {
			{other: "a", version: 4}, {next: true, delivering: true, want: "a"},
		},
		"from another entry after a failure": {
			{own: 3}, {other: "a", version: 4}, {at: 100 * ms, next: true, want: "a"}, {at: 100 * ms, other: "b", version: 4},
			{at: 300 * ms, done: true, failed: true}, {at: 300 * ms, next: true, wantAt: 350 * ms}, {at: 350 * ms, next: true, want: "b"},
			{at: 360 * ms, done: true, failed: true}, {at: 410 * ms, next: true, want: "a"},
		},
		"the newest one, and again if it has become older": {
			{own: 3}, {other: "a", version: 4}, {other: "b", version: 5}, {at: 100 * ms, next: true, want: "b"},
			{at: 150 * ms, other: "a", version: 6}, {at: 200 * ms, own: 5}, {at: 200 * ms, done: true}, {at: 200 * ms, next: true, want: "a"},
		},
		"an older one than the newest, if only that can be fetched": {
			{own: 3}, {other: "a", version: 5, old: true}, {other: "b", version: 4}, {at: 100 * ms, next: true, want: "b"},
		},
		"not from an entry of an earlier version": {
			{own: 3}, {other: "a", version: 4, old: true}, {at: 100 * ms, next: true},
		},
		"not from an entry that is gone": {
			{own: 3}, {other: "a", version: 4}, {remove: "a"}, {at: 100 * ms, next: true},
		},
		"not from an entry that has lost it": {
			{own: 3}, {other: "a", version: 4}, {at: 50 * ms, other: "a", version: 2}, {at: 100 * ms, next: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := catchup.New(options)
			for i, s := range steps {
				switch {
				case s.own > 0:
					c.SetOwn(at(s.at), s.own)
				case s.other != "":
					c.SetOther(at(s.at), s.other, s.version, !s.old)
				case s.remove != "":
					c.Remove(s.remove)
				case s.done:
					c.Done(at(s.at), !s.failed)
				case s.next:
					address, again := c.Next(at(s.at), s.delivering)
					var wantAt time.Time
					if s.wantAt > 0 {
						wantAt = at(s.wantAt)
					}
					if address != s.want || !again.Equal(wantAt) {
						t.Errorf("step %d: fetch from %q, again %v; want %q, %v", i, address, again, s.want, wantAt)
					}
				}
			}
		})
	}
}

// site is a model of entries that announce versions to each other and fetch them. A transfer
// takes an equal share of the links at both its ends.
type site struct {
	entries   []*modelEntry
	transfers []*transfer
	size      float64 // of a version, in bytes
	served    int     // most transfers from one entry at a time
}

type modelEntry struct {
	*catchup.Tracker
	name     string
	link     float64 // bytes per second
	version  uint64
	received float64
	inForce  map[uint64]time.Duration
}

type transfer struct {
	from, to *modelEntry
	version  uint64
	left     float64
}

const maxTransfers = 2

func newSite(seed uint64, links []float64, size float64) *site {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &site{size: size}
	for i, l := range links {
		o := catchup.Options{Delay: 100 * ms, MaxHold: time.Second, RetryDelay: 100 * ms, Random: random.Float64}
		s.entries = append(s.entries, &modelEntry{Tracker: catchup.New(o), name: fmt.Sprint(i), link: l, inForce: map[uint64]time.Duration{}})
	}
	return s
}

func (s *site) apply(now time.Duration, e *modelEntry, version uint64) {
	if version <= e.version {
		return
	}
	e.version = version
	e.inForce[version] = now
	e.SetOwn(at(now), version)
	for _, x := range s.entries {
		if x != e {
			x.SetOther(at(now), e.name, version, true)
		}
	}
}

// tick advances the model by a millisecond.
func (s *site) tick(now time.Duration) {
	for _, e := range s.entries {
		address, _ := e.Next(at(now), false)
		if address == "" {
			continue
		}
		from := s.entry(address)
		n := 0
		for _, x := range s.transfers {
			if x.from == from {
				n++
			}
		}
		if n >= maxTransfers {
			e.Done(at(now), false)
			continue
		}
		s.transfers = append(s.transfers, &transfer{from, e, from.version, s.size})
		s.served = max(s.served, n+1)
	}
	users := map[*modelEntry]float64{}
	for _, x := range s.transfers {
		users[x.from]++
		users[x.to]++
	}
	var left []*transfer
	for _, x := range s.transfers {
		n := min(x.from.link/users[x.from], x.to.link/users[x.to]) / 1000
		x.left -= n
		x.to.received += n
		if x.left > 0 {
			left = append(left, x)
			continue
		}
		s.apply(now, x.to, x.version)
		x.to.Done(at(now), true)
	}
	s.transfers = left
}

func (s *site) entry(name string) *modelEntry {
	for _, e := range s.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// One entry alone receives changes of a large configuration from the store. All others must
// have each of them within seconds, the one with the smallest link, too, and it must receive
// none in vain.
func TestLargeConfigurationSpreadsWithinSeconds(t *testing.T) {
	const (
		mbit    = 1e6 / 8
		size    = 700e3 // above that of a message with the queues of the store's largest value
		bound   = 3 * time.Second
		changes = 5
	)
	for _, c := range []struct {
		name  string
		links []float64 // the store's changes reach the first
	}{
		{"a site", []float64{200, 200, 200, 200, 200, 200, 62, 25, 25, 19}},
		{"only small ones", []float64{19, 19, 19, 19, 19, 19, 19, 19, 19, 19, 19, 19}},
		{"first a small one", []float64{19, 200, 200, 200, 200, 200, 62, 25, 25}},
	} {
		for seed := range uint64(20) {
			var links []float64
			for _, l := range c.links {
				links = append(links, l*mbit)
			}
			s := newSite(seed, links, size)
			for now := time.Duration(0); now < changes*bound; now += ms {
				if version := uint64(now/bound) + 1; now%bound == 0 {
					for _, e := range s.entries[:1] {
						s.apply(now, e, version)
					}
				}
				s.tick(now)
			}
			for _, e := range s.entries {
				for version := uint64(1); version <= changes; version++ {
					if took := e.inForce[version] - time.Duration(version-1)*bound; e.inForce[version] == 0 && version > 1 || took > bound {
						t.Errorf("%s, seed %d: entry %s has version %d after %v, want %v", c.name, seed, e.name, version, took, bound)
					}
				}
				if e.received > changes*size*1.01 {
					t.Errorf("%s, seed %d: entry %s received %.0f bytes for %d versions of %.0f", c.name, seed, e.name, e.received, changes, size)
				}
			}
			if s.served > maxTransfers {
				t.Errorf("%s, seed %d: an entry served %d transfers at a time", c.name, seed, s.served)
			}
		}
	}
}
