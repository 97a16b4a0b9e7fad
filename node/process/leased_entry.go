package process

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/bounds"
	coredispatcher "github.com/papayahoist/papayahoist/dispatch/dispatcher"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/without"
	"github.com/papayahoist/papayahoist/node/decisionlog"
	"github.com/papayahoist/papayahoist/node/dispatcher"
	"github.com/papayahoist/papayahoist/node/entry"
	"github.com/papayahoist/papayahoist/node/roster"
	"github.com/papayahoist/papayahoist/node/settings"
	"github.com/papayahoist/papayahoist/platform/adapter"
	"github.com/papayahoist/papayahoist/platform/store/follow"
)

// LeasedEntryOptions configure a LeasedEntry.
type LeasedEntryOptions struct {
	Settings settings.LeasedEntry
	// Out takes the log.
	Out     io.Writer
	Version string
}

const (
	// headerBytes and headerTimeout bound callers before a configuration says
	// otherwise; idleTimeout closes connections that are not used.
	headerBytes   = 16 << 10
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// leaveAfter is how long a leaving entry still takes new connections: the
	// balancer asks once a second and takes it out after two misses.
	leaveAfter = 3200 * time.Millisecond
	// endBefore is what is left of the grace for closing.
	endBefore = 300 * time.Millisecond
	// memoryPart is the part of the memory limit at which garbage is collected
	// harder; what the process has not read yet counts as well.
	memoryPart = 0.7
	// entryGCPercent is how much an entry's heap grows between two collections, against
	// what is in use: 10 to 30 MB, so there is room, and a small entry needs its
	// processor in a burst more than its memory.
	entryGCPercent = 200
	// followMin and followMax bound the wait after a failed call to the store. The
	// configuration must be in force within seconds of a change.
	followMin = 100 * time.Millisecond
	followMax = 800 * time.Millisecond
	// reportsPerCore is how many reports of agents' load a whole core takes in for
	// about a twentieth of its time, at 15 us each.
	reportsPerCore = 3000
)

// leasedLink are the times of links between entries and agents. A lost link stops
// runs after a while, so it has to be noticed well before.
func leasedLink(t bounds.Times) link.Options {
	return link.Options{
		AckDelay:         t.Silence / 8,
		AckTimeout:       t.Silence * 3 / 4,
		Heartbeat:        time.Second,
		HeartbeatTimeout: 2500 * time.Millisecond,
	}
}

// LeasedEntry is a whole entry process for workers with leases.
type LeasedEntry struct {
	o       LeasedEntryOptions
	log     *decisionlog.Log
	logger  *slog.Logger
	d       *dispatcher.Dispatcher
	roster  *roster.Roster
	store   *adapter.Store
	callers net.Listener
	ready   net.Listener
	leaving atomic.Bool
	linked  atomic.Bool // an agent has been linked once
	metrics *leasedMetrics
}

// NewLeasedEntry puts an entry together and binds its ports. Errors are of type
// ErrStart.
func NewLeasedEntry(o LeasedEntryOptions) (*LeasedEntry, error) {
	s := o.Settings
	times, err := timesOf(s.Bounds)
	if err != nil {
		return nil, err
	}
	limitMemory(s.MemoryMB)
	debug.SetGCPercent(entryGCPercent)
	e := &LeasedEntry{o: o, log: decisionlog.New(o.Out, slog.String("process", s.Name)), metrics: newLeasedMetrics()}
	e.logger = slog.New(e.log.Handler())
	incarnation := entry.NewIncarnation()
	off, err := without.Parse(s.Without)
	if err != nil {
		return nil, ErrStart.Wrap(err, "settings")
	}
	e.d, err = dispatcher.New(dispatcher.Options{
		NodesListen: s.NodesListen, Address: s.Address(), Seeds: s.Seeds, Logger: e.logger,
		OnFrame: e.metrics.toAgent, OnExchange: e.metrics.exchanges.Inc,
		Core: coredispatcher.Options{
			Entry: s.Name, Incarnation: incarnation, FailureDomain: s.FailureDomain, Times: times, Link: leasedLink(times),
			RemoteFactor: s.Bounds.RemoteFactor, ReportsPerSecond: reportsPerCore * s.ProcessorShare,
			Random: rand.Float64, Without: off, Decided: logDispatcher(e.log, e.metrics),
		},
	})
	if err != nil {
		return nil, ErrStart.Wrap(err, "entry %s", s.Name)
	}
	if e.callers, err = net.Listen("tcp", s.CallersListen); err != nil {
		return nil, ErrStart.Wrap(err, "callers' port")
	}
	if e.ready, err = net.Listen("tcp", s.ReadyListen); err != nil {
		return nil, ErrStart.Wrap(err, "port for readiness")
	}
	e.store = adapter.NewStore(s.StoreAddress, adapter.StoreOptions{
		OnCall: e.metrics.storeCall, WatchWait: func() time.Duration { return watchWait(len(e.d.Entries()), rand.Float64()) },
	})
	e.roster = roster.New(roster.Options{
		Store: e.store, Name: s.Name, Address: s.Address(), Logger: e.logger,
		ListEvery: func() time.Duration { return listEvery(len(e.d.Entries())) },
		Alone:     func() bool { return len(e.d.Entries()) < 2 },
	})
	e.logger.Info("process_started", "version", o.Version, "incarnation", incarnation, "silence_ms", times.Silence.Milliseconds(),
		"lease_ms", times.Lease.Milliseconds(), "give_up_ms", times.GiveUp.Milliseconds())
	return e, nil
}

