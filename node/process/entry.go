package process

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/contract"
	coreentry "github.com/papayahoist/papayahoist/dispatch/entry"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/member"
	"github.com/papayahoist/papayahoist/dispatch/preset"
	"github.com/papayahoist/papayahoist/node/config"
	"github.com/papayahoist/papayahoist/node/entry"
	"github.com/papayahoist/papayahoist/node/membership"
	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/node/settings"
	"github.com/papayahoist/papayahoist/platform/store"
)

// EntryOptions configure an Entry.
type EntryOptions struct {
	Settings settings.Entry
	// Store is the client of the platform's store. If nil, NewEntry creates one for
	// Settings.StoreAddresses.
	Store store.Client
	// Core configures the state machine. The zero value is for production.
	Core coreentry.Options
	// LeaseTTL and Member set the time-outs of the membership. Zero values stand for
	// the defaults.
	LeaseTTL time.Duration
	Member   member.Options
	// EventCapacity is the number of events that the time line keeps. If zero, a default
	// applies.
	EventCapacity int
	// Registry is where metrics are registered. If nil, NewEntry creates one.
	Registry *prometheus.Registry
	Version  string
	Logger   *slog.Logger
}

// defaultEvents is the number of events that an entry keeps. An entry records the
// work of all its agents; the ring holds some seconds of it at 1,700 tasks per
// second.
const defaultEvents = 1 << 17

// Entry is a complete entry process.
type Entry struct {
	*entry.Entry
	self       *pb.Peer
	config     *config.Holder
	membership *membership.Membership
	killed     atomic.Bool
	tls        entryTLS
	log        *slog.Logger
}

// NewEntry assembles an entry and binds its ports. Errors are of type ErrStart; for
// TLS files that can't be loaded, they wrap the settings' error.
func NewEntry(o EntryOptions) (*Entry, error) {
	if err := o.Settings.Validate(); err != nil {
		return nil, ErrStart.Wrap(err, "invalid settings")
	}
	b := newEntryBuilder(o)
	e := &Entry{config: config.NewHolder()}
	if err := b.buildDriver(e); err != nil {
		return nil, err
	}
	hello := b.hello
	e.self = &pb.Peer{
		Entry: hello.Entry, Incarnation: hello.Incarnation, Address: hello.Address,
		FailureDomain: hello.FailureDomain, OperatorAddress: hello.OperatorAddress,
	}
	e.tls, e.log = b.tls, b.log
	b.buildMembership(e)
	return e, nil
}

// Peer returns this process as other entries list it.
func (e *Entry) Peer() *pb.Peer { return e.self }

// Config returns the holder of the contracts in force at this entry.
func (e *Entry) Config() *config.Holder { return e.config }

// Run serves until the context is cancelled, then drains. Membership and contracts
// stay up to date until the drain has ended, since jobs in flight need them.
func (e *Entry) Run(ctx context.Context) error {
	bgCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { e.membership.Run(bgCtx) })
	wg.Go(func() { e.tls.watch(bgCtx, e.log) })
	stop := context.AfterFunc(ctx, e.membership.Leave)
	err := e.Entry.Run(ctx)
	stop()
	if !e.killed.Load() {
		// This entry can't start tasks any more, so the others may take over its
		// shares of the contracts at once.
		e.membership.End()
	}
	cancel()
	wg.Wait()
	if err != nil {
		return ErrServe.Wrap(err, "entry")
	}
	return nil
}

// Kill ends the process at once, without a drain, as a crash would. It is meant for
// tests and load tools.
func (e *Entry) Kill() {
	e.killed.Store(true)
	e.Entry.Kill()
}

// startersChanged passes the entries that may start tasks, and the names of the
// contracts in force, to the driver.
func (e *Entry) startersChanged(others []string, fenced bool) {
	var contracts []string
	for _, c := range e.config.Snapshot().All() {
		contracts = append(contracts, c.Name)
	}
	e.SetPossibleStarters(others, fenced, contracts)
}

// ready returns why the entry can't serve callers yet, or nil. Without contracts
// the entry would refuse every job for an unknown contract; without a share of one,
// callers would wait in vain.
func (e *Entry) ready() error {
	switch {
	case e.config.Snapshot().CompleteUpTo() == 0:
		return errNotReady.New("no contracts received yet")
	case !e.membership.Discovered():
		return errNotReady.New("other entries not discovered yet")
	case !e.HoldsShares():
		return errNotReady.New("no share of any contract held yet")
	}
	return nil
}

// entryBuilder holds the dependencies that the components of an entry share.
type entryBuilder struct {
	opts    EntryOptions
	log     *slog.Logger
	started time.Time
	ring    *event.Ring
	metrics *metrics.Entry
	hello   *pb.EntryHello
	tls     entryTLS
}

