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
	"github.com/papayahoist/papayahoist/dispatch/disabled"
	coredispatcher "github.com/papayahoist/papayahoist/dispatch/dispatcher"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/node/callerconn"
	"github.com/papayahoist/papayahoist/node/connlimit"
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
	// Out receives the log.
	Out     io.Writer
	Version string
}

const (
	// maxHeaderBytes and headerTimeout limit the headers of requests. Connections idle for
	// idleTimeout are closed.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	// maxInternalHeaderBytes limits the headers of requests of the platform and of operators.
	maxInternalHeaderBytes = 16 << 10
	// shutdownDelay is how long a draining entry still accepts connections. The
	// balancer checks readiness once a second, and removes an entry after two failed
	// checks.
	shutdownDelay = 3200 * time.Millisecond
	// closeReserve is the end of the grace period, reserved for closing.
	closeReserve = 300 * time.Millisecond
	// memoryLimitFraction is the fraction of the process's memory limit that is set as
	// the runtime's soft limit, above which garbage is collected more often. Data that
	// the process has not read yet counts against the process's limit too.
	memoryLimitFraction = 0.7
	// entryGCPercent is how much an entry's heap grows between two collections, relative
	// to the live heap. That is only 10 to 30 MB, and a small entry needs its processor
	// time in a burst more than its memory.
	entryGCPercent = 200
	// minStoreRetryWait and maxStoreRetryWait bound the wait after a failed call to the
	// store. A changed configuration must be in force within seconds.
	minStoreRetryWait = 100 * time.Millisecond
	maxStoreRetryWait = 800 * time.Millisecond
	// storeListAfter allows for one lost connection.
	storeListAfter = 2
	// reportsPerCore is the number of agents' load reports that one core handles per
	// second with about a twentieth of its time, at 15 us each.
	reportsPerCore = 3000
)

// leasedLinkOptions returns the time-outs of links between entries and agents. An
// agent stops the runs of a lost link once t.EntryTimeout has passed, so a broken link must
// be detected well before that.
func leasedLinkOptions(t bounds.Timeouts) link.Options {
	return link.Options{
		AckDelay:         t.EntryTimeout / 8,
		AckTimeout:       t.EntryTimeout * 3 / 4,
		Heartbeat:        time.Second,
		HeartbeatTimeout: 2500 * time.Millisecond,
	}
}

// LeasedEntry is a complete entry process for workers that run tasks under leases.
type LeasedEntry struct {
	opts       LeasedEntryOptions
	log        *decisionlog.Log
	logger     *slog.Logger
	dispatcher *dispatcher.Dispatcher
	roster     *roster.Roster
	store      *adapter.Store
	limits     clientLimits
	callers    net.Listener
	ready      net.Listener
	leaving    atomic.Bool
	everLinked atomic.Bool // an agent has been linked at least once
	metrics    *leasedMetrics
}

