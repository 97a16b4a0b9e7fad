package process

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/contract"
	coreentry "github.com/papayahoist/papayahoist/dispatch/entry"
	"github.com/papayahoist/papayahoist/dispatch/event"
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
	// Events is how many events the time line keeps; zero: the default.
	Events int
	// Registry gets the metrics; nil: one of its own.
	Registry *prometheus.Registry
	Version  string
	Logger   *slog.Logger
}

// Entry is a whole entry process.
type Entry struct {
	*entry.Entry
	self       *pb.Peer
	config     *config.Holder
	membership *membership.Membership
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
	stop := context.AfterFunc(ctx, e.membership.Leave)
	err := e.Entry.Run(ctx)
	stop()
	cancel()
	wg.Wait()
	if err != nil {
		return ErrServe.Wrap(err, "entry")
	}
	return nil
}

// peersChanged tells the driver who may start tasks, of which contracts.
func (e *Entry) peersChanged(peers []*pb.Peer) {
	var contracts []string
	for _, c := range e.config.Snapshot().All() {
		contracts = append(contracts, c.Name)
	}
	e.SetPeers(peers, contracts)
}

// ready holds callers back until the contracts are known: an entry without them
// would refuse every job as of an unknown contract.
func (e *Entry) ready() error {
	if e.config.Snapshot().Covered() == 0 {
		return errNoContracts.New("no contracts received yet")
	}
	return nil
}

// entryBuilder holds what the parts of an entry share.
type entryBuilder struct {
	o       EntryOptions
	log     *slog.Logger
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
	b := &entryBuilder{o: o, log: o.Logger.With("process", s.Name)}
	b.ring = event.NewRing(event.Options{Process: s.Name, Size: o.Events})
	b.metrics = metrics.NewEntry(o.Registry, metrics.Options{Role: string(s.Role), Version: o.Version, Ring: b.ring})
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
	e.Entry, err = entry.New(entry.Options{
		Hello: b.hello, CallersListen: s.CallersListen, NodesListen: s.NodesListen, OperatorsListen: s.OperatorsListen,
		Contract:   e.config.Contract,
		Contracts:  func() []*pb.Contract { return e.config.Snapshot().All() },
		Peers:      func() []*pb.Peer { return e.membership.Peers() },
		FindPeer:   func(incarnation string) *pb.Peer { return e.membership.Find(incarnation) },
		Exchange:   func(state *pb.PeerState) *pb.PeerState { return e.membership.Serve(state) },
		StoreError: func() string { return e.membership.StoreError() },
		Ready:      e.ready,
		CallersTLS: b.tls.callers, NodesTLS: b.tls.nodes, OperatorsTLS: b.tls.operators,
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
		Exchanger: membership.NewConnect(b.tls.nodes),
		Extend:    e.ExtendState, Received: e.StateReceived, OnPeers: e.peersChanged,
		Logger: b.log,
	})
	e.config.OnChange(func(newer []*pb.Contract, _ *contract.Snapshot) {
		for _, c := range newer {
			b.observe(c)
		}
		e.peersChanged(e.membership.Peers())
	})
}

// observe counts a contract that has come into force.
func (b *entryBuilder) observe(c *pb.Contract) {
	if c.Deleted {
		b.metrics.RemoveContract(c.Name)
		return
	}
	b.metrics.AddContract(c.Name)
	b.metrics.ConfigDelay.Observe(time.Since(time.UnixMilli(c.ChangedUnixMs)).Seconds())
}
