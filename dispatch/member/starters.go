package member

import (
	"maps"
	"slices"
	"time"
)

// PossibleStarters returns the incarnations of the other entries that may still start
// tasks, and whose share of each contract must not be used by others. It may return
// entries that have ended, whereas Members may omit entries that are alive.
//
// An entry is omitted once it is proven to have ended, by its own last message or by
// another process at its address. A crashed entry gives no such proof, and its
// shares would be unusable until it is replaced at the same address. An entry is
// therefore also omitted if nothing was received from it for Options.AssumeStoppedAfter,
// and either the store has been reachable for longer than a lease lasts and does not
// list the entry, or the store has been unreachable for that long and this entry
// receives messages from a majority of the entries that it knows. If the omitted
// entry still runs, it is Fenced by then on its own side: it is in contact with no
// majority and has no lease.
//
// One case remains: in a network partition one side reaches the store while the
// other holds the majority. Then each side may use the shares of the other until the
// partition heals.
func (s *Set) PossibleStarters(now time.Time) []string {
	if s.storeUnreachableSince.IsZero() {
		s.storeUnreachableSince = now
	}
	majority := s.hasMajority(now)
	mayStart := func(e *entry) bool {
		if !s.storeReachable {
			return !majority || now.Sub(s.storeUnreachableSince) < s.options.LeaseTTL
		}
		return e.inStore || now.Sub(s.storeReachableSince) < s.options.LeaseTTL
	}
	for _, e := range s.entries {
		if s.sinceReceived(now, e) >= s.options.AssumeStoppedAfter && !mayStart(e) {
			e.assumedStopped = true
		}
	}
	var starters []string
	for _, incarnation := range slices.Sorted(maps.Keys(s.entries)) {
		if !s.entries[incarnation].assumedStopped {
			starters = append(starters, incarnation)
		}
	}
	return starters
}

// LeaseRenewed records a renewal of this entry's lease in the store. Sent is the time at
// which the renewal was requested; the lease may lapse one TTL after it.
func (s *Set) LeaseRenewed(sent time.Time) { s.leaseUntil = sent.Add(s.options.LeaseTTL) }

// Fenced reports whether other entries may assume that this entry has stopped. If
// so, it must not start tasks.
func (s *Set) Fenced(now time.Time) bool {
	return !now.Before(s.leaseUntil) && !s.hasMajority(now)
}

// hasMajority reports whether this entry is in contact with more than half of the
// entries that it knows, including itself.
func (s *Set) hasMajority(now time.Time) bool {
	known, reachable := 1, 1
	for _, e := range s.entries {
		if e.assumedStopped {
			continue
		}
		known++
		if s.sinceReceived(now, e) < s.options.DeadAfter {
			reachable++
		}
	}
	return 2*reachable > known
}

// sinceReceived returns the time since the last message from an entry, or since it
// was first listed if there was none.
func (s *Set) sinceReceived(now time.Time, e *entry) time.Duration {
	if e.lastReceived.IsZero() {
		return now.Sub(e.firstListed)
	}
	return now.Sub(e.lastReceived)
}