// NewLeasedEntry assembles an entry and binds its ports. Errors are of type ErrStart.
func NewLeasedEntry(o LeasedEntryOptions) (*LeasedEntry, error) {
	s := o.Settings
	times, err := deriveTimes(s.Bounds)
	if err != nil {
		return nil, err
	}
	SetMemoryLimit(s.MemoryMB)
	debug.SetGCPercent(entryGCPercent)
	e := &LeasedEntry{
		opts: o, log: decisionlog.New(o.Out, slog.String("process", s.Name)), metrics: newLeasedMetrics(),
	}
	e.logger = slog.New(e.log.Handler())
	e.limits = newClientLimits(s.MemoryMB, s.Descriptors, e.logger)
	e.metrics.registry.MustRegister(e.limits)
	incarnation := entry.NewIncarnation()
	features, err := disabled.Parse(s.Disabled)
	if err != nil {
		return nil, ErrStart.Wrap(err, "invalid settings")
	}
	e.dispatcher, err = dispatcher.New(dispatcher.Options{
		NodesListen: s.NodesListen, Address: s.AdvertisedAddress(), Seeds: s.Seeds, Logger: e.logger,
		OnFrame: e.metrics.countOrderFrame, OnFrameSent: e.metrics.observeFrameWait, OnExchange: e.metrics.countExchange,
		Limiter: e.limits.Limiter, MaxConns: e.limits.conns(nodesFraction), MaxMessageBytes: maxMessageBytes(s.StoreValueBytes),
		OnFetch: e.metrics.countFetch, StoreDelivering: func() bool { return e.store.Delivering() },
		Core: coredispatcher.Options{
			Entry: s.Name, Incarnation: incarnation, FailureDomain: s.FailureDomain, Timeouts: times, Link: leasedLinkOptions(times),
			RemoteFactor: s.Bounds.RemoteFactor, ReportsPerSecond: reportsPerCore * s.ProcessorShare,
			Random: rand.Float64, Disabled: features, OnDecision: dispatcherLogger(e.log, e.metrics),
		},
	})
	if err != nil {
		return nil, ErrStart.Wrap(err, "entry %s", s.Name)
	}
	if e.callers, err = connlimit.Listen(s.CallersListen, connlimit.SmallBuffers); err != nil {
		return nil, ErrStart.Wrap(err, "listen for callers")
	}
	if e.ready, err = connlimit.Listen(s.ReadyListen, connlimit.SmallBuffers); err != nil {
		return nil, ErrStart.Wrap(err, "listen for readiness checks")
	}
	e.store = adapter.NewStore(s.StoreAddress, adapter.StoreOptions{
		MaxValueBytes: int64(s.StoreValueBytes), Logger: e.logger,
		OnCall: e.metrics.countStoreCall, WatchWait: func() time.Duration { return watchWait(len(e.dispatcher.Entries()), rand.Float64()) },
	})
	e.roster = roster.New(roster.Options{
		Store: e.store, Name: s.Name, Address: s.AdvertisedAddress(), Logger: e.logger,
		ListInterval: func() time.Duration { return listInterval(len(e.dispatcher.Entries())) },
		NoPeers:      func() bool { return len(e.dispatcher.Entries()) < 2 },
	})
	e.logger.Info("process_started", "version", o.Version, "incarnation", incarnation, "silence_ms", times.EntryTimeout.Milliseconds(),
		"lease_ms", times.Lease.Milliseconds(), "give_up_ms", times.ReconnectTimeout.Milliseconds())
	return e, nil
}

// maxMessageBytes limits a message from another entry, which may carry a configuration.
func maxMessageBytes(storeValueBytes uint32) int { return 1<<20 + 2*int(storeValueBytes) }

func deriveTimes(b settings.Bounds) (bounds.Timeouts, error) {
	times, err := bounds.Derive(bounds.Params{ResendAfter: b.ResendAfter, MaxLease: b.MaxLease, StopTime: b.StopTime})
	if err != nil {
		return times, ErrStart.Wrap(err, "invalid settings")
	}
	return times, nil
}

// SetMemoryLimit sets the runtime's soft limit for a process with the given memory; zero means
// that it is not known. It is for programs that run one process.
func SetMemoryLimit(mb uint32) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(mb) * (1 << 20)))
	}
}

// readiness returns why the entry could only refuse jobs, or nil if it can serve
// them.
func (e *LeasedEntry) readiness() error {
	switch {
	case e.leaving.Load():
		return errNotReady.New("shutting down")
	case !e.dispatcher.Configured():
		return errNotReady.New("no configuration yet")
	case !e.everLinked.Load() && e.dispatcher.Links() == 0:
		return errNotReady.New("no agent linked yet")
	}
	e.everLinked.Store(true)
	return nil
}