func timesOf(b settings.Bounds) (bounds.Times, error) {
	times, err := bounds.Derive(bounds.Given{Resend: b.Resend, MaxLease: b.MaxLease, Stop: b.Stop})
	if err != nil {
		return times, ErrStart.Wrap(err, "settings")
	}
	return times, nil
}

func limitMemory(mb uint32) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(mb) * (1 << 20)))
	}
}

// readiness holds new connections back from an entry that could only refuse.
func (e *LeasedEntry) readiness() error {
	switch {
	case e.leaving.Load():
		return errNotReady.New("shutting down")
	case !e.d.Configured():
		return errNotReady.New("no configuration yet")
	case !e.linked.Load() && e.d.Links() == 0:
		return errNotReady.New("no agent linked yet")
	}
	e.linked.Store(true)
	return nil
}

// Run serves until the context ends, then drains: the balancer is told, requests
// in hand and those that still come are answered, and agents are told at the end.
func (e *LeasedEntry) Run(ctx context.Context) error {
	kept, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { e.log.Run(kept) })
	go e.roster.Run(kept, e.d.Learn)
	go func() {
		_ = follow.Run(kept, e.store, adapter.OperatorPrefix, &operatorReader{e: e}, follow.Options{MinWait: followMin, MaxWait: followMax})
	}()
	jobs := &http.Server{
		Handler: adapter.NewJobsHandler(e.d), MaxHeaderBytes: headerBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(e.log.Handler(), slog.LevelWarn),
	}
	e.metrics.gauge("papayahoist_links", "Agents with a link.", func() float64 { return float64(e.d.Links()) })
	e.metrics.gauge("papayahoist_open_jobs", "Jobs without an answer.", func() float64 { return float64(e.d.Open()) })
	e.metrics.gauge("papayahoist_configuration_version", "Version in force.", func() float64 { return float64(e.d.Configuration().GetVersion()) })
	e.metrics.gauge("papayahoist_evacuated_domains", "Failure domains known to be evacuated.", func() float64 { return float64(len(e.d.Evacuations().GetDomains())) })
	scrapes, err := e.metrics.serve(e.o.Settings.MetricsListen)
	if err != nil {
		cancel()
		return err
	}
	ready := &http.Server{Handler: adapter.NewReadyHandler(e.readiness), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 3)
	go func() { failed <- e.d.Serve() }()
	go func() { failed <- serveHTTP(jobs, e.callers) }()
	go func() { failed <- serveHTTP(ready, e.ready) }()
	select {
	case err = <-failed:
	case <-ctx.Done():
		e.drain(jobs)
	}
	e.d.Close()
	if scrapes != nil {
		_ = scrapes.Close()
	}
	_ = ready.Close()
	_ = jobs.Close()
	e.logger.Info("process_stopped", "open_jobs", e.d.Open())
	cancel()
	wg.Wait()
	if err != nil {
		return ErrServe.Wrap(err, "entry")
	}
	return nil
}

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (e *LeasedEntry) drain(jobs *http.Server) {
	began := time.Now()
	e.leaving.Store(true)
	e.logger.Info("drain_begun", "open_jobs", e.d.Open())
	grace := e.o.Settings.Bounds.Grace - endBefore
	e.d.Leave(grace)
	e.roster.Leave()
	// Each answer from now on closes its connection, so that its caller goes
	// elsewhere.
	jobs.SetKeepAlivesEnabled(false)
	time.Sleep(min(leaveAfter, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace))
	defer cancel()
	if err := jobs.Shutdown(ctx); err != nil {
		e.logger.Warn("drain_cut", "open_jobs", e.d.Open())
		return
	}
	e.logger.Info("drain_ended", "elapsed_ms", time.Since(began).Milliseconds())
}

// Reload takes in a replaced settings file: what can change while running is the
// list of seeds.
func (e *LeasedEntry) Reload(s settings.LeasedEntry) {
	e.d.Learn(s.Seeds)
	e.logger.Info("settings_reloaded", "seeds", len(s.Seeds))
}
