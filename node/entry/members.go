package entry

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/contract"
	"github.com/papayahoist/papayahoist/node/membership"
	"github.com/papayahoist/papayahoist/node/metrics"
)

// joinOthers makes the membership from its options, once the ports are bound.
func (e *Entry) joinOthers() {
	if e.opts.Membership == nil {
		return
	}
	o := *e.opts.Membership
	h := e.opts.Hello
	o.Self = &pb.Peer{
		Entry: h.Entry, Incarnation: h.Incarnation, Address: h.Address,
		FailureDomain: h.FailureDomain, OperatorAddress: h.OperatorAddress,
	}
	if o.Exchanger == nil {
		o.Exchanger = membership.NewConnect(e.opts.NodesTLS)
	}
	if o.Logger == nil {
		o.Logger = e.log
	}
	o.Exchanger = countedExchanger{Exchanger: o.Exchanger, entry: e}
	o.Hooks = hooks{e}
	e.members = membership.New(o)
	e.opts.Peers = e.members.Peers
	e.opts.Contract = o.Config.Contract
	e.opts.Contracts = func() []*pb.Contract { return o.Config.Snapshot().All() }
	e.opts.StoreError = e.members.StoreError
	o.Config.OnChange(e.contractsChanged)
}

// keepMembership runs the membership. The function it returns ends it, after a
// last word to the others unless the entry was killed: nothing can be started
// any more by then.
func (e *Entry) keepMembership() (end func()) {
	if e.members == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	context.AfterFunc(e.ctx, func() {
		if e.killed.Load() {
			cancel()
		}
	})
	var wg sync.WaitGroup
	wg.Go(func() { e.members.Run(ctx) })
	return func() {
		if !e.killed.Load() {
			e.members.End()
		}
		cancel()
		wg.Wait()
	}
}

// joined tells the balancer to wait: a fresh entry does not know the contracts yet,
// or holds no part of any, and its callers would wait for nothing.
func (e *Entry) joined() error {
	if e.members == nil {
		return nil
	}
	if !e.members.Settled() {
		return ErrJoining.New("the entry has not found the others and the contracts yet")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.core.HoldsParts() {
		return ErrJoining.New("the entry holds no part of any contract yet")
	}
	return nil
}

// contractsChanged counts how long changes took to come into force.
func (e *Entry) contractsChanged(newer []*pb.Contract, _ *contract.Snapshot) {
	now := time.Now()
	for _, c := range newer {
		if c.ChangedUnixMs > e.opts.Core.Started.UnixMilli() {
			e.opts.Metrics.ConfigDelay.Observe(now.Sub(time.UnixMilli(c.ChangedUnixMs)).Seconds())
		}
		if c.Deleted {
			e.opts.Metrics.RemoveContract(c.Name)
		}
	}
}

// hooks implements membership.Hooks by the entry's decisions.
type hooks struct{ e *Entry }

// Extend implements membership.Hooks.
func (h hooks) Extend(state *pb.PeerState) {
	h.e.decide(func(time.Time) { state.Shares = h.e.core.ShareState() })
}

// Agents implements membership.Hooks.
func (h hooks) Agents() []*pb.AgentHello {
	h.e.mu.Lock()
	defer h.e.mu.Unlock()
	return h.e.core.Agents()
}

// Received implements membership.Hooks.
func (h hooks) Received(state *pb.PeerState) {
	if len(state.Agents) > 0 {
		h.e.decide(func(now time.Time) { h.e.core.AgentsHeard(now, state.Agents) })
	}
	if state.Shares != nil {
		h.e.decide(func(now time.Time) { h.e.core.SharesSeen(now, state.Shares) })
	}
}

// Starters implements membership.Hooks.
func (h hooks) Starters(others []string, fenced bool) {
	var names []string
	for _, c := range h.e.opts.Contracts() {
		names = append(names, c.Name)
	}
	h.e.decide(func(now time.Time) {
		h.e.core.PeersSeen(now, others, names)
		h.e.core.Fence(now, fenced)
	})
}

// countedExchanger counts the messages between entries.
type countedExchanger struct {
	membership.Exchanger
	entry *Entry
}

// Exchange implements membership.Exchanger.
func (c countedExchanger) Exchange(ctx context.Context, address string, state *pb.PeerState) (*pb.PeerState, error) {
	answer, err := c.Exchanger.Exchange(ctx, address, state)
	c.entry.countExchange(answer, state)
	return answer, err
}

// countExchange counts a state received, nil for none, and one sent.
func (e *Entry) countExchange(received, sent *pb.PeerState) {
	if received != nil {
		e.opts.Metrics.Message(metrics.MessageExchange, metrics.Received, proto.Size(received))
	}
	e.opts.Metrics.Message(metrics.MessageExchange, metrics.Sent, proto.Size(sent))
}
