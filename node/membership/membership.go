package membership

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/member"
	"github.com/papayahoist/papayahoist/node/config"
	"github.com/papayahoist/papayahoist/platform/store"
	"github.com/papayahoist/papayahoist/platform/store/follow"
	"google.golang.org/protobuf/proto"
)

// Exchanger sends state to the entry at an address and returns its answer. An error
// means that no answer was received.
type Exchanger interface {
	Exchange(ctx context.Context, address string, state *pb.PeerState) (*pb.PeerState, error)
}

// Options configure a Membership. The zero value of a field stands for its default
// unless stated otherwise.
type Options struct {
	// Self describes this process. It is required.
	Self *pb.Peer
	// Store is the client of the platform's store; nil if there is none.
	Store store.Client
	// Config receives the contracts. It is required.
	Config *config.Holder
	// Join lists nodes' addresses of entries, or of the balancer in front of them, to
	// exchange state with while the store is unreachable.
	Join []string
	// Exchanger is required.
	Exchanger Exchanger
	// LeaseTTL is the duration of the announcement's lease, which is renewed after half
	// of it. Shorter intervals would cost an idle fleet more store calls; and an entry
	// that still answers is not dropped when its lease lapses. Default 30 s.
	LeaseTTL time.Duration
	Member   member.Options
	Follow   follow.Options
	// ExchangeTimeout bounds one exchange. Default 1 s.
	ExchangeTimeout time.Duration
	// ExtendState adds to the state to be sent to the entry with incarnation to, empty
	// if that is not known. OnState is called with the state of other entries. Both may
	// be nil, and must not block.
	ExtendState func(to string, state *pb.PeerState)
	OnState     func(*pb.PeerState)
	// OnAnnounced is called after each renewal of the announcement with the time of
	// clock.Now until which it is valid, counted from before the call that renewed it.
	// If it returns true, OnListed is called with all entries in the store, read by a call that began
	// at readAt. OnListed is also called after an entry was removed from the store. Both
	// may be nil.
	OnAnnounced func(until time.Time) (list bool)
	OnListed    func(readAt time.Time, incarnations []string)
	// OnPeers is called with the members after each change, this entry first. It must
	// not block, and must not call methods of the Membership other than Peers. It may
	// be nil.
	OnPeers func([]*pb.Peer)
	// OnStarters is called with the incarnations of the other entries that may start
	// tasks. Fenced means that this entry must not start any, since others may have
	// taken over its shares of the contracts. It is called at least once per exchange
	// interval. It must not block, and must not call methods of the Membership other
	// than Peers. It may be nil.
	OnStarters func(others []string, fenced bool)
	Logger     *slog.Logger
	// Events records for the time line when the store is lost and when it is back. If
	// nil, nothing is recorded.
	Events *event.Ring
	// Random returns numbers in [0, 1). It must be safe for concurrent use. The default
	// is that of math/rand/v2.
	Random func() float64
}

// Membership keeps one entry's view of the other entries. It is safe for concurrent use.
type Membership struct {
	opts Options
	log  *slog.Logger
	self atomic.Pointer[pb.Peer]

	peers atomic.Pointer[[]*pb.Peer]
	// followedRevision is the revision up to which the store's changes are applied. Only
	// the storeReader uses it.
	followedRevision store.Revision

	wake              chan struct{}
	leave             chan struct{}
	exchangeRequested chan struct{} // requests an exchange with every member
	listRequested     chan struct{} // requests a read of the store's list of entries

	mu  sync.Mutex // guards set, storeReachable and discovered
	set *member.Set
	// storeReachable is whether the store answers. Changes are logged.
	storeReachable bool
	// discovered is set once this entry knows all entries that may have started before
	// it.
	discovered bool
	// storeError is why the store doesn't answer; nil while it does.
	storeError atomic.Pointer[string]
}

