package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	"github.com/papayahoist/papayahoist/client"
	"github.com/papayahoist/papayahoist/cmd/internal/bench"
	standin "github.com/papayahoist/papayahoist/platform/standin/endpoint"
)

// task identifies one task at the endpoints.
type task struct {
	job   string
	index uint32
}

// record is the outcome of one job.
type record struct {
	plan    bench.JobPlan
	id      string
	elapsed time.Duration
	answer  *client.Answer
	err     error
	// duplicate is the outcome of the duplicate submission; nil if there is none.
	duplicate *record
}

// callers holds one client per entry. Each prefers its own entry and fails over to
// the others.
type callers []*client.Client

func newCallers(addresses []string) (callers, error) {
	var all callers
	for i := range addresses {
		rotated := append(append([]string{}, addresses[i:]...), addresses[:i]...)
		made, err := client.New(client.Options{Addresses: rotated})
		if err != nil {
			return nil, ErrStart.Wrap(err, "client")
		}
		all = append(all, made)
	}
	return all, nil
}

// run submits the planned jobs at their times and waits for every answer.
func (c callers) run(ctx context.Context, profile bench.Profile, plan []bench.JobPlan) []record {
	records := make([]record, len(plan))
	start := time.Now()
	var wg sync.WaitGroup
	for i := range plan {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(plan[i].At))):
		}
		wg.Go(func() { records[i] = c.submitPlanned(ctx, i, profile.Streams[plan[i].Stream], plan[i]) })
	}
	wg.Wait()
	return records
}

// unknownContractJobs is the number of jobs that are submitted under an unknown
// contract.
const unknownContractJobs = 5

// submitUnknownContract submits jobs that must be refused, to check the outcome "not
// run".
func (c callers) submitUnknownContract(ctx context.Context) []record {
	plan := bench.JobPlan{Stream: -1, Tasks: []bench.TaskPlan{{Run: time.Millisecond}}}
	records := make([]record, unknownContractJobs)
	for i := range records {
		job := client.Job{Contract: "no-such-contract", Kind: "stranger", Timeout: time.Second, Tasks: tasks(i, plan)}
		records[i] = submit(ctx, c[i%len(c)], plan, job)
	}
	return records
}

// submitPlanned submits one job. Stamps and pickups are submitted twice at the same
// time, by two callers to two entries, as by a client that retries a job it believes
// lost. They aren't idempotent: a second start would double a certificate or a
// payment.
func (c callers) submitPlanned(ctx context.Context, i int, stream bench.Stream, plan bench.JobPlan) record {
	first := c[i%len(c)]
	job := client.Job{Contract: stream.Contract.Name, Kind: stream.Kind, Timeout: stream.Timeout, Tasks: tasks(i, plan)}
	if !nonIdempotent(stream.Kind) {
		return submit(ctx, first, plan, job)
	}
	id, err := first.NewID(ctx)
	if err != nil {
		return record{plan: plan, err: err}
	}
	job.ID = id
	var again record
	var wg sync.WaitGroup
	wg.Go(func() { again = submit(ctx, c[(i+1)%len(c)], plan, job) })
	result := submit(ctx, first, plan, job)
	wg.Wait()
	result.duplicate = &again
	return result
}

func nonIdempotent(kind string) bool { return kind == "stamp" || kind == "pickup" }

func submit(ctx context.Context, through *client.Client, plan bench.JobPlan, job client.Job) record {
	start := time.Now()
	answer, err := through.Submit(ctx, job)
	r := record{plan: plan, id: job.ID, elapsed: time.Since(start), answer: answer, err: err}
	switch {
	case err != nil:
		r.id = client.JobOf(err)
	default:
		r.id = answer.ID
	}
	return r
}

// tasks returns the tasks of a planned job with the declared resources. The payload
// sets the actual run time and resource use at the stand-in endpoint.
func tasks(job int, plan bench.JobPlan) []jobs.Task {
	all := make([]jobs.Task, len(plan.Tasks))
	for i, t := range plan.Tasks {
		payload, err := json.Marshal(standin.Payload{
			RunMillis: uint32(t.Run.Milliseconds()), MemoryBytes: t.MemoryBytes, CPUMillis: t.CPUMillis, Echo: echo(job, i),
		})
		if err != nil {
			panic(err) // plain numbers and text
		}
		all[i] = jobs.Task{
			Payload: payload, MemoryBytes: t.DeclaredMemory, CPUMillis: t.DeclaredCPUMilli,
			RunMillis: uint32(t.DeclaredRun.Milliseconds()),
		}
	}
	return all
}

// echo returns the expected result of a task.
func echo(job, task int) string { return fmt.Sprintf("%d/%d", job, task) }
