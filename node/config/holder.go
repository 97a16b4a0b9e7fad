package config

import (
	"sync"
	"sync/atomic"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/contract"
)

// Holder holds the contracts in force in this process. It is safe for concurrent
// use; reading takes no lock.
type Holder struct {
	snapshot atomic.Pointer[contract.Snapshot]

	mu       sync.Mutex
	registry *contract.Registry
	onChange []func(updated []*pb.Contract, snapshot *contract.Snapshot)
}

// NewHolder returns a holder without contracts.
func NewHolder() *Holder {
	h := &Holder{registry: contract.NewRegistry()}
	h.snapshot.Store(h.registry.Snapshot())
	return h
}

// Snapshot returns the contracts currently in force.
func (h *Holder) Snapshot() *contract.Snapshot { return h.snapshot.Load() }

// Contract returns the contract in force with this name, or nil.
func (h *Holder) Contract(name string) *pb.Contract { return h.Snapshot().Get(name) }

// OnChange registers a function that is called, in order, with the contracts that
// have come into force, including tombstones. The function must not call any
// methods of the holder other than Snapshot and Contract.
func (h *Holder) OnChange(f func(updated []*pb.Contract, snapshot *contract.Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = append(h.onChange, f)
}

// Apply puts contracts into force that are newer than those held; see
// contract.Registry.
func (h *Holder) Apply(contracts []*pb.Contract, since, upTo uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	updated := h.registry.Apply(contracts, since, upTo)
	snapshot := h.registry.Snapshot()
	h.snapshot.Store(snapshot)
	if len(updated) == 0 {
		return
	}
	for _, f := range h.onChange {
		f(updated, snapshot)
	}
}
