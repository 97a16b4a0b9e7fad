package client

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/joomcode/errorx"

	"github.com/papayahoist/papayahoist/api/jobs"
)

// Submit sends a job and waits for its whole answer, until the job's timeout or
// the end of ctx. Ending ctx does not cancel the job. Errors are of type
// Misuse, NotRun, Failed or OutcomeUnknown.
func (c *Client) Submit(ctx context.Context, job Job) (*Answer, error) {
	if err := job.check(); err != nil {
		return nil, err
	}
	timeout := timeoutOf(ctx, job)
	ctx, cancel := c.bound(ctx, timeout)
	defer cancel()
	c.budget.deposit()
	end := time.Now().Add(timeout)
	for attempt := 0; ; attempt++ {
		answer, err := c.submitOnce(ctx, job, timeout)
		if err == nil || job.ID != "" || !renewable(err) {
			return answer, err
		}
		hint := RetryAfterOf(err)
		if homeGone(err) {
			// The hint is for those who come back to the entry that gave it.
			hint = 0
			c.leaveEntry()
		}
		if c.pause(ctx, attempt, hint) != nil {
			return nil, err
		}
		if timeout == 0 {
			continue
		}
		// Under a new id the entry counts anew. With the whole timeout again it would
		// go on with the job when this caller has given up, whose outcome is then
		// unknown for no other reason.
		if timeout = time.Until(end); timeout < time.Millisecond {
			return nil, err
		}
	}
}

// renewable says that an id is of no use any more, and that nothing ran or will
// under it: its job may be sent under another one.
func renewable(err error) bool {
	return homeGone(err) || neverSent(err) || (errorx.IsOfType(err, NotRun) && RetryAfterOf(err) > 0)
}

// timeoutOf is the timeout that the entry is told, zero for the contract's.
func timeoutOf(ctx context.Context, job Job) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return job.Timeout
	}
	remaining := min(max(time.Until(deadline), time.Millisecond), jobs.MaxTimeout)
	if job.Timeout == 0 {
		return remaining
	}
	return min(job.Timeout, remaining)
}

// bound ends ctx a little after the job's timeout, so that the entry's word on
// what became of the job still arrives.
func (c *Client) bound(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	timeout = cmp.Or(timeout, jobs.MaxTimeout)
	return context.WithTimeout(ctx, timeout+c.silence)
}

// homeGone says that a job was refused because its home will take no more jobs.
func homeGone(err error) bool {
	code := CodeOf(err)
	return errorx.IsOfType(err, NotRun) && (code == jobs.CodeHomeLost || code == jobs.CodeLeaving)
}

// neverSent says that a job left the client under no attempt.
func neverSent(err error) bool {
	_, found := errorx.ExtractProperty(err, propertyNeverSent)
	return found
}

func (c *Client) submitOnce(ctx context.Context, job Job, timeout time.Duration) (*Answer, error) {
	id := job.ID
	if id == "" {
		made, err := c.NewID(ctx)
		if err != nil {
			return nil, err
		}
		id = made
	}
	body, err := job.body(id, timeout, c.wait)
	if err != nil {
		return nil, err
	}
	s := submission{
		client: c, id: id, contract: job.Contract, body: body,
		tasks: len(job.Tasks), kept: job.ID != "",
	}
	return s.run(ctx)
}

// submission is one job under one id.
type submission struct {
	client   *Client
	id       string
	contract string
	body     []byte
	tasks    int
	// kept: the id is the caller's and must be tried to the end.
	kept bool

	// accepted: an entry said that the job runs, so it need only be asked for.
	accepted bool
	// exposed: an entry may have the job, and its word has not been heard since.
	exposed bool
	// word is the last that an entry said of the job.
	word error
}

// verdict is what one attempt leads to.
type verdict struct {
	answer *Answer
	err    error
	final  bool
	hint   time.Duration // least pause before the next attempt
	poll   bool          // the entry waited as asked; ask again at once
}

