package client

import (
	"encoding/json"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
)

// Job is a job to submit.
type Job struct {
	// ID comes from NewID or is a key of the caller's own. If it is empty, Submit
	// creates one.
	ID string
	// FirstSent is when the caller first sent an ID of its own; ids from NewID
	// don't need it. It must be the same each time the ID is sent, also after a
	// restart of the caller. A later time lets entries conclude that an entry
	// which has died can't have started the job, and its tasks may start twice.
	// With zero the entries can't rule out an earlier start, and answer
	// "outcome unknown".
	FirstSent time.Time
	Contract  string
	// Kind groups tasks with similar resource use.
	Kind string
	// Timeout is the limit for the whole job. Zero means the time that remains
	// until the context's deadline, or the contract's default without one.
	Timeout time.Duration
	Tasks   []jobs.Task
}

// Answer is the complete answer of a job.
type Answer struct {
	ID string
	// Results holds one result per task, in task order.
	Results []jobs.Result
}

func (j Job) check() error {
	switch {
	case j.Contract == "":
		return Misuse.New("no contract")
	case j.Kind == "":
		return Misuse.New("no kind")
	case len(j.Tasks) == 0 || len(j.Tasks) > jobs.MaxTasks:
		return Misuse.New("%d tasks: want 1 to %d", len(j.Tasks), jobs.MaxTasks)
	case j.Timeout < 0 || j.Timeout > jobs.MaxTimeout:
		return Misuse.New("timeout %s: want 0 to %s", j.Timeout, jobs.MaxTimeout)
	case len(j.ID) > jobs.MaxIDLength:
		return Misuse.New("id of %d bytes: want at most %d", len(j.ID), jobs.MaxIDLength)
	}
	return nil
}

// body encodes the job. It is called once per id: a second attempt that
// differed, for example in the remaining timeout, would be another job under
// the same id.
func (j Job) body(id string, timeout, wait time.Duration) ([]byte, error) {
	request := jobs.SubmitRequest{
		ID:            id,
		Contract:      j.Contract,
		Kind:          j.Kind,
		TimeoutMillis: ceilMillis(timeout),
		WaitMillis:    ceilMillis(wait),
		Tasks:         j.Tasks,
	}
	if !j.FirstSent.IsZero() {
		request.FirstSentUnixMillis = j.FirstSent.UnixMilli()
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, Misuse.Wrap(err, "job")
	}
	if len(body) > jobs.MaxBody {
		return nil, Misuse.New("job of %d bytes: want at most %d", len(body), jobs.MaxBody)
	}
	return body, nil
}

func ceilMillis(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// completeAnswer converts a response to an answer if it belongs to the job and has
// exactly one result for each task.
func completeAnswer(response jobs.Response, id string, tasks int) (*Answer, error) {
	if response.ID != id {
		return nil, lost.New("answer is for job %q", response.ID)
	}
	if len(response.Results) != tasks {
		return nil, lost.New("answer has %d results for %d tasks", len(response.Results), tasks)
	}
	results := make([]jobs.Result, tasks)
	seen := make([]bool, tasks)
	for _, result := range response.Results {
		if int64(result.Task) >= int64(tasks) || seen[result.Task] {
			return nil, lost.New("answer has an unexpected or duplicate result for task %d", result.Task)
		}
		seen[result.Task] = true
		results[result.Task] = result
	}
	return &Answer{ID: id, Results: results}, nil
}