func newEntryBuilder(o EntryOptions) *entryBuilder {
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	s := o.Settings
	b := &entryBuilder{opts: o, started: time.Now()}
	o.EventCapacity = cmp.Or(o.EventCapacity, defaultEvents)
	b.ring = event.NewRing(event.Options{Process: s.Name, Size: o.EventCapacity})
	b.metrics = metrics.NewEntry(o.Registry, metrics.Options{Role: string(s.Role), Version: o.Version, Ring: b.ring})
	b.log = newLogger(o.Logger, s.Name, b.metrics.Process)
	b.hello = &pb.EntryHello{
		Entry: s.Name, Incarnation: entry.NewIncarnation(), Address: s.NodesAddress, FailureDomain: s.FailureDomain,
	}
	return b
}

// buildDriver creates e's driver. The driver calls the functions in its options only
// while e runs, by which time e.membership is set.
func (b *entryBuilder) buildDriver(e *Entry) error {
	var err error
	if b.tls, err = loadEntryTLS(b.opts.Settings.TLS); err != nil {
		return err
	}
	s, core := b.opts.Settings, b.opts.Core
	limits := newClientLimits(s.ProcessMemoryMB, s.Descriptors, b.log)
	b.opts.Registry.MustRegister(limits)
	core.Events = b.ring
	if p, ok := preset.ByName(s.Preset); ok {
		core.ApplyPreset(p)
	}
	e.Entry, err = entry.New(entry.Options{
		Hello: b.hello, CallersListen: s.CallersListen, NodesListen: s.NodesListen, OperatorsListen: s.OperatorsListen,
		Contract:       e.config.Contract,
		Contracts:      func() []*pb.Contract { return e.config.Snapshot().All() },
		Peers:          func() []*pb.Peer { return e.membership.Peers() },
		FindPeer:       func(incarnation string) *pb.Peer { return e.membership.Find(incarnation) },
		HandleExchange: func(state *pb.PeerState) *pb.PeerState { return e.membership.Serve(state) },
		ExchangeNow:    func() { e.membership.ExchangeNow() },
		StoreError:     func() string { return e.membership.StoreError() },

		ConfigRevision: func() uint64 { return e.config.Snapshot().CompleteUpTo() },
		Ready:          e.ready,
		CallersTLS:     b.tls.callers.Config(), NodesTLS: b.tls.nodes.Config(), OperatorsTLS: b.tls.operators.Config(),
		Limiter: limits.Limiter, MaxCallers: limits.conns(callersFraction), MaxNodes: limits.conns(nodesFraction),
		MaxOperators: limits.conns(operatorsFraction),
		DrainTimeout: s.DrainTimeout, Core: core, Version: b.opts.Version,
		Metrics: b.metrics, Gatherer: b.opts.Registry, Logger: b.log,
	})
	if err != nil {
		return ErrStart.Wrap(err, "entry %s", s.Name)
	}
	return nil
}

func (b *entryBuilder) buildMembership(e *Entry) {
	client := b.opts.Store
	if client == nil {
		client = newStoreClient(b.opts.Settings.StoreAddresses, &http.Transport{}, b.metrics)
	}
	e.membership = membership.New(membership.Options{
		Self: e.self, Store: client, Config: e.config, Join: b.opts.Settings.Join,
		Events:      b.ring,
		Exchanger:   countingExchanger{membership.NewConnect(b.tls.nodes.Config()), b.metrics},
		ExtendState: e.ExtendState, OnState: e.StateReceived,
		OnPeers: e.SetPeers, OnStarters: e.startersChanged, OnAnnounced: e.AnnouncementRenewed, OnListed: e.ApplyList,
		LeaseTTL: b.opts.LeaseTTL, Member: b.opts.Member, Logger: b.log,
	})
	// Fence the entry until the shares of the other entries are known.
	e.SetPossibleStarters(nil, true, nil)
	e.config.OnChange(func(newer []*pb.Contract, _ *contract.Snapshot) {
		for _, c := range newer {
			b.recordContract(c)
		}
	})
}

// recordContract records in the time line and the metrics that a contract has come
// into force or has been deleted.
func (b *entryBuilder) recordContract(c *pb.Contract) {
	if c.Deleted {
		b.metrics.RemoveContract(c.Name)
		return
	}
	now := time.Now()
	b.ring.Record(now, event.Event{
		Kind: event.ConfigInForce, Contract: c.Name, Value: c.Revision, Detail: "by " + c.ChangedBy,
	})
	b.metrics.AddContract(c.Name)
	// A change written before this process started was not delayed by it.
	if changed := time.UnixMilli(c.ChangedUnixMs); changed.After(b.started) {
		b.metrics.ConfigDelay.Observe(now.Sub(changed).Seconds())
	}
}
