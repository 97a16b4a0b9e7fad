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
	// Store is the platform's; nil: a client of Settings.StoreAddresses.
	Store store.Client
	// Core sets the decisions' times and policies; the zero value is for
	// production.
	Core coreentry.Options
	// LeaseTTL and Member set the times of the membership; zero: the defaults.
	LeaseTTL time.Duration
	Member   member.Options
	// Events is how many events the time line keeps; zero: the default.
	Events int
	// Registry gets the metrics; nil: one of its own.
	Registry *prometheus.Registry
	Version  string
	Logger   *slog.Logger
}

// defaultEvents is how many events an entry keeps: it sees the work of all of
// its agents, some seconds of it at 1,700 tasks a second.
const defaultEvents = 1 << 17

// Entry is a whole entry process.
type Entry struct {
	*entry.Entry
	self       *pb.Peer
	config     *config.Holder
	membership *membership.Membership
	killed     atomic.Bool
	tls        entryTLS
	log        *slog.Logger
}

// NewEntry puts an entry together and binds its ports. Errors are of type
// ErrStart, or the settings' for TLS files.
func NewEntry(o EntryOptions) (*Entry, error) {
	if err := o.Settings.Validate(); err != nil {
		return nil, ErrStart.Wrap(err, "settings")
	}
	b := newEntryBuilder(o)
	e := &Entry{config: config.NewHolder()}
	if err := b.driver(e); err != nil {
		return nil, err
	}
	hello := b.hello
	e.self = &pb.Peer{
		Entry: hello.Entry, Incarnation: hello.Incarnation, Address: hello.Address,
		FailureDomain: hello.FailureDomain, OperatorAddress: hello.OperatorAddress,
	}
	e.tls, e.log = b.tls, b.log
	b.membership(e)
	return e, nil
}

// Peer is this process as others know it.
func (e *Entry) Peer() *pb.Peer { return e.self }

// Config has the contracts in force here.
func (e *Entry) Config() *config.Holder { return e.config }

// Run serves until the context ends, then drains. Membership and contracts are
// kept until the drain has ended: jobs in flight need them.
func (e *Entry) Run(ctx context.Context) error {
	kept, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { e.membership.Run(kept) })
	wg.Go(func() { e.tls.watch(kept, e.log) })
	stop := context.AfterFunc(ctx, e.membership.Leave)
	err := e.Entry.Run(ctx)
	stop()
	if !e.killed.Load() {
		// Nothing can be started here any more: the others may have its parts of
		// the contracts at once.
		e.membership.End()
	}
	cancel()
	wg.Wait()
	if err != nil {
		return ErrServe.Wrap(err, "entry")
	}
	return nil
}

// Kill ends the process at once, as a crash would: for tests and load tools.
func (e *Entry) Kill() {
	e.killed.Store(true)
	e.Entry.Kill()
}

// startersChanged tells the driver who may start tasks, of which contracts.
func (e *Entry) startersChanged(others []string, fenced bool) {
	var contracts []string
	for _, c := range e.config.Snapshot().All() {
		contracts = append(contracts, c.Name)
	}
	e.SetStarters(others, fenced, contracts)
}

// ready holds callers back until the contracts are known, and until the entry has
// a part of one: without contracts it would refuse every job as of an unknown
// contract, without a part every caller would wait for nothing.
func (e *Entry) ready() error {
	switch {
	case e.config.Snapshot().Covered() == 0:
		return errNotReady.New("no contracts received yet")
	case !e.membership.Settled():
		return errNotReady.New("the other entries are not found yet")
	case !e.HoldsParts():
		return errNotReady.New("no part of any contract held yet")
	}
	return nil
}

