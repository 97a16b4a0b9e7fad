package process

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/disabled"
	corerunner "github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/node/connlimit"
	"github.com/papayahoist/papayahoist/node/decisionlog"
	"github.com/papayahoist/papayahoist/node/entry"
	"github.com/papayahoist/papayahoist/node/roster"
	"github.com/papayahoist/papayahoist/node/rpc"
	"github.com/papayahoist/papayahoist/node/runner"
	"github.com/papayahoist/papayahoist/node/settings"
	"github.com/papayahoist/papayahoist/node/workerrecord"
	"github.com/papayahoist/papayahoist/platform/adapter"
)

// LeasedAgentOptions configure a LeasedAgent.
type LeasedAgentOptions struct {
	Settings settings.LeasedAgent
	// Out receives the log.
	Out     io.Writer
	Version string
}

// LeasedAgent is a complete agent process beside a worker that runs tasks under
// leases.
type LeasedAgent struct {
	opts     LeasedAgentOptions
	log      *decisionlog.Log
	logger   *slog.Logger
	runner   *runner.Runner
	recorder *workerrecord.Recorder
	limits   clientLimits
	reports  net.Listener
	metrics  *leasedMetrics
}

// NewLeasedAgent assembles an agent and binds the port for the worker's reports.
// Errors are of type ErrStart.
func NewLeasedAgent(o LeasedAgentOptions) (*LeasedAgent, error) {
	s := o.Settings
	times, err := deriveTimes(s.Bounds)
	if err != nil {
		return nil, err
	}
	SetMemoryLimit(s.MemoryMB)
	a := &LeasedAgent{
		opts: o, log: decisionlog.New(o.Out, slog.String("process", s.Name)), metrics: newLeasedMetrics(),
	}
	a.logger = slog.New(a.log.Handler())
	a.limits = newClientLimits(s.MemoryMB, s.Descriptors, a.logger)
	a.metrics.registry.MustRegister(a.limits)
	if a.reports, err = connlimit.Listen(s.ReportsListen, connlimit.SmallBuffers); err != nil {
		return nil, ErrStart.Wrap(err, "listen for the worker's reports")
	}
	incarnation := entry.NewIncarnation()
	features, err := disabled.Parse(s.Disabled)
	if err != nil {
		return nil, ErrStart.Wrap(err, "invalid settings")
	}
	client := adapter.NewStore(s.StoreAddress, adapter.StoreOptions{OnCall: a.metrics.countStoreCall, Logger: a.logger})
	a.runner = runner.New(runner.Options{
		Entries: s.Seeds, Worker: adapter.NewWorker(s.WorkerAddress, int(s.Connections)), Logger: a.logger,
		OnFrame:     a.metrics.countWorkerFrame,
		FindEntries: roster.NewFinder(client, a.logger).Find,
		Core: corerunner.Options{
			Agent: s.Name, Incarnation: incarnation, FailureDomain: s.FailureDomain, Timeouts: times, Link: leasedLinkOptions(times),
			// The start time is the fencing token: a later process beside the same worker
			// has a higher one.
			Token: uint64(time.Now().UnixMilli()), Disabled: features, OnDecision: runnerLogger(a.log, a.metrics),
		},
	})
	a.recorder = workerrecord.New(workerrecord.Options{Store: client, Agent: s.Name, Logger: a.logger})
	a.logger.Info("process_started", "version", o.Version, "incarnation", incarnation, "silence_ms", times.EntryTimeout.Milliseconds(),
		"lease_ms", times.Lease.Milliseconds())
	return a, nil
}

// Run serves until the context is cancelled, then drains: it starts no more runs, and
// those in progress may end within the grace period.
func (a *LeasedAgent) Run(ctx context.Context) error {
	bgCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { a.log.Run(bgCtx) })
	metricsServer, err := a.metrics.serve(a.opts.Settings.MetricsListen, a.limits)
	if err != nil {
		cancel()
		return err
	}
	reportsServer := newInternalServer(adapter.NewReportsHandler(recordingReports{a.runner, a.recorder}, a.logger))
	reports := a.limits.Limit(connlimit.Port{
		Name: "reports", MaxConns: a.limits.conns(reportsFraction), Buffers: connlimit.SmallBuffers, BodyTimeout: func() time.Duration { return headerTimeout },
	}, a.reports, reportsServer)
	failed := make(chan error, 1)
	go func() { failed <- serveHTTP(reportsServer, reports) }()
	go a.runner.Run()
	go a.restoreWorker(bgCtx)
	select {
	case err = <-failed:
	case <-ctx.Done():
		a.logger.Info("drain_begun")
		a.runner.Drain()
		drained := rpc.WaitDrained(a.opts.Settings.Bounds.GracePeriod-closeReserve, a.runner.Drained)
		a.logger.Info("drain_ended", "all_ended", drained)
	}
	a.runner.Close()
	if metricsServer != nil {
		_ = metricsServer.Close()
	}
	_ = reportsServer.Close()
	a.logger.Info("process_stopped")
	cancel()
	wg.Wait()
	if err != nil {
		return ErrServe.Wrap(err, "agent")
	}
	return nil
}

// restoreWorker applies the stored record of the worker, then keeps the record up to
// date until the context is cancelled.
func (a *LeasedAgent) restoreWorker(ctx context.Context) {
	if w, ok := a.recorder.Read(ctx); ok {
		a.runner.RestoreWorker(w)
	}
	a.recorder.Run(ctx)
}

// recordingReports passes a worker's reports to the runner, and records those that the
// runner accepts.
type recordingReports struct {
	runner   *runner.Runner
	recorder *workerrecord.Recorder
}

// Reported implements adapter.Reports.
func (r recordingReports) Reported(w corerunner.Worker) bool {
	ok := r.runner.HandleReport(w)
	if ok {
		r.recorder.Reported(w)
	}
	return ok
}

// Left implements adapter.Reports.
func (r recordingReports) Left(id string) {
	r.runner.HandleLeave(id)
	r.recorder.Left(id)
}

// Reload applies a replaced settings file. Only the list of seeds can change while
// the process runs.
func (a *LeasedAgent) Reload(s settings.LeasedAgent) {
	a.runner.AddEntries(s.Seeds)
	a.logger.Info("settings_reloaded", "seeds", len(s.Seeds))
}
