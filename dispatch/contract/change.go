package contract

import (
	"fmt"
	"strings"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"google.golang.org/protobuf/proto"
)

// Change is a change of a contract that an operator requests.
type Change struct {
	// Contract is the desired state. Its revision is the one on which the change is
	// based; zero creates the contract.
	Contract *pb.Contract
	// ID identifies the change, Author its author for human readers.
	ID, Author string
	At         time.Time
	// Rebase permits merging the change with others made since its base revision.
	Rebase bool
}

// Plan is the write that a change requires.
type Plan struct {
	// AppliedRevision is the revision that the change made if it is in the store already,
	// or zero if Record has yet to be written.
	AppliedRevision uint64
	// Record is to be written by compare-and-swap on PrevRevision.
	Record       *pb.ContractRecord
	PrevRevision uint64
}

// PlanChange plans the write that applies a change to the stored record, nil if there is
// none. It fails with ErrInvalid or ErrConflict.
func PlanChange(change Change, stored *pb.ContractRecord) (Plan, error) {
	if revision := FindChange(stored, change.ID); revision > 0 {
		return Plan{AppliedRevision: revision}, nil
	}
	wanted, err := validated(change)
	if err != nil {
		return Plan{}, err
	}
	current := stored.GetContract()
	if wanted, err = reconcile(change, wanted, stored); err != nil {
		return Plan{}, err
	}
	wanted.Revision = 0
	wanted.ChangeId, wanted.ChangedBy, wanted.ChangedUnixMs = change.ID, change.Author, change.At.UnixMilli()
	record := &pb.ContractRecord{Contract: wanted}
	if current != nil {
		record.History = append([]*pb.Contract{current}, stored.History...)
		record.History = record.History[:min(len(record.History), MaxHistory)]
	}
	return Plan{Record: record, PrevRevision: current.GetRevision()}, nil
}

// validated returns the change's contract with defaults filled in, or ErrInvalid.
func validated(change Change) (*pb.Contract, error) {
	wanted := WithDefaults(change.Contract)
	var v validator
	v.text("change_id", change.ID, MaxIDLength, idPattern, "of letters, digits, '.', '_' and '-'")
	if len(change.Author) == 0 || len(change.Author) > MaxAuthorLength {
		v.add("changed_by", fmt.Sprintf("%q", change.Author), fmt.Sprintf("1 to %d characters", MaxAuthorLength))
	}
	v.fields = append(v.fields, FieldErrors(Validate(wanted))...)
	return wanted, v.result()
}

// reconcile checks a change against the stored record and returns the contract to write.
// It fails with ErrConflict, or with ErrInvalid if the merged contract is not valid.
func reconcile(change Change, wanted *pb.Contract, stored *pb.ContractRecord) (*pb.Contract, error) {
	current := stored.GetContract()
	baseRevision := change.Contract.Revision
	switch {
	case baseRevision == current.GetRevision():
		return wanted, nil
	case baseRevision == 0 && current.GetDeleted():
		// Recreating a deleted contract makes a new revision of its tombstone.
		return wanted, nil
	case baseRevision == 0:
		return nil, ErrConflict.New("contract %q exists at revision %d", wanted.Name, current.Revision)
	case current == nil:
		return nil, ErrConflict.New("there is no contract %q", wanted.Name)
	}
	base := atRevision(stored, baseRevision)
	if base == nil {
		return nil, ErrConflict.New("contract %q is at revision %d; revision %d is no longer kept",
			wanted.Name, current.Revision, baseRevision)
	}
	if !change.Rebase {
		changes := Diff(base, current)
		return nil, ErrConflict.New("contract %q was changed by %s (revision %d after %d): %s", wanted.Name,
			current.ChangedBy, current.Revision, baseRevision, joinChanges(changes)).WithProperty(changesProperty, changes)
	}
	merged, conflicts := merge(base, wanted, current)
	if len(conflicts) > 0 {
		return nil, ErrConflict.New("conflicting changes: %s", joinChanges(conflicts)).WithProperty(changesProperty, conflicts)
	}
	return merged, Validate(merged)
}

func joinChanges(changes []FieldChange) string {
	texts := make([]string, len(changes))
	for i, c := range changes {
		texts[i] = c.String()
	}
	return strings.Join(texts, ", ")
}

// atRevision returns the contract at a revision, nil if the record does not keep it.
func atRevision(stored *pb.ContractRecord, revision uint64) *pb.Contract {
	for _, c := range append([]*pb.Contract{stored.GetContract()}, stored.GetHistory()...) {
		if c != nil && c.Revision == revision {
			return c
		}
	}
	return nil
}

// FindChange returns the revision that a change made, zero if the record does not contain the
// change.
func FindChange(stored *pb.ContractRecord, changeID string) uint64 {
	for _, c := range append([]*pb.Contract{stored.GetContract()}, stored.GetHistory()...) {
		if c != nil && changeID != "" && c.ChangeId == changeID {
			return c.Revision
		}
	}
	return 0
}

// Resolution is what a record proves about a write whose response was lost.
type Resolution int

const (
	// Unknown means that neither can be proven: the write may still take effect,
	// or its revision is no longer in the history.
	Unknown Resolution = iota
	// Applied means that the change was made.
	Applied
	// NotApplied means that the change was not made and can no longer be made.
	NotApplied
)

// String implements fmt.Stringer.
func (r Resolution) String() string {
	switch r {
	case Applied:
		return "applied"
	case NotApplied:
		return "not applied"
	}
	return "not known"
}

// Resolve determines from the stored record whether a write of the change that compared
// with revision prev took effect, and returns the change's revision if it is Applied,
// or else the current one. While the record is at prev, the write may still be in
// flight; once the record has another revision, the write can no longer succeed.
func Resolve(stored *pb.ContractRecord, changeID string, prev uint64) (Resolution, uint64) {
	if revision := FindChange(stored, changeID); revision > 0 {
		return Applied, revision
	}
	current := stored.GetContract().GetRevision()
	if current == prev {
		return Unknown, current
	}
	complete := len(stored.GetHistory()) < MaxHistory || atRevision(stored, prev) != nil
	if current > prev && complete {
		return NotApplied, current
	}
	return Unknown, current
}

// Rollback returns the contract that restores the terms of an earlier revision, based on
// the current one. It fails with ErrNotFound if the earlier revision is not kept.
func Rollback(stored *pb.ContractRecord, revision uint64) (*pb.Contract, error) {
	earlier := atRevision(stored, revision)
	if earlier == nil {
		return nil, ErrNotFound.New("contract %q: revision %d is not kept", stored.GetContract().GetName(), revision)
	}
	wanted := proto.CloneOf(earlier)
	wanted.Revision = stored.Contract.Revision
	return wanted, nil
}