func (s *submission) run(ctx context.Context) (*Answer, error) {
	for attempt := 0; ; {
		start := time.Now()
		v := s.attempt(ctx)
		if v.final {
			return v.answer, v.err
		}
		if !s.kept && !s.exposed && s.word == nil {
			return nil, s.giveUp(ctx, v.err)
		}
		if v.poll && time.Since(start) >= s.client.wait/2 {
			attempt = 0
			continue
		}
		if err := s.client.pause(ctx, attempt, v.hint); err != nil {
			return nil, s.giveUp(ctx, v.err)
		}
		attempt++
	}
}

// attempt sends the job, or asks for its answer once it is known to run.
func (s *submission) attempt(ctx context.Context) verdict {
	reply, err := s.send(ctx)
	if err != nil {
		s.exposed = s.exposed || errorx.IsOfType(err, lost)
		return verdict{err: err}
	}
	v := s.judge(reply)
	s.exposed = !v.final && s.word == nil
	return v
}

func (s *submission) send(ctx context.Context) (*reply, error) {
	if s.accepted {
		return s.client.get(ctx, s.contract, s.id)
	}
	return s.client.exchange(ctx, http.MethodPost, jobs.PathJobs, s.body, s.client.wait)
}

func (c *Client) get(ctx context.Context, contract, id string) (*reply, error) {
	query := url.Values{jobs.ParamContract: {contract}, jobs.ParamWait: {c.wait.String()}}
	return c.exchange(ctx, http.MethodGet, jobs.PathJob(id)+"?"+query.Encode(), nil, c.wait)
}

// judge reads an entry's response.
func (s *submission) judge(reply *reply) verdict {
	s.word = nil
	switch reply.status {
	case http.StatusOK, http.StatusAccepted:
		return s.judgeAnswer(reply.body)
	default:
		return s.judgeRefusal(reply)
	}
}

func (s *submission) judgeAnswer(body []byte) verdict {
	var response jobs.Response
	if err := json.Unmarshal(body, &response); err != nil {
		return verdict{err: lost.Wrap(err, "answer")}
	}
	switch response.State {
	case jobs.StateRunning:
		s.accepted = true
		return verdict{err: lost.New("the job was still running"), poll: true}
	case jobs.StateComplete:
		answer, err := whole(response, s.id, s.tasks)
		return verdict{answer: answer, err: err, final: err == nil}
	default:
		return verdict{err: lost.New("answer in state %q", response.State)}
	}
}

func (s *submission) judgeRefusal(reply *reply) verdict {
	refusal, err := parseRefusal(reply)
	if err != nil {
		return verdict{err: err}
	}
	if refusal.Code == jobs.CodeNotFound && s.accepted {
		// No entry knows the job any more. Sending it again asks its home, and
		// starts nothing twice.
		s.accepted = false
		return verdict{err: lost.New("the job is not known any more")}
	}
	s.word = fromEntry(s.id, refusal)
	if errorx.IsOfType(s.word, NotFound) {
		s.word = OutcomeUnknown.Wrap(s.word, "submission").WithProperty(propertyJob, s.id)
	}
	hint := time.Duration(refusal.RetryAfterMillis) * time.Millisecond
	// A home that doesn't reply leaves its job's results to be gathered, which
	// takes the whole job.
	s.accepted = false
	// "Not run" stays true for the id: asking again under it gets the same word.
	again := hint > 0 && refusal.Outcome != jobs.OutcomeFailed && refusal.Outcome != jobs.OutcomeNotRun
	return verdict{err: s.word, final: !again, hint: hint}
}

// parseRefusal reads an error body. One that no entry wrote, a balancer's page
// for example, says nothing about the job.
func parseRefusal(reply *reply) (jobs.Error, error) {
	var refusal jobs.Error
	err := json.Unmarshal(reply.body, &refusal)
	if err != nil || refusal.Code == "" {
		return refusal, lost.New("status %d without an error body", reply.status)
	}
	return refusal, nil
}

// giveUp says what is known when time is up.
func (s *submission) giveUp(ctx context.Context, last error) error {
	cause := errors.Join(context.Cause(ctx), last)
	switch {
	case s.exposed:
		return OutcomeUnknown.Wrap(cause, "no answer to job %s in time", s.id).
			WithProperty(propertyJob, s.id)
	case s.word != nil:
		return s.word
	default:
		return NotRun.Wrap(cause, "job %s was never sent", s.id).
			WithProperty(propertyJob, s.id).
			WithProperty(propertyNeverSent, true)
	}
}
