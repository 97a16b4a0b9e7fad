package client

import (
	"encoding/json"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
)

// Job is what Submit sends.
type Job struct {
	// ID comes from NewID, or is a key of the caller's own. Empty: Submit makes
	// one.
	ID string
	// FirstSent is when the caller first sent a key of its own; other ids don't
	// need it. It must be the same each time the key is sent, also after a restart
	// of the caller: a later time makes entries believe that an entry which has
	// died can't have started the job, and its tasks may start twice. Zero: the
	// entries can't vouch for the key, and answer "outcome unknown".
	FirstSent time.Time
	Contract  string
	// Kind groups tasks that behave alike.
	Kind string
	// Timeout ends the job when it passes; zero takes what remains of the
	// context's deadline, or the contract's default if it has none.
	Timeout time.Duration
	Tasks   []jobs.Task
}

// Answer is a job's whole answer.
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

// body encodes the job. It is made once: a second attempt that differed, in the
// timeout that remains for example, would be another job under the same id.
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

// whole turns a response into an answer, if it is this job's and has a result
// for each task.
func whole(response jobs.Response, id string, tasks int) (*Answer, error) {
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
			return nil, lost.New("answer has a result too many for task %d", result.Task)
		}
		seen[result.Task] = true
		results[result.Task] = result
	}
	return &Answer{ID: id, Results: results}, nil
}
