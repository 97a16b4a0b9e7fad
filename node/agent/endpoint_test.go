package agent

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/platform/endpoint"
	standin "github.com/papayahoist/papayahoist/platform/standin/endpoint"
)

const contract = "desk"

// A worker starts tasks and then never replies on connections that stay open, or
// closes them, or fails or refuses tasks. The outcome must not be "not run" for a
// task that has started, and must be known by the deadline. Once the worker has
// recovered, the next task must run over a new connection, and the first must not
// be started again.
func TestFaultyEndpointOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
		want   pb.Outcome
		starts int
	}{
		{"unresponsive", standin.Faults{Unresponsive: true}, pb.Outcome_OUTCOME_UNKNOWN, 1},
		{"disconnects", standin.Faults{BreakRuns: true}, pb.Outcome_OUTCOME_UNKNOWN, 1},
		{"fails all", standin.Faults{FailAll: true}, pb.Outcome_OUTCOME_FAILED, 1},
		{"refuses", standin.Faults{RefuseAll: true}, pb.Outcome_OUTCOME_NOT_RUN, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := standin.NewWorker(standin.Options{})
			server := httptest.NewServer(w.Handler())
			defer server.Close()
			client := endpoint.New(strings.TrimPrefix(server.URL, "http://"), endpoint.Options{Connections: 1})
			h := HTTPEndpoint{Client: client}

			w.SetFaults(test.faults)
			first := h.run(t, "first", 300*time.Millisecond)
			if first != test.want {
				t.Errorf("outcome %v, want %v", first, test.want)
			}
			w.SetFaults(standin.Faults{})
			if got := h.run(t, "second", 10*time.Second); got != pb.Outcome_OUTCOME_COMPLETE {
				t.Errorf("the next task ended as %v", got)
			}
			if n := w.StartCounts()[standin.TaskKey{Job: job.Name(contract, "first")}]; n != test.starts {
				t.Errorf("the first task was started %d times, want %d", n, test.starts)
			}
		})
	}
}

func (h HTTPEndpoint) run(t *testing.T, id string, limit time.Duration) pb.Outcome {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return h.Run(ctx, agent.Run{TaskRef: agent.TaskRef{Contract: contract, Job: id}, Payload: []byte(`{"run_ms":1}`)}).Outcome
}