// entryBuilder holds what the parts of an entry share.
type entryBuilder struct {
	o       EntryOptions
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
	b := &entryBuilder{o: o, started: time.Now()}
	o.Events = cmp.Or(o.Events, defaultEvents)
	b.ring = event.NewRing(event.Options{Process: s.Name, Size: o.Events})
	b.metrics = metrics.NewEntry(o.Registry, metrics.Options{Role: string(s.Role), Version: o.Version, Ring: b.ring})
	b.log = newLogger(o.Logger, s.Name, b.metrics.Process)
	b.hello = &pb.EntryHello{
		Entry: s.Name, Incarnation: entry.NewIncarnation(), Address: s.NodesAddress, FailureDomain: s.FailureDomain,
	}
	return b
}

// driver makes e's driver. Its functions are called once e runs, when the
// membership is there.
func (b *entryBuilder) driver(e *Entry) error {
	var err error
	if b.tls, err = loadEntryTLS(b.o.Settings.TLS); err != nil {
		return err
	}
	s, core := b.o.Settings, b.o.Core
	core.Events = b.ring
	if p, ok := preset.ByName(s.Preset); ok {
		core.UsePreset(p)
	}
	e.Entry, err = entry.New(entry.Options{
		Hello: b.hello, CallersListen: s.CallersListen, NodesListen: s.NodesListen, OperatorsListen: s.OperatorsListen,
		Contract:    e.config.Contract,
		Contracts:   func() []*pb.Contract { return e.config.Snapshot().All() },
		Peers:       func() []*pb.Peer { return e.membership.Peers() },
		FindPeer:    func(incarnation string) *pb.Peer { return e.membership.Find(incarnation) },
		Exchange:    func(state *pb.PeerState) *pb.PeerState { return e.membership.Serve(state) },
		ExchangeNow: func() { e.membership.ExchangeNow() },
		StoreError:  func() string { return e.membership.StoreError() },

		ConfigRevision: func() uint64 { return e.config.Snapshot().Covered() },
		Ready:          e.ready,
		CallersTLS:     b.tls.callers.Config(), NodesTLS: b.tls.nodes.Config(), OperatorsTLS: b.tls.operators.Config(),
		DrainTimeout: s.DrainTimeout, Core: core, Version: b.o.Version,
		Metrics: b.metrics, Gatherer: b.o.Registry, Logger: b.log,
	})
	if err != nil {
		return ErrStart.Wrap(err, "entry %s", s.Name)
	}
	return nil
}

func (b *entryBuilder) membership(e *Entry) {
	client := b.o.Store
	if client == nil {
		client = newStore(b.o.Settings.StoreAddresses, &http.Transport{}, b.metrics)
	}
	e.membership = membership.New(membership.Options{
		Self: e.self, Store: client, Config: e.config, Join: b.o.Settings.Join,
		Events:    b.ring,
		Exchanger: countedExchanger{membership.NewConnect(b.tls.nodes.Config()), b.metrics},
		Extend:    e.ExtendState, Received: e.StateReceived,
		OnPeers: e.SetPeers, OnStarters: e.startersChanged, Announced: e.Announced, Listed: e.Listed,
		LeaseTTL: b.o.LeaseTTL, Member: b.o.Member, Logger: b.log,
	})
	// What others hold is not known yet.
	e.SetStarters(nil, true, nil)
	e.config.OnChange(func(newer []*pb.Contract, _ *contract.Snapshot) {
		for _, c := range newer {
			b.observe(c)
		}
	})
}

// observe counts a contract that has come into force.
func (b *entryBuilder) observe(c *pb.Contract) {
	if c.Deleted {
		b.metrics.RemoveContract(c.Name)
		return
	}
	now := time.Now()
	b.ring.Record(now, event.Event{
		Kind: event.ConfigInForce, Contract: c.Name, Value: c.Revision, Detail: "by " + c.ChangedBy,
	})
	b.metrics.AddContract(c.Name)
	// What was written before this process started was not late for it.
	if changed := time.UnixMilli(c.ChangedUnixMs); changed.After(b.started) {
		b.metrics.ConfigDelay.Observe(now.Sub(changed).Seconds())
	}
}
