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

// Exchanger carries one exchange to the entry at an address. An error means that
// no answer was received.
type Exchanger interface {
	Exchange(ctx context.Context, address string, state *pb.PeerState) (*pb.PeerState, error)
}

// Options of a Membership. The zero value of a field stands for its default
// unless said otherwise.
type Options struct {
	// Self is this process. It is required.
	Self *pb.Peer
	// Store is the platform's; nil when there is none.
	Store store.Client
	// Config receives the contracts. It is required.
	Config *config.Holder
	// Join are nodes' addresses of entries, or of the balancer before them, that
	// are asked while the store can't be reached.
	Join []string
	// Exchanger is required.
	Exchanger Exchanger
	// LeaseTTL is that of the announcement. It is renewed after half of it: more
	// often would cost store calls at rest, and a lapsed lease drops no entry that
	// is heard. Default 30 s.
	LeaseTTL time.Duration
	Member   member.Options
	Follow   follow.Options
	// ExchangeTimeout bounds one exchange. Default 1 s.
	ExchangeTimeout time.Duration
	// Extend adds to the state that is sent to an entry, by its incarnation, empty
	// when that is not known; Received is given the state of others. Both may be
	// nil, and must not block.
	Extend   func(to string, state *pb.PeerState)
	Received func(*pb.PeerState)
	// Announced is told until when the announcement holds, counted from before the
	// call that renewed it; true asks for a call of Listed with all entries that
	// the store names, read in a call that began at readAt. Listed is also called
	// when the store names one no more. Both may be nil.
	Announced func(until time.Time) (list bool)
	Listed    func(readAt time.Time, incarnations []string)
	// OnPeers is given the members after each change, this entry first; it must
	// not block, nor call the membership but for Peers. Nil: nobody is told.
	OnPeers func([]*pb.Peer)
	// OnStarters is given the incarnations of the other entries that may start
	// tasks, and whether this one must not, since others may have taken its parts
	// of the contracts. It is called again at least once in each interval of
	// exchanges, must not block, nor call the membership but for Peers. Nil:
	// nobody is told.
	OnStarters func(others []string, fenced bool)
	Logger     *slog.Logger
	// Events takes losses and returns of the store, for the time line; nil: none.
	Events *event.Ring
	// Random gives numbers in [0, 1), concurrently. Default: math/rand/v2.
	Random func() float64
}

// Membership is safe for concurrent use.
type Membership struct {
	opts Options
	log  *slog.Logger
	self atomic.Pointer[pb.Peer]

	peers atomic.Pointer[[]*pb.Peer]
	// followed is how far the store's changes are known; only the reader uses it.
	followed store.Revision

	wake  chan struct{}
	leave chan struct{}
	hurry chan struct{} // asks for an exchange with every member
	again chan struct{} // asks for the store's list of entries

	mu  sync.Mutex // serializes the set, and guards what follows
	set *member.Set
	// reached is whether the store answers, for log lines of its changes.
	reached bool
	// settled is set once this entry knows of all that may have started before it.
	settled bool
	// storeError tells why the store doesn't answer; nil while it does.
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
		opts: o, log: o.Logger, wake: make(chan struct{}, 1), leave: make(chan struct{}), hurry: make(chan struct{}, 1), again: make(chan struct{}, 1),
		set:     member.New(o.Self, o.Join, o.Random, o.Member),
		settled: o.Store == nil && len(o.Join) == 0,
	}
	m.self.Store(o.Self)
	m.peers.Store(&[]*pb.Peer{})
	return m
}

// Peers returns the other entries that live, and this one. It takes no lock.
func (m *Membership) Peers() []*pb.Peer { return *m.peers.Load() }

// Find returns the entry process with the incarnation if it may be reached, nil
// otherwise.
func (m *Membership) Find(incarnation string) *pb.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set.Find(incarnation)
}

// Settled reports whether this entry has found those that were there before it.
// Until then it is fenced: it could take for free what another holds.
func (m *Membership) Settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.settled
}

// Run keeps the membership until the context ends. It returns when all that it
// started has ended.
func (m *Membership) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	if m.opts.Store != nil {
		wg.Go(func() { _ = follow.Run(ctx, m.opts.Store, Prefix, (*reader)(m), m.opts.Follow) })
		wg.Go(func() { m.announce(ctx) })
	}
	m.exchange(ctx, &wg)
}

// Leave tells the other entries and the store that this one takes no new work.
func (m *Membership) Leave() {
	left := proto.CloneOf(m.self.Load())
	if left.Leaving {
		return
	}
	left.Leaving = true
	m.self.Store(left)
	close(m.leave)
	m.tellAll()
}

// End tells the other entries that this one starts nothing any more, so that
// they may take its parts of the contracts at once. It waits for them.
func (m *Membership) End() {
	ended := proto.CloneOf(m.self.Load())
	ended.Leaving, ended.Ended = true, true
	m.self.Store(ended)
	m.tellAll().Wait()
}

// tellAll exchanges with every member now.
func (m *Membership) tellAll() *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, p := range m.Peers() {
		if p.Incarnation != m.opts.Self.Incarnation {
			wg.Go(func() { m.ask(context.Background(), member.Ask{Address: p.Address, Incarnation: p.Incarnation}) })
		}
	}
	return &wg
}

// update runs one input of the set and publishes what came of it.
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

// StoreError tells why the store can't be used, empty if it can.
func (m *Membership) StoreError() string {
	if why := m.storeError.Load(); why != nil {
		return *why
	}
	return ""
}

// storeReached notes whether the store answers.
func (m *Membership) storeReached(reached bool, err error) {
	m.update(func(now time.Time, s *member.Set) {
		if reached != m.reached {
			m.log.Info("store", "reached", reached, "err", err)
			m.recordStore(now, reached, err)
		}
		m.reached = reached
		m.storeError.Store(reason(err))
		s.Store(now, reached)
	})
}

// recordStore keeps that the store was lost or is back.
func (m *Membership) recordStore(now time.Time, reached bool, err error) {
	if reached {
		m.opts.Events.Record(now, event.Event{Kind: event.StoreBack})
		return
	}
	m.opts.Events.Record(now, event.Event{Kind: event.StoreLost, Detail: err.Error()})
}

func reason(err error) *string {
	if err == nil {
		return nil
	}
	text := err.Error()
	return &text
}
