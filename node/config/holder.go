package config

import (
	"sync"
	"sync/atomic"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/contract"
)

// Holder has the contracts in force in this process. Reading takes no lock.
type Holder struct {
	snapshot atomic.Pointer[contract.Snapshot]

	mu       sync.Mutex
	registry *contract.Registry
	onChange []func(newer []*pb.Contract, in *contract.Snapshot)
}

// NewHolder returns a holder without contracts.
func NewHolder() *Holder {
	h := &Holder{registry: contract.NewRegistry()}
	h.snapshot.Store(h.registry.Snapshot())
	return h
}

// Snapshot returns what is in force now.
func (h *Holder) Snapshot() *contract.Snapshot { return h.snapshot.Load() }

// Contract returns a contract in force, nil for none.
func (h *Holder) Contract(name string) *pb.Contract { return h.Snapshot().Get(name) }

// OnChange adds a function that is called with the contracts, tombstones
// included, that have come into force, in order of their coming. It must not
// call the holder's methods but for Snapshot and Contract.
func (h *Holder) OnChange(f func(newer []*pb.Contract, in *contract.Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = append(h.onChange, f)
}

// Apply puts in force what is newer than what is held; see contract.Registry.
func (h *Holder) Apply(contracts []*pb.Contract, since, upTo uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	newer := h.registry.Apply(contracts, since, upTo)
	snapshot := h.registry.Snapshot()
	h.snapshot.Store(snapshot)
	if len(newer) == 0 {
		return
	}
	for _, f := range h.onChange {
		f(newer, snapshot)
	}
}
