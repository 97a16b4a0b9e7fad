package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/contract"
	"github.com/papayahoist/papayahoist/platform/retry"
	"github.com/papayahoist/papayahoist/platform/store"
)

// EditorOptions configures an Editor. Zero fields select the defaults.
type EditorOptions struct {
	// Retry limits the attempts to make one change. An attempt fails on a conflict
	// with another operator or when the store's answer is lost. The default is 6
	// attempts, 100 ms to 2 s apart.
	Retry retry.Options
	// Random returns numbers in [0, 1). The default is that of math/rand/v2.
	Random func() float64
}

// Editor reads and changes contracts in the store on behalf of operators. It is
// safe for concurrent use.
type Editor struct {
	store  store.Client
	retry  *retry.Policy
	random func() float64
}

// NewEditor returns an editor that uses client.
func NewEditor(client store.Client, o EditorOptions) *Editor {
	if o.Retry == (retry.Options{}) {
		o.Retry = retry.Options{Attempts: 6, Base: 100 * time.Millisecond, Max: 2 * time.Second, Burst: 10}
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return &Editor{store: client, retry: retry.New(o.Retry), random: o.Random}
}

// Apply makes a change and returns the revision that it created. It is idempotent:
// a change that was applied before with the same id is not applied again. Errors
// are of type contract.ErrInvalid, contract.ErrConflict, contract.ErrMalformed,
// ErrUnavailable, ErrRefused or ErrOutcomeUnknown. Nothing was changed unless the error
// is ErrOutcomeUnknown.
func (e *Editor) Apply(ctx context.Context, change contract.Change) (uint64, error) {
	a := attempt{editor: e, change: change}
	for attempts := 1; ; attempts++ {
		revision, err := a.try(ctx)
		if err == nil || !a.retryable(err) {
			return revision, a.finalError(err)
		}
		wait, ok := e.retry.Next(time.Now(), attempts, e.random())
		if !ok || !sleep(ctx, wait) {
			return 0, a.finalError(err)
		}
	}
}

// attempt is the state of one Apply call.
type attempt struct {
	editor *Editor
	change contract.Change
	// pending is set while the outcome of a write is unknown.
	pending *PendingChange
}

// try reads the record, resolves a pending write, and writes the change. Writing
// the same change to the same revision again is safe, as the compare-and-swap
// succeeds for at most one of these writes.
func (a *attempt) try(ctx context.Context) (uint64, error) {
	stored, err := a.editor.record(ctx, a.change.Contract.GetName())
	if err != nil {
		return 0, err
	}
	if p := a.pending; p != nil {
		resolution, revision := contract.Resolve(stored, p.ChangeID, p.PrevRevision)
		switch {
		case resolution == contract.Applied:
			a.pending = nil
			return revision, nil
		case resolution == contract.NotApplied:
			a.pending = nil
		case revision != p.PrevRevision:
			return 0, newOutcomeUnknown(*p, nil)
		}
	}
	plan, err := contract.PlanChange(a.change, stored)
	if err != nil || plan.AppliedRevision > 0 {
		return plan.AppliedRevision, err
	}
	return a.write(ctx, plan)
}

func (a *attempt) write(ctx context.Context, plan contract.Plan) (uint64, error) {
	name := plan.Record.Contract.Name
	value, err := contract.Encode(plan.Record)
	if err != nil {
		return 0, err
	}
	revision, err := a.editor.store.CompareAndSwap(ctx, contract.Key(name), store.Revision(plan.PrevRevision), value, 0)
	if store.IsUnknown(err) {
		a.pending = &PendingChange{Contract: name, ChangeID: a.change.ID, PrevRevision: plan.PrevRevision}
	}
	return uint64(revision), err
}

// retryable reports whether another attempt may succeed.
func (a *attempt) retryable(err error) bool {
	return store.IsConflict(err) || store.IsUnknown(err) || store.IsUnavailable(err)
}

// finalError translates errors of the store. An unresolved write takes precedence
// over any later error.
func (a *attempt) finalError(err error) error {
	if err != nil && a.pending != nil && !errorx.IsOfType(err, ErrOutcomeUnknown) {
		return newOutcomeUnknown(*a.pending, err)
	}
	return translateError(err)
}

// translateError maps errors of the store to those of this package.
func translateError(err error) error {
	switch {
	case err == nil:
		return nil
	case store.IsUnavailable(err), store.IsConflict(err):
		return ErrUnavailable.Wrap(err, "nothing was changed")
	case store.IsInvalid(err):
		return ErrRefused.Wrap(err, "nothing was changed")
	}
	return err
}

// sleep waits and reports whether it did so without ctx being done.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// record reads the record of a contract, or nil if there is none. Errors are those
// of the store and of contract.Decode.
func (e *Editor) record(ctx context.Context, name string) (*pb.ContractRecord, error) {
	item, err := e.store.Get(ctx, contract.Key(name))
	if store.IsNotFound(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return contract.Decode(item.Key, item.Value, uint64(item.Revision))
}

// Get returns a contract. The error is of type contract.ErrNotFound if the contract
// does not exist or was deleted.
func (e *Editor) Get(ctx context.Context, name string) (*pb.Contract, error) {
	stored, err := e.record(ctx, name)
	if err != nil {
		return nil, translateError(err)
	}
	if stored == nil || stored.Contract.Deleted {
		return nil, contract.ErrNotFound.New("there is no contract %q", name)
	}
	return stored.Contract, nil
}

// List returns all contracts that are not deleted, sorted by name, and the store
// revision at which they were read. The second result has an error for each record
// that can't be decoded.
func (e *Editor) List(ctx context.Context) ([]*pb.Contract, []error, uint64, error) {
	items, at, err := e.store.List(ctx, contract.Prefix)
	if err != nil {
		return nil, nil, 0, translateError(err)
	}
	var contracts []*pb.Contract
	var invalid []error
	for _, item := range items {
		stored, err := contract.Decode(item.Key, item.Value, uint64(item.Revision))
		switch {
		case err != nil:
			invalid = append(invalid, err)
		case !stored.Contract.Deleted:
			contracts = append(contracts, stored.Contract)
		}
	}
	return contracts, invalid, uint64(at), nil
}

// Diff returns the fields in which wanted differs from the contract in the store. A
// contract that does not exist is treated as empty.
func (e *Editor) Diff(ctx context.Context, wanted *pb.Contract) ([]contract.FieldChange, error) {
	wanted = contract.WithDefaults(wanted)
	if err := contract.Validate(wanted); err != nil {
		return nil, err
	}
	stored, err := e.record(ctx, wanted.Name)
	if err != nil {
		return nil, translateError(err)
	}
	current := stored.GetContract()
	if current == nil {
		current = &pb.Contract{}
	}
	return contract.Diff(current, wanted), nil
}

// History returns the retained revisions of a contract, newest first.
func (e *Editor) History(ctx context.Context, name string) ([]*pb.Contract, error) {
	stored, err := e.record(ctx, name)
	if err != nil {
		return nil, translateError(err)
	}
	if stored == nil {
		return nil, contract.ErrNotFound.New("there is no contract %q", name)
	}
	return append([]*pb.Contract{stored.Contract}, stored.History...), nil
}

// Rollback restores the terms of an earlier revision by creating a new one. It is
// idempotent in id, as Apply.
func (e *Editor) Rollback(ctx context.Context, name string, revision uint64, id, by string, at time.Time) (uint64, error) {
	stored, err := e.record(ctx, name)
	if err != nil {
		return 0, translateError(err)
	}
	if applied := contract.FindChange(stored, id); applied > 0 {
		return applied, nil
	}
	if stored == nil {
		return 0, contract.ErrNotFound.New("there is no contract %q", name)
	}
	wanted, err := contract.Rollback(stored, revision)
	if err != nil {
		return 0, err
	}
	return e.Apply(ctx, contract.Change{Contract: wanted, ID: id, Author: by, At: at})
}

// Resolve determines the outcome of a pending change. The result
// contract.Unknown means that the change is not found applied so far and that it
// can't be ruled out; see contract.Resolve.
func (e *Editor) Resolve(ctx context.Context, p PendingChange) (contract.Resolution, uint64, error) {
	stored, err := e.record(ctx, p.Contract)
	if err != nil {
		return contract.Unknown, 0, translateError(err)
	}
	resolution, revision := contract.Resolve(stored, p.ChangeID, p.PrevRevision)
	return resolution, revision, nil
}
