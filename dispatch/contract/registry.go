package contract

import (
	"cmp"
	"maps"
	"slices"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// Snapshot is the contracts in force at one moment. It is immutable and may be
// used by any number of goroutines.
type Snapshot struct {
	byName  map[string]*pb.Contract
	covered uint64
}

// Get returns a contract in force, nil when there is none or it was deleted.
func (s *Snapshot) Get(name string) *pb.Contract {
	c := s.byName[name]
	if c.GetDeleted() {
		return nil
	}
	return c
}

// Held returns what is held for a name, tombstones too; nil for nothing.
func (s *Snapshot) Held(name string) *pb.Contract { return s.byName[name] }

// Len counts what is held, tombstones included.
func (s *Snapshot) Len() int { return len(s.byName) }

// Covered is the revision up to which no change of any contract is missing.
func (s *Snapshot) Covered() uint64 { return s.covered }

// All returns the contracts in force, by name.
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

// Since returns at most limit contracts, tombstones included, that changed after
// a revision, oldest change first. A receiver that was covered up to the revision
// and applies them is covered up to the second result, which is the lower one when
// the receiver is ahead.
func (s *Snapshot) Since(revision uint64, limit int) ([]*pb.Contract, uint64) {
	var changed []*pb.Contract
	for _, c := range s.byName {
		if c.Revision > revision {
			changed = append(changed, c)
		}
	}
	slices.SortFunc(changed, func(a, b *pb.Contract) int { return cmp.Compare(a.Revision, b.Revision) })
	if len(changed) <= limit {
		return changed, s.covered
	}
	changed = changed[:limit]
	return changed, min(changed[limit-1].Revision, s.covered)
}

// Registry holds the highest revision of each contract that was ever applied. It
// never goes back, whatever it is given: an old read of the store, a peer that
// was cut off, a message that was late. Callers serialize its methods; the
// snapshots may be handed on.
type Registry struct {
	snapshot *Snapshot
}

// NewRegistry returns a registry without contracts.
func NewRegistry() *Registry {
	return &Registry{snapshot: &Snapshot{byName: map[string]*pb.Contract{}}}
}

// Snapshot returns what is in force now.
func (r *Registry) Snapshot() *Snapshot { return r.snapshot }

// Apply takes in contracts with their revisions and returns those that were
// newer than what was held. The caller knows that they are all changes after
// revision since up to revision upTo; if it knows nothing both are zero.
//
// What was meant for another process, or for this one before it was restarted,
// may begin behind a gap; then the contracts are taken, and what is covered stays.
func (r *Registry) Apply(contracts []*pb.Contract, since, upTo uint64) []*pb.Contract {
	var newer []*pb.Contract
	next := r.snapshot.byName
	for _, c := range contracts {
		if c.Name == "" || c.Revision <= next[c.Name].GetRevision() {
			continue
		}
		if newer == nil {
			next = maps.Clone(next)
		}
		next[c.Name] = c
		newer = append(newer, c)
	}
	covered := r.snapshot.covered
	if since <= covered {
		covered = max(covered, upTo)
	}
	if newer != nil || covered > r.snapshot.covered {
		r.snapshot = &Snapshot{byName: next, covered: covered}
	}
	return newer
}
