package member

import (
	"maps"
	"slices"
	"time"
)

// Starters returns the incarnations of the other entries that may still start
// tasks, whose part of each contract must be left alone. It errs on the side of
// naming one too many, where Members errs on the other.
//
// An entry is left out when it is proven to have ended, by its own last word or
// by another process at its address. One that crashed can't prove that, so
// without more its parts would be lost for as long as it is not replaced at the
// same address. So an entry is also left out when it was not heard for
// Options.GoneAfter, and either the store, reached for longer than a lease lasts,
// does not name it, or the store can't be reached for that long and this entry
// hears a majority of those that it knows. Such an entry is Fenced, by then, on its own side:
// it hears no majority and has no lease.
//
// What remains: the network has cut the entries apart, and one side alone reaches
// the store while the other holds the majority. Then both sides may use the parts
// of the other until the network heals.
func (s *Set) Starters(now time.Time) []string {
	if s.lostAt.IsZero() {
		s.lostAt = now
	}
	majority := s.majority(now)
	named := func(e *entry) bool {
		if !s.storeReach {
			return !majority || now.Sub(s.lostAt) < s.options.LeaseTTL
		}
		return e.stored || now.Sub(s.reachedAt) < s.options.LeaseTTL
	}
	for _, e := range s.entries {
		if s.unheard(now, e) >= s.options.GoneAfter && !named(e) {
			e.gone = true
		}
	}
	var starters []string
	for _, incarnation := range slices.Sorted(maps.Keys(s.entries)) {
		if !s.entries[incarnation].gone {
			starters = append(starters, incarnation)
		}
	}
	return starters
}

// Lease takes in that this entry's lease at the store was renewed. Sent is when
// the renewal was asked for; the lease may lapse one TTL after that.
func (s *Set) Lease(sent time.Time) { s.leaseUntil = sent.Add(s.options.LeaseTTL) }

// Fenced reports whether others may take this entry for gone: it must start
// nothing then.
func (s *Set) Fenced(now time.Time) bool {
	return !now.Before(s.leaseUntil) && !s.majority(now)
}

// majority reports whether this entry hears more than half of the entries that
// it knows, itself included.
func (s *Set) majority(now time.Time) bool {
	known, heard := 1, 1
	for _, e := range s.entries {
		if e.gone {
			continue
		}
		known++
		if s.unheard(now, e) < s.options.DeadAfter {
			heard++
		}
	}
	return 2*heard > known
}

// unheard is the time since an entry gave proof of life, or since it became known.
func (s *Set) unheard(now time.Time, e *entry) time.Duration {
	if e.heard.IsZero() {
		return now.Sub(e.first)
	}
	return now.Sub(e.heard)
}