// Run serves until the context is cancelled, then drains: the entry reports that it is
// not ready, answers the requests in progress and those that still arrive, and notifies
// the agents last.
func (e *LeasedEntry) Run(ctx context.Context) error {
	bgCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { e.log.Run(bgCtx) })
	go e.roster.Run(bgCtx, e.dispatcher.AddEntries)
	go func() {
		_ = follow.Run(bgCtx, e.store, adapter.OperatorPrefix, &operatorReader{entry: e}, follow.Options{MinWait: minStoreRetryWait, MaxWait: maxStoreRetryWait, ListAfter: storeListAfter})
	}()
	jobsServer := &http.Server{
		Handler: adapter.NewJobsHandler(e.dispatcher, adapter.JobsOptions{Hold: connlimit.Hold}), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnContext: callerconn.WithConn, ErrorLog: slog.NewLogLogger(e.log.Handler(), slog.LevelWarn),
	}
	e.metrics.registerGauge("papayahoist_links", "Linked agents.", func() float64 { return float64(e.dispatcher.Links()) })
	e.metrics.registerGauge("papayahoist_open_jobs", "Admitted jobs that have not been answered yet.", func() float64 { return float64(e.dispatcher.OpenJobs()) })
	e.metrics.registerGauge("papayahoist_uneven_workers", "Linked workers whose speed isn't 1.", func() float64 { return float64(e.dispatcher.UnevenWorkers()) })
	e.metrics.registerGauge("papayahoist_configuration_version", "Version of the configuration in force.", func() float64 { return float64(e.dispatcher.Configuration().GetVersion()) })
	e.metrics.registerGauge("papayahoist_configuration_newest_version", "Newest version of the configuration known to be in force at any entry.", func() float64 {
		version, _ := e.dispatcher.NewestVersion()
		return float64(version)
	})
	e.metrics.registerGauge("papayahoist_configuration_behind_seconds", "Time for which another entry has had a newer configuration.", func() float64 {
		_, behind := e.dispatcher.NewestVersion()
		return behind.Seconds()
	})
	e.metrics.registerGauge("papayahoist_evacuated_domains", "Number of evacuated failure domains.", func() float64 { return float64(len(e.dispatcher.Evacuations().GetDomains())) })
	callers := e.limits.Limit(connlimit.Port{
		Name: "callers", MaxConns: e.limits.conns(callersFraction), Buffers: connlimit.SmallBuffers, Refuse: adapter.RefuseRequest,
		BodyTimeout: func() time.Duration { return adapter.BodyTimeout(e.dispatcher.Limits()) },
	}, e.callers, jobsServer)
	metricsServer, err := e.metrics.serve(e.opts.Settings.MetricsListen, e.limits)
	if err != nil {
		cancel()
		return err
	}
	readyServer := newInternalServer(adapter.NewReadyHandler(e.readiness))
	ready := e.limits.Limit(connlimit.Port{Name: "ready", MaxConns: e.limits.conns(operatorsFraction), Buffers: connlimit.SmallBuffers, Internal: true}, e.ready, readyServer)
	failed := make(chan error, 3)
	go func() { failed <- e.dispatcher.Serve() }()
	go func() { failed <- serveHTTP(jobsServer, callers) }()
	go func() { failed <- serveHTTP(readyServer, ready) }()
	select {
	case err = <-failed:
	case <-ctx.Done():
		e.drain(jobsServer)
	}
	e.dispatcher.Close()
	if metricsServer != nil {
		_ = metricsServer.Close()
	}
	_ = readyServer.Close()
	_ = jobsServer.Close()
	e.logger.Info("process_stopped", "open_jobs", e.dispatcher.OpenJobs())
	cancel()
	wg.Wait()
	if err != nil {
		return ErrServe.Wrap(err, "entry")
	}
	return nil
}

// newInternalServer returns a server for requests that have small headers and no bodies.
func newInternalServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, MaxHeaderBytes: maxInternalHeaderBytes, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (e *LeasedEntry) drain(jobsServer *http.Server) {
	start := time.Now()
	e.leaving.Store(true)
	e.logger.Info("drain_begun", "open_jobs", e.dispatcher.OpenJobs())
	grace := e.opts.Settings.Bounds.GracePeriod - closeReserve
	e.dispatcher.Drain(grace)
	e.roster.Leave()
	// Each answer from now on closes its connection, so that the caller connects to
	// another entry.
	jobsServer.SetKeepAlivesEnabled(false)
	time.Sleep(min(shutdownDelay, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(grace))
	defer cancel()
	if err := jobsServer.Shutdown(ctx); err != nil {
		e.logger.Warn("drain_cut", "open_jobs", e.dispatcher.OpenJobs())
		return
	}
	e.logger.Info("drain_ended", "elapsed_ms", time.Since(start).Milliseconds())
}

// Reload applies a replaced settings file. Only the list of seeds can change while
// the process runs.
func (e *LeasedEntry) Reload(s settings.LeasedEntry) {
	e.dispatcher.AddEntries(s.Seeds)
	e.logger.Info("settings_reloaded", "seeds", len(s.Seeds))
}
