package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

var start = time.Unix(1000, 0)

func peer(i int) *pb.Peer {
	return &pb.Peer{Entry: fmt.Sprintf("e%d", i), Incarnation: fmt.Sprintf("i%d", i), Address: fmt.Sprintf("10.0.0.%d", i)}
}

// run advances the time in steps of a second. Messages from some entries arrive in
// each step; all exchanges fail.
func run(s *Set, from time.Time, during time.Duration, responsive ...int) time.Time {
	for end := from.Add(during); from.Before(end); from = from.Add(time.Second) {
		for _, a := range s.Tick(from) {
			s.ExchangeFailed(from, a.Incarnation)
		}
		for _, i := range responsive {
			s.ReceiveState(from, "", &pb.PeerState{Self: peer(i)})
		}
	}
	return from
}

// Entry 2 of three becomes unresponsive. If others use its shares of the contracts
// while it is alive, a customer gets more than the contract allows; if they never
// do, the customer's usable share shrinks with every crash.
func TestStartersAndFence(t *testing.T) {
	tests := []struct {
		name       string
		store      bool // reachable
		lapsed     bool // the store no longer lists entry 2
		lease      bool // this entry's own lease is renewed
		responsive []int
		after      time.Duration
		starters   []string
		fenced     bool
	}{
		{"unresponsive for a short time", true, true, true, []int{1}, 10 * time.Second, []string{"i1", "i2"}, false},
		{"crashed, lease in force", true, false, true, []int{1}, time.Hour, []string{"i1", "i2"}, false},
		{"crashed, lease lapsed", true, true, true, []int{1}, 40 * time.Second, []string{"i1"}, false},
		{"lapsed, but responsive", true, true, true, []int{1, 2}, time.Hour, []string{"i1", "i2"}, false},
		{"crashed as the store becomes unreachable", false, false, false, []int{1}, 20 * time.Second, []string{"i1", "i2"}, false},
		{"crashed in a long outage", false, false, false, []int{1}, time.Minute, []string{"i1"}, false},
		{"alone in an outage", false, false, false, nil, time.Hour, []string{"i1", "i2"}, true},
		{"alone, with a lease", true, false, true, nil, time.Hour, []string{"i1", "i2"}, false},
	}
	for _, tt := range tests {
		s := New(peer(0), nil, func() float64 { return 0.5 }, Options{})
		s.SetStoreReachable(start, true)
		s.ApplyList(start, []*pb.Peer{peer(0), peer(1), peer(2)})
		s.LeaseRenewed(start)
		now := run(s, start, time.Minute, 1, 2)
		s.LeaseRenewed(now)
		s.SetStoreReachable(now, tt.store)
		if tt.lapsed {
			s.Withdrawn(now, "i2")
		}
		now = run(s, now, tt.after, tt.responsive...)
		if tt.lease {
			s.LeaseRenewed(now)
		}
		if got := s.PossibleStarters(now); !slices.Equal(got, tt.starters) || s.Fenced(now) != tt.fenced {
			t.Errorf("%s: starters %v, fenced %v; want %v, %v", tt.name, got, s.Fenced(now), tt.starters, tt.fenced)
		}
	}
}

// One entry ends gracefully, and another is replaced by a new process at its
// address. Both prove that the entry has ended, without waiting for a lease.
func TestProofOfEnd(t *testing.T) {
	s := New(peer(0), nil, func() float64 { return 0.5 }, Options{})
	now := run(s, start, 10*time.Second, 1, 2, 3)
	last := peer(1)
	last.Ended = true
	s.ReceiveState(now, "", &pb.PeerState{Self: last})
	s.ReceiveState(now, "i2", &pb.PeerState{Self: peer(4), Peers: []*pb.Peer{peer(1), peer(2)}})
	if got := s.PossibleStarters(now); !slices.Equal(got, []string{"i3", "i4"}) {
		t.Errorf("starters %v", got)
	}
}

// An entry flaps every 20 seconds. Each time it becomes a member, contract shares and
// links move, so it must be reachable for longer each time before it is one again.
func TestFlappingIsDamped(t *testing.T) {
	s := New(peer(0), nil, func() float64 { return 0.5 }, Options{})
	now := run(s, start, 5*time.Second, 1, 2)
	var waits []time.Duration
	for range 5 {
		now = run(s, now, 20*time.Second, 1)
		if len(s.Members()) != 1 {
			t.Fatalf("an unresponsive entry is a member: %v", s.Members())
		}
		back := now
		for len(s.Members()) < 2 {
			now = run(s, now, time.Second, 1, 2)
		}
		waits = append(waits, now.Sub(back).Round(time.Second))
	}
	if want := []time.Duration{3 * time.Second, 5 * time.Second, 9 * time.Second, 17 * time.Second, 31 * time.Second}; !slices.Equal(waits, want) {
		t.Errorf("waits %v, want %v", waits, want)
	}
}
