package contract

import (
	"fmt"
	"strings"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"google.golang.org/protobuf/proto"
)

// Change is what an operator asks for.
type Change struct {
	// Contract is the wanted state. Its revision is the one that the operator
	// started from; zero creates the contract.
	Contract *pb.Contract
	// ID identifies the change, By its author, for people.
	ID, By string
	At     time.Time
	// Rebase asks to put the change on top of others made in the meantime.
	Rebase bool
}

// Plan is what has to be done for a change.
type Plan struct {
	// Applied is the revision at which the change is in the store already; zero
	// when Record has yet to be written.
	Applied uint64
	// Record is to be written by compare-and-swap on revision Prev.
	Record *pb.ContractRecord
	Prev   uint64
}

// Make decides how a change is put on top of the record that the store holds,
// nil for none. It fails with ErrInvalid or ErrConflict.
func Make(change Change, held *pb.ContractRecord) (Plan, error) {
	if revision := Find(held, change.ID); revision > 0 {
		return Plan{Applied: revision}, nil
	}
	wanted, err := checked(change)
	if err != nil {
		return Plan{}, err
	}
	current := held.GetContract()
	if wanted, err = onTop(change, wanted, held); err != nil {
		return Plan{}, err
	}
	wanted.Revision = 0
	wanted.ChangeId, wanted.ChangedBy, wanted.ChangedUnixMs = change.ID, change.By, change.At.UnixMilli()
	record := &pb.ContractRecord{Contract: wanted}
	if current != nil {
		record.History = append([]*pb.Contract{current}, held.History...)
		record.History = record.History[:min(len(record.History), MaxHistory)]
	}
	return Plan{Record: record, Prev: current.GetRevision()}, nil
}

func checked(change Change) (*pb.Contract, error) {
	wanted := WithDefaults(change.Contract)
	var v validator
	v.text("change_id", change.ID, MaxIDLength, idPattern, "of letters, digits, '.', '_' and '-'")
	if len(change.By) == 0 || len(change.By) > MaxAuthorLength {
		v.add("changed_by", fmt.Sprintf("%q", change.By), fmt.Sprintf("1 to %d characters", MaxAuthorLength))
	}
	v.fields = append(v.fields, FieldErrors(Validate(wanted))...)
	return wanted, v.result()
}

// onTop returns the contract to write, or ErrConflict.
func onTop(change Change, wanted *pb.Contract, held *pb.ContractRecord) (*pb.Contract, error) {
	current := held.GetContract()
	started := change.Contract.Revision
	switch {
	case started == current.GetRevision():
		return wanted, nil
	case started == 0 && current.GetDeleted():
		// Creating what was deleted is a new revision of the tombstone.
		return wanted, nil
	case started == 0:
		return nil, ErrConflict.New("contract %q exists at revision %d", wanted.Name, current.Revision)
	case current == nil:
		return nil, ErrConflict.New("there is no contract %q", wanted.Name)
	}
	base := at(held, started)
	if base == nil {
		return nil, ErrConflict.New("contract %q is at revision %d; revision %d is not kept any more",
			wanted.Name, current.Revision, started)
	}
	if !change.Rebase {
		changes := Diff(base, current)
		return nil, ErrConflict.New("contract %q was changed by %s (revision %d after %d): %s", wanted.Name,
			current.ChangedBy, current.Revision, started, list(changes)).WithProperty(changesProperty, changes)
	}
	merged, clashes := merge(base, wanted, current)
	if len(clashes) > 0 {
		return nil, ErrConflict.New("both changed: %s", list(clashes)).WithProperty(changesProperty, clashes)
	}
	return merged, Validate(merged)
}

func list(changes []FieldChange) string {
	texts := make([]string, len(changes))
	for i, c := range changes {
		texts[i] = c.String()
	}
	return strings.Join(texts, ", ")
}

// at returns the contract at a revision, nil when it is not kept.
func at(held *pb.ContractRecord, revision uint64) *pb.Contract {
	for _, c := range append([]*pb.Contract{held.GetContract()}, held.GetHistory()...) {
		if c != nil && c.Revision == revision {
			return c
		}
	}
	return nil
}

// Find returns the revision that a change made, zero when the record knows of
// none.
func Find(held *pb.ContractRecord, changeID string) uint64 {
	for _, c := range append([]*pb.Contract{held.GetContract()}, held.GetHistory()...) {
		if c != nil && changeID != "" && c.ChangeId == changeID {
			return c.Revision
		}
	}
	return 0
}

// Resolution is what a record proves about a write whose answer was lost.
type Resolution int

// Resolutions.
const (
	// NotKnown means that neither can be proven: the write may still take effect,
	// or its trace has dropped out of the history.
	NotKnown Resolution = iota
	// Applied means that the change was made.
	Applied
	// NotApplied means that the change was not made and can't be any more.
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

// Resolve decides, from the record read back, about a write of the change that
// compared with revision prev. While the record is still at prev the write may
// be on its way; once another change is there it can't succeed any more.
func Resolve(held *pb.ContractRecord, changeID string, prev uint64) (Resolution, uint64) {
	if revision := Find(held, changeID); revision > 0 {
		return Applied, revision
	}
	current := held.GetContract().GetRevision()
	if current == prev {
		return NotKnown, current
	}
	complete := len(held.GetHistory()) < MaxHistory || at(held, prev) != nil
	if current > prev && complete {
		return NotApplied, current
	}
	return NotKnown, current
}

// Rollback returns a change that brings back the terms of an earlier revision,
// on top of the present one.
func Rollback(held *pb.ContractRecord, revision uint64) (*pb.Contract, error) {
	earlier := at(held, revision)
	if earlier == nil {
		return nil, ErrNotFound.New("contract %q: revision %d is not kept", held.GetContract().GetName(), revision)
	}
	wanted := proto.CloneOf(earlier)
	wanted.Revision = held.Contract.Revision
	return wanted, nil
}
