package process

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	corerunner "github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/dispatch/without"
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
	// Out takes the log.
	Out     io.Writer
	Version string
}

// LeasedAgent is a whole agent process beside a worker with leases.
type LeasedAgent struct {
	o       LeasedAgentOptions
	log     *decisionlog.Log
	logger  *slog.Logger
	r       *runner.Runner
	records *workerrecord.Keeper
	reports net.Listener
	metrics *leasedMetrics
}

// NewLeasedAgent puts an agent together and binds its ports. Errors are of type
// ErrStart.
func NewLeasedAgent(o LeasedAgentOptions) (*LeasedAgent, error) {
	s := o.Settings
	times, err := timesOf(s.Bounds)
	if err != nil {
		return nil, err
	}
	limitMemory(s.MemoryMB)
	a := &LeasedAgent{o: o, log: decisionlog.New(o.Out, slog.String("process", s.Name)), metrics: newLeasedMetrics()}
	a.logger = slog.New(a.log.Handler())
	if a.reports, err = net.Listen("tcp", s.ReportsListen); err != nil {
		return nil, ErrStart.Wrap(err, "port for reports")
	}
	incarnation := entry.NewIncarnation()
	off, err := without.Parse(s.Without)
	if err != nil {
		return nil, ErrStart.Wrap(err, "settings")
	}
	client := adapter.NewStore(s.StoreAddress, adapter.StoreOptions{OnCall: a.metrics.storeCall})
	a.r = runner.New(runner.Options{
		Entries: s.Seeds, Worker: adapter.NewWorker(s.WorkerAddress, int(s.Connections)), Logger: a.logger,
		OnFrame:     a.metrics.toEntry,
		FindEntries: func(ctx context.Context) ([]string, error) { return roster.Find(ctx, client) },
		Core: corerunner.Options{
			Agent: s.Name, Incarnation: incarnation, FailureDomain: s.FailureDomain, Times: times, Link: leasedLink(times),
			// A later process beside the same worker starts at a later time of day.
			Token: uint64(time.Now().UnixMilli()), Without: off, Decided: logRunner(a.log, a.metrics),
		},
	})
	a.records = workerrecord.New(workerrecord.Options{Store: client, Agent: s.Name, Logger: a.logger})
	a.logger.Info("process_started", "version", o.Version, "incarnation", incarnation, "silence_ms", times.Silence.Milliseconds(),
		"lease_ms", times.Lease.Milliseconds())
	return a, nil
}

// Run serves until the context ends, then drains: nothing new is started, and what
// runs may end within the grace.
func (a *LeasedAgent) Run(ctx context.Context) error {
	kept, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { a.log.Run(kept) })
	scrapes, err := a.metrics.serve(a.o.Settings.MetricsListen)
	if err != nil {
		cancel()
		return err
	}
	reports := &http.Server{Handler: adapter.NewReportsHandler(recordedReports{a.r, a.records}, a.logger), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	failed := make(chan error, 1)
	go func() { failed <- serveHTTP(reports, a.reports) }()
	go a.r.Run()
	go a.recall(kept)
	select {
	case err = <-failed:
	case <-ctx.Done():
		a.logger.Info("drain_begun")
		a.r.Leave()
		drained := rpc.Drain(a.o.Settings.Bounds.Grace-endBefore, a.r.Drained)
		a.logger.Info("drain_ended", "all_ended", drained)
	}
	a.r.Close()
	if scrapes != nil {
		_ = scrapes.Close()
	}
	_ = reports.Close()
	a.logger.Info("process_stopped")
	cancel()
	wg.Wait()
	if err != nil {
		return ErrServe.Wrap(err, "agent")
	}
	return nil
}

// recall begins with the worker that is on record, and keeps the record from then on.
func (a *LeasedAgent) recall(ctx context.Context) {
	if w, ok := a.records.Read(ctx); ok {
		a.r.Recalled(w)
	}
	a.records.Run(ctx)
}

// recordedReports passes a worker's reports on, and keeps them on record where they count.
type recordedReports struct {
	r       *runner.Runner
	records *workerrecord.Keeper
}

// Reported implements adapter.Reports.
func (r recordedReports) Reported(w corerunner.Worker) bool {
	ok := r.r.Reported(w)
	if ok {
		r.records.Reported(w)
	}
	return ok
}

// Left implements adapter.Reports.
func (r recordedReports) Left(id string) {
	r.r.Left(id)
	r.records.Left(id)
}

// Reload takes in a replaced settings file.
func (a *LeasedAgent) Reload(s settings.LeasedAgent) {
	a.r.Learn(s.Seeds)
	a.logger.Info("settings_reloaded", "seeds", len(s.Seeds))
}