// New returns a membership that knows no other entry.
func New(o Options) *Membership {
	o.LeaseTTL = cmp.Or(o.LeaseTTL, member.DefaultLeaseTTL)
	o.Member.LeaseTTL = o.LeaseTTL
	o.ExchangeTimeout = cmp.Or(o.ExchangeTimeout, time.Second)
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	m := &Membership{
		opts: o, log: o.Logger, wake: make(chan struct{}, 1), leave: make(chan struct{}), exchangeRequested: make(chan struct{}, 1), listRequested: make(chan struct{}, 1),
		set:        member.New(o.Self, o.Join, o.Random, o.Member),
		discovered: o.Store == nil && len(o.Join) == 0,
	}
	m.self.Store(o.Self)
	m.peers.Store(&[]*pb.Peer{})
	return m
}

// Peers returns this entry and the other live entries, this one first. It takes no lock.
func (m *Membership) Peers() []*pb.Peer { return *m.peers.Load() }

// Find returns the entry process with the incarnation if it may be reachable, nil
// otherwise.
func (m *Membership) Find(incarnation string) *pb.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set.Find(incarnation)
}

// Discovered reports whether this entry knows the entries that started before it. Until
// then it is fenced: it could regard shares of contracts as free that another entry
// holds.
func (m *Membership) Discovered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.discovered
}

// Run keeps the membership up to date until the context is cancelled. It returns after
// all goroutines that it started have ended.
func (m *Membership) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	if m.opts.Store != nil {
		wg.Go(func() { _ = follow.Run(ctx, m.opts.Store, Prefix, (*storeReader)(m), m.opts.Follow) })
		wg.Go(func() { m.announce(ctx) })
	}
	m.runExchanges(ctx, &wg)
}

// Leave notifies the other entries that this one accepts no new work, and withdraws its
// announcement from the store.
func (m *Membership) Leave() {
	self := proto.CloneOf(m.self.Load())
	if self.Leaving {
		return
	}
	self.Leaving = true
	m.self.Store(self)
	close(m.leave)
	m.notifyAll()
}

// End notifies the other entries that this one starts no more tasks, so that they may
// take over its shares of the contracts at once. It waits until they have answered or
// the exchanges have failed.
func (m *Membership) End() {
	self := proto.CloneOf(m.self.Load())
	self.Leaving, self.Ended = true, true
	m.self.Store(self)
	m.notifyAll().Wait()
}

// notifyAll begins an exchange with every member, independent of the context of Run.
func (m *Membership) notifyAll() *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, p := range m.Peers() {
		if p.Incarnation != m.opts.Self.Incarnation {
			wg.Go(func() {
				m.exchange(context.Background(), member.ExchangeRequest{Address: p.Address, Incarnation: p.Incarnation})
			})
		}
	}
	return &wg
}

// update applies one input to the set, publishes the result and wakes runExchanges.
func (m *Membership) update(input func(now time.Time, s *member.Set)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	input(time.Now(), m.set)
	m.publish()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Membership) publish() {
	members := m.set.Members()
	peers := make([]*pb.Peer, 0, len(members)+1)
	peers = append(append(peers, m.self.Load()), members...)
	before := m.Peers()
	m.peers.Store(&peers)
	if len(before) > 0 && len(before) != len(peers) {
		m.log.Info("entries", "count", len(peers))
	}
	if m.opts.OnPeers != nil && !slices.Equal(before, peers) {
		m.opts.OnPeers(peers)
	}
}

// StoreError returns why the store can't be used, or an empty string if it can.
func (m *Membership) StoreError() string {
	if why := m.storeError.Load(); why != nil {
		return *why
	}
	return ""
}

// setStoreReachable records whether the store answers.
func (m *Membership) setStoreReachable(reachable bool, err error) {
	m.update(func(now time.Time, s *member.Set) {
		if reachable != m.storeReachable {
			m.log.Info("store", "reached", reachable, "err", err)
			m.recordStoreEvent(now, reachable, err)
		}
		m.storeReachable = reachable
		m.storeError.Store(errorText(err))
		s.SetStoreReachable(now, reachable)
	})
}

// recordStoreEvent records in the time line that the store was lost or is back.
func (m *Membership) recordStoreEvent(now time.Time, reachable bool, err error) {
	if reachable {
		m.opts.Events.Record(now, event.Event{Kind: event.StoreBack})
		return
	}
	m.opts.Events.Record(now, event.Event{Kind: event.StoreLost, Detail: err.Error()})
}

func errorText(err error) *string {
	if err == nil {
		return nil
	}
	text := err.Error()
	return &text
}
