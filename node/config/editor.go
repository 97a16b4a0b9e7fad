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

// EditorOptions configure an Editor. The zero value of a field stands for its
// default.
type EditorOptions struct {
	// Retry bounds the attempts at one change: those lost to other operators,
	// and those whose answer was lost. Default 6 attempts, 100 ms to 2 s apart.
	Retry retry.Options
	// Random gives numbers in [0, 1). Default: math/rand/v2.
	Random func() float64
}

// Editor reads and changes contracts in the store on behalf of operators. It is
// safe for concurrent use.
type Editor struct {
	store  store.Client
	retry  *retry.Policy
	random func() float64
}

// NewEditor returns an editor.
func NewEditor(client store.Client, o EditorOptions) *Editor {
	if o.Retry == (retry.Options{}) {
		o.Retry = retry.Options{Attempts: 6, Base: 100 * time.Millisecond, Max: 2 * time.Second, Burst: 10}
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return &Editor{store: client, retry: retry.New(o.Retry), random: o.Random}
}

// Apply makes a change and returns the revision that it made. A change that was
// made before under the same id is not made again. It fails with
// contract.ErrInvalid, contract.ErrConflict, contract.ErrMalformed,
// ErrUnavailable, ErrRefused or ErrNotKnown; but for the last nothing was changed.
func (e *Editor) Apply(ctx context.Context, change contract.Change) (uint64, error) {
	a := attempt{editor: e, change: change}
	for made := 1; ; made++ {
		revision, err := a.try(ctx)
		if err == nil || !a.again(err) {
			return revision, a.final(err)
		}
		wait, ok := e.retry.Next(time.Now(), made, e.random())
		if !ok || !sleep(ctx, wait) {
			return 0, a.final(err)
		}
	}
}

// attempt is one change on its way into the store.
type attempt struct {
	editor *Editor
	change contract.Change
	// pending is set while a write has been sent whose outcome is not known.
	pending *Pending
}

// try reads the record, settles a write that is pending, and writes. To write
// the same change on the same revision once more is safe: of all such writes the
// compare-and-swap lets one through at most.
func (a *attempt) try(ctx context.Context) (uint64, error) {
	held, err := a.editor.record(ctx, a.change.Contract.GetName())
	if err != nil {
		return 0, err
	}
	if p := a.pending; p != nil {
		resolution, revision := contract.Resolve(held, p.ChangeID, p.Prev)
		switch {
		case resolution == contract.Applied:
			a.pending = nil
			return revision, nil
		case resolution == contract.NotApplied:
			a.pending = nil
		case revision != p.Prev:
			return 0, notKnown(*p, nil)
		}
	}
	plan, err := contract.Make(a.change, held)
	if err != nil || plan.Applied > 0 {
		return plan.Applied, err
	}
	return a.write(ctx, plan)
}

func (a *attempt) write(ctx context.Context, plan contract.Plan) (uint64, error) {
	name := plan.Record.Contract.Name
	value, err := contract.Encode(plan.Record)
	if err != nil {
		return 0, err
	}
	revision, err := a.editor.store.CompareAndSwap(ctx, contract.Key(name), store.Revision(plan.Prev), value, 0)
	if store.IsUnknown(err) {
		a.pending = &Pending{Contract: name, ChangeID: a.change.ID, Prev: plan.Prev}
	}
	return uint64(revision), err
}

// again reports whether another try may help.
func (a *attempt) again(err error) bool {
	return store.IsConflict(err) || store.IsUnknown(err) || store.IsUnavailable(err)
}

// final turns the store's errors. A write that was never settled outweighs
// whatever failed after it.
func (a *attempt) final(err error) error {
	if err != nil && a.pending != nil && !errorx.IsOfType(err, ErrNotKnown) {
		return notKnown(*a.pending, err)
	}
	return turned(err)
}

func turned(err error) error {
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

// record reads a contract's record, nil for none. Its errors are the store's.
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

// Get returns a contract; contract.ErrNotFound when there is none or it was
// deleted.
func (e *Editor) Get(ctx context.Context, name string) (*pb.Contract, error) {
	held, err := e.record(ctx, name)
	if err != nil {
		return nil, turned(err)
	}
	if held == nil || held.Contract.Deleted {
		return nil, contract.ErrNotFound.New("there is no contract %q", name)
	}
	return held.Contract, nil
}

// List returns all contracts by name, without the deleted, and the store's
// revision at which they were read. Records that can't be read are in the second
// list, as errors.
func (e *Editor) List(ctx context.Context) ([]*pb.Contract, []error, uint64, error) {
	items, at, err := e.store.List(ctx, contract.Prefix)
	if err != nil {
		return nil, nil, 0, turned(err)
	}
	var contracts []*pb.Contract
	var broken []error
	for _, item := range items {
		held, err := contract.Decode(item.Key, item.Value, uint64(item.Revision))
		switch {
		case err != nil:
			broken = append(broken, err)
		case !held.Contract.Deleted:
			contracts = append(contracts, held.Contract)
		}
	}
	return contracts, broken, uint64(at), nil
}

// Diff lists the terms in which the wanted contract differs from the one in the
// store, where a contract that does not exist has none.
func (e *Editor) Diff(ctx context.Context, wanted *pb.Contract) ([]contract.FieldChange, error) {
	wanted = contract.WithDefaults(wanted)
	if err := contract.Validate(wanted); err != nil {
		return nil, err
	}
	held, err := e.record(ctx, wanted.Name)
	if err != nil {
		return nil, turned(err)
	}
	current := held.GetContract()
	if current == nil {
		current = &pb.Contract{}
	}
	return contract.Diff(current, wanted), nil
}

// History returns a contract's revisions that are kept, newest first.
func (e *Editor) History(ctx context.Context, name string) ([]*pb.Contract, error) {
	held, err := e.record(ctx, name)
	if err != nil {
		return nil, turned(err)
	}
	if held == nil {
		return nil, contract.ErrNotFound.New("there is no contract %q", name)
	}
	return append([]*pb.Contract{held.Contract}, held.History...), nil
}

// Rollback brings back the terms of an earlier revision as a new one.
func (e *Editor) Rollback(ctx context.Context, name string, revision uint64, id, by string, at time.Time) (uint64, error) {
	held, err := e.record(ctx, name)
	if err != nil {
		return 0, turned(err)
	}
	if made := contract.Find(held, id); made > 0 {
		return made, nil
	}
	if held == nil {
		return 0, contract.ErrNotFound.New("there is no contract %q", name)
	}
	wanted, err := contract.Rollback(held, revision)
	if err != nil {
		return 0, err
	}
	return e.Apply(ctx, contract.Change{Contract: wanted, ID: id, By: by, At: at})
}

// Resolve asks what became of a change whose outcome was not known. NotKnown
// says that it has not been applied so far.
func (e *Editor) Resolve(ctx context.Context, p Pending) (contract.Resolution, uint64, error) {
	held, err := e.record(ctx, p.Contract)
	if err != nil {
		return contract.NotKnown, 0, turned(err)
	}
	resolution, revision := contract.Resolve(held, p.ChangeID, p.Prev)
	return resolution, revision, nil
}
