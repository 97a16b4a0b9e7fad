package entry

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/entry"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/node/operator"
)

// roleEntry is the name of the role in the status and the timeline.
const roleEntry = "entry"

// operatorsHandler serves the operators' port.
func (e *Entry) operatorsHandler() http.Handler {
	return operator.NewHandler(operator.Options{
		Status:      e,
		Ring:        e.opts.Core.Events,
		Incarnation: e.opts.Hello.Incarnation,
		Role:        roleEntry,
		Ready:       e.ready,
		Gatherer:    e.opts.Gatherer,
		Requests:    e.opts.Metrics.OperatorRequests,
		Logger:      e.log,
	})
}

// ready returns an error while the entry shuts down or can't serve yet, so that the
// load balancer sends it no new callers.
func (e *Entry) ready() error {
	if e.leaving.Load() {
		return ErrLeaving.New("the entry is shutting down")
	}
	if e.opts.Ready != nil {
		return e.opts.Ready()
	}
	return nil
}

// Status implements operator.StatusSource.
func (e *Entry) Status() *pb.StatusResponse {
	e.mu.Lock()
	agents, usage := e.core.AgentStatuses(), e.core.Usage()
	e.mu.Unlock()
	s := &pb.StatusResponse{
		Process:       e.opts.Hello.Entry,
		Incarnation:   e.opts.Hello.Incarnation,
		Role:          roleEntry,
		FailureDomain: e.opts.Hello.FailureDomain,
		Peers:         e.peers(),
		Agents:        agents,
		Contracts:     e.contractStatuses(usage),
		Leaving:       e.leaving.Load(),
		StartedUnixMs: e.opts.Core.Started.UnixMilli(),
		Version:       e.opts.Version,
	}
	if e.opts.StoreError != nil {
		s.StoreError = e.opts.StoreError()
	}
	s.ConfigRevision = e.configRevision()
	return s
}

func (e *Entry) peers() []*pb.Peer {
	if e.opts.Peers == nil {
		return nil
	}
	return e.opts.Peers()
}

// contractStatuses returns the status of the contracts in force, sorted by name.
func (e *Entry) contractStatuses(usage map[string]entry.ContractUsage) []*pb.ContractStatus {
	var list []*pb.ContractStatus
	for _, c := range e.contracts() {
		series, use := e.opts.Metrics.Contract(c.Name), usage[c.Name]
		list = append(list, &pb.ContractStatus{
			Contract:    c,
			Waiting:     use.Waiting,
			Running:     use.Running,
			MemoryBytes: use.MemoryBytes,
			Offered:     series.Offered.Value(),
			Served:      series.Served.Value(),
			Started:     series.TasksDispatched.Value(),
			Refused:     series.RefusedCounts(),
		})
	}
	slices.SortFunc(list, func(a, b *pb.ContractStatus) int { return strings.Compare(a.Contract.Name, b.Contract.Name) })
	return list
}

// contracts returns the contracts in force or, without Options.Contracts, those
// that callers have used.
func (e *Entry) contracts() []*pb.Contract {
	if e.opts.Contracts != nil {
		list := e.opts.Contracts()
		for _, c := range list {
			e.opts.Metrics.AddContract(c.Name)
		}
		return list
	}
	var list []*pb.Contract
	for _, name := range e.opts.Metrics.ContractNames() {
		if c := e.opts.Contract(name); c != nil && !c.Deleted {
			list = append(list, c)
		}
	}
	return list
}

// metricsState returns the values of the gauges; it is called at each scrape.
func (e *Entry) metricsState() metrics.EntryState {
	e.mu.Lock()
	c := e.core.Counts()
	e.mu.Unlock()
	s := metrics.EntryState{
		JobsInFlight:     c.Jobs,
		TasksWaiting:     c.Waiting,
		CreditsHeld:      c.Credits,
		LinksUp:          c.LinksUp,
		LinksDown:        c.LinksDown,
		WorkersSuspended: c.Suspended,
		StoreUp:          e.opts.StoreError == nil || e.opts.StoreError() == "",
	}
	s.ConfigRevision = e.configRevision()
	return s
}

// configRevision returns the revision of the configuration. Without
// Options.ConfigRevision it does not include deletions of contracts.
func (e *Entry) configRevision() uint64 {
	if e.opts.ConfigRevision != nil {
		return e.opts.ConfigRevision()
	}
	var revision uint64
	for _, contract := range e.contracts() {
		revision = max(revision, contract.Revision)
	}
	return revision
}

// series returns the counters of a contract. Only contracts in the configuration
// have counters of their own.
func (e *Entry) series(contract string) *metrics.ContractMetrics {
	if e.opts.Contract != nil && e.opts.Contract(contract) != nil {
		e.opts.Metrics.AddContract(contract)
	}
	return e.opts.Metrics.Contract(contract)
}

// countSubmission counts a new job, and its refusal if it was answered as not run.
func (e *Entry) countSubmission(contract string, answer *pb.Answer) {
	c := e.series(contract)
	c.Offered.Add(1)
	if answer != nil && answer.Outcome == pb.Outcome_OUTCOME_NOT_RUN {
		c.CountRefused(jobs.Code(answer.Code))
	}
}

// countAnswer counts the outcome of a job that Ready has just answered.
func (e *Entry) countAnswer(answered entry.JobAnswer) {
	a, c := answered.Answer, e.series(answered.Contract)
	switch a.Outcome {
	case pb.Outcome_OUTCOME_COMPLETE:
		c.Served.Add(1)
		if response, ideal, ok := e.core.ResponseTime(answered); ok {
			c.ObserveResponse(response, ideal)
		}
	case pb.Outcome_OUTCOME_NOT_RUN:
		c.CountRefused(jobs.Code(a.Code))
	case pb.Outcome_OUTCOME_UNKNOWN:
		c.Unknown.Inc()
	default:
		c.Failed.Inc()
	}
}

// countFrame counts a frame sent to an agent and the tasks that it starts.
func (e *Entry) countFrame(f *pb.EntryFrame, bytes int) {
	e.opts.Metrics.CountMessage(metrics.EntryFrameKind(f), metrics.Sent, bytes)
	for _, b := range f.Starts {
		e.series(b.Contract).TasksDispatched.Add(len(b.Tasks))
	}
}

// recordProcess records an event about this process.
func (e *Entry) recordProcess(kind event.Kind, detail string) {
	e.opts.Core.Events.Record(time.Now(), event.Event{Kind: kind, Detail: detail})
}
