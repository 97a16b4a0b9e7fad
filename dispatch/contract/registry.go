package contract

import (
	"cmp"
	"maps"
	"slices"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// Snapshot is the set of contracts in force at one moment. It is immutable and safe for
// concurrent use.
type Snapshot struct {
	byName       map[string]*pb.Contract
	completeUpTo uint64
}

// Get returns a contract in force, nil if there is none or it was deleted.
func (s *Snapshot) Get(name string) *pb.Contract {
	c := s.byName[name]
	if c.GetDeleted() {
		return nil
	}
	return c
}

// Latest returns the contract or tombstone that is held for a name, nil if there is none.
func (s *Snapshot) Latest(name string) *pb.Contract { return s.byName[name] }

// Len returns the number of contracts held, including tombstones.
func (s *Snapshot) Len() int { return len(s.byName) }

// CompleteUpTo returns the revision up to which no change of any contract is missing.
func (s *Snapshot) CompleteUpTo() uint64 { return s.completeUpTo }

// All returns the contracts in force, sorted by name.
func (s *Snapshot) All() []*pb.Contract {
	var all []*pb.Contract
	for _, c := range s.byName {
		if !c.Deleted {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b *pb.Contract) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Since returns at most limit contracts, including tombstones, that changed after a
// revision, oldest change first. A receiver that was complete up to that revision and
// applies them is complete up to the second result, which is lower than the given
// revision if the receiver is ahead.
func (s *Snapshot) Since(revision uint64, limit int) ([]*pb.Contract, uint64) {
	var changed []*pb.Contract
	for _, c := range s.byName {
		if c.Revision > revision {
			changed = append(changed, c)
		}
	}
	slices.SortFunc(changed, func(a, b *pb.Contract) int { return cmp.Compare(a.Revision, b.Revision) })
	if len(changed) <= limit {
		return changed, s.completeUpTo
	}
	changed = changed[:limit]
	return changed, min(changed[limit-1].Revision, s.completeUpTo)
}

// Registry holds the highest revision of each contract that was ever applied. It never
// returns to an older one, whatever it is given: an outdated read of the store, the
// state of a peer that was partitioned, or a delayed message. Callers must serialize
// calls of its methods; snapshots may be shared.
type Registry struct {
	snapshot *Snapshot
}

// NewRegistry returns a registry without contracts.
func NewRegistry() *Registry {
	return &Registry{snapshot: &Snapshot{byName: map[string]*pb.Contract{}}}
}

// Snapshot returns the contracts in force now.
func (r *Registry) Snapshot() *Snapshot { return r.snapshot }

// Apply applies contracts with their revisions and returns those that were newer than
// the ones held. The caller asserts that they are all changes after revision since up to
// revision upTo; it passes zero for both if it can't.
//
// A message intended for another process, or for this one before a restart, may leave a
// gap before since. Then the contracts are applied, and CompleteUpTo does not change.
func (r *Registry) Apply(contracts []*pb.Contract, since, upTo uint64) []*pb.Contract {
	var newer []*pb.Contract
	updated := r.snapshot.byName
	for _, c := range contracts {
		if c.Name == "" || c.Revision <= updated[c.Name].GetRevision() {
			continue
		}
		if newer == nil {
			updated = maps.Clone(updated)
		}
		updated[c.Name] = c
		newer = append(newer, c)
	}
	completeUpTo := r.snapshot.completeUpTo
	if since <= completeUpTo {
		completeUpTo = max(completeUpTo, upTo)
	}
	if newer != nil || completeUpTo > r.snapshot.completeUpTo {
		r.snapshot = &Snapshot{byName: updated, completeUpTo: completeUpTo}
	}
	return newer
}
