package agent

import (
	"context"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/platform/endpoint"
)

// HTTPEndpoint runs tasks through the platform's service on the worker. It
// identifies a job to the service by contract and id, so that stopping one customer's
// task can't stop the task of another customer who chose the same id.
type HTTPEndpoint struct {
	Client endpoint.Client
}

// Run starts a task and waits until it has ended.
func (h HTTPEndpoint) Run(ctx context.Context, r agent.Run) *pb.TaskResult {
	res, err := h.Client.Run(ctx, endpoint.Task{Job: job.Name(r.Contract, r.Job), Index: r.Task, Contract: r.Contract, Kind: r.Kind, Payload: r.Payload})
	if err == nil {
		return &pb.TaskResult{
			Outcome: pb.Outcome_OUTCOME_COMPLETE, Body: res.Body,
			RunMillis: uint32(res.RunTime / time.Millisecond), PeakMemoryBytes: res.PeakMemory,
		}
	}
	return &pb.TaskResult{Outcome: outcomeOf(err), Error: err.Error()}
}

func outcomeOf(err error) pb.Outcome {
	switch {
	case endpoint.IsNotStarted(err):
		return pb.Outcome_OUTCOME_NOT_RUN
	case endpoint.IsFailed(err):
		return pb.Outcome_OUTCOME_FAILED
	}
	return pb.Outcome_OUTCOME_UNKNOWN
}

// Stop asks the worker to end a task early.
func (h HTTPEndpoint) Stop(ctx context.Context, ref agent.TaskRef) error {
	return h.Client.Stop(ctx, job.Name(ref.Contract, ref.Job), ref.Task)
}
