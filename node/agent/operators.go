package agent

import (
	"net/http"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/node/operator"
)

// roleAgent is the name of the role in the status and the timeline.
const roleAgent = "agent"

// operatorsHandler serves the operators' port.
func (a *Agent) operatorsHandler() http.Handler {
	return operator.NewHandler(operator.Options{
		Status:      a,
		Ring:        a.opts.Core.Events,
		Incarnation: a.opts.Hello.Incarnation,
		Role:        roleAgent,
		Ready:       a.ready,
		Gatherer:    a.opts.Gatherer,
		Requests:    a.opts.Metrics.OperatorRequests,
		Logger:      a.log,
	})
}

func (a *Agent) ready() error {
	if a.leaving.Load() {
		return ErrLeaving.New("the agent is shutting down")
	}
	return nil
}

// Status implements operator.StatusSource.
func (a *Agent) Status() *pb.StatusResponse {
	a.mu.Lock()
	load, peers := a.core.Load(), a.core.Peers()
	a.mu.Unlock()
	return &pb.StatusResponse{
		Process:       a.opts.Hello.Agent,
		Incarnation:   a.opts.Hello.Incarnation,
		Role:          roleAgent,
		FailureDomain: a.opts.Hello.FailureDomain,
		Worker:        a.opts.Hello.Worker,
		Peers:         peers,
		Agents:        []*pb.AgentStatus{{Hello: a.opts.Hello, Load: load, Linked: true, Leaving: a.leaving.Load()}},
		Leaving:       a.leaving.Load(),
		StartedUnixMs: a.started.UnixMilli(),
		Version:       a.opts.Version,
	}
}

// metricsState returns the values of the gauges; it is called at each scrape.
func (a *Agent) metricsState() metrics.AgentState {
	a.mu.Lock()
	c := a.core.Counts()
	a.mu.Unlock()
	return metrics.AgentState{
		Slots:        int(a.opts.Hello.Slots),
		TasksRunning: c.Running,
		ResultsHeld:  c.Held,
		LinksUp:      c.LinksUp,
	}
}

// countResult counts the result of a task that the endpoint has run.
func (a *Agent) countResult(res *pb.TaskResult) {
	if res.Outcome == pb.Outcome_OUTCOME_FAILED {
		a.opts.Metrics.TasksFailed.Inc()
	}
	if res.RunMillis > 0 {
		a.opts.Metrics.TaskRunTime.Observe((time.Duration(res.RunMillis) * time.Millisecond).Seconds())
	}
}

// recordProcess records an event about this process.
func (a *Agent) recordProcess(kind event.Kind, detail string) {
	a.opts.Core.Events.Record(time.Now(), event.Event{Kind: kind, Detail: detail})
}
