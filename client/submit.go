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

// Submit sends a job and waits for its complete answer, until the job's timeout
// or the end of ctx. Ending ctx does not cancel the job. Errors are of type
// Misuse, NotRun, Failed or OutcomeUnknown.
func (c *Client) Submit(ctx context.Context, job Job) (*Answer, error) {
	if err := job.check(); err != nil {
		return nil, err
	}
	timeout := timeoutOf(ctx, job)
	ctx, cancel := c.withTimeout(ctx, timeout)
	defer cancel()
	c.budget.deposit()
	end := time.Now().Add(timeout)
	for attempt := 0; ; attempt++ {
		answer, err := c.submitOnce(ctx, job, timeout)
		if err == nil || job.ID != "" || !retryableWithNewID(err) {
			return answer, err
		}
		hint := RetryAfterOf(err)
		if homeUnavailable(err) {
			// The hint only applies to the entry that gave it.
			hint = 0
			c.switchEntry()
		}
		if c.pause(ctx, attempt, hint) != nil {
			return nil, err
		}
		if timeout == 0 {
			continue
		}
		// The timeout restarts at the entry with a new id. Sending the full timeout
		// again would let the job run on after this caller's deadline, and leave its
		// outcome unknown.
		if timeout = time.Until(end); timeout < time.Millisecond {
			return nil, err
		}
	}
}

// retryableWithNewID reports whether the job may be sent under another id: the
// error proves that nothing ran or will run under the current one, and retrying
// with the current one can't succeed.
func retryableWithNewID(err error) bool {
	return homeUnavailable(err) || neverSent(err) || (errorx.IsOfType(err, NotRun) && RetryAfterOf(err) > 0)
}

// timeoutOf returns the timeout to send; zero selects the contract's default.
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

// withTimeout limits ctx to slightly more than the job's timeout, so that the
// entry's final response can still arrive.
func (c *Client) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	timeout = cmp.Or(timeout, jobs.MaxTimeout)
	return context.WithTimeout(ctx, timeout+c.responseTimeout)
}

// homeUnavailable reports whether a job was refused because its home accepts no
// more jobs.
func homeUnavailable(err error) bool {
	code := CodeOf(err)
	return errorx.IsOfType(err, NotRun) && (code == jobs.CodeHomeLost || code == jobs.CodeLeaving)
}

// neverSent reports whether no attempt sent the job to an entry.
func neverSent(err error) bool {
	_, found := errorx.ExtractProperty(err, propertyNeverSent)
	return found
}

func (c *Client) submitOnce(ctx context.Context, job Job, timeout time.Duration) (*Answer, error) {
	id := job.ID
	if id == "" {
		generated, err := c.NewID(ctx)
		if err != nil {
			return nil, err
		}
		id = generated
	}
	body, err := job.body(id, timeout, c.wait)
	if err != nil {
		return nil, err
	}
	s := submission{
		client: c, id: id, contract: job.Contract, body: body,
		tasks: len(job.Tasks), callerChoseID: job.ID != "",
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
	// callerChoseID is set if the caller chose the id; all retries then use this id.
	callerChoseID bool

	// accepted is set once an entry reported the job as running, so that further
	// requests only ask for its answer.
	accepted bool
	// unconfirmed is set if an entry may have received the job and has not responded
	// since.
	unconfirmed bool
	// lastError is the error that an entry last returned for the job.
	lastError error
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	answer   *Answer
	err      error
	final    bool
	minPause time.Duration // minimum pause before the next attempt
	poll     bool          // the job still runs: ask again without a pause
}

func (s *submission) run(ctx context.Context) (*Answer, error) {
	for attempt := 0; ; {
		start := time.Now()
		v := s.attempt(ctx)
		if v.final {
			return v.answer, v.err
		}
		if !s.callerChoseID && !s.unconfirmed && s.lastError == nil {
			return nil, s.finalError(ctx, v.err)
		}
		if v.poll && time.Since(start) >= s.client.wait/2 {
			attempt = 0
			continue
		}
		if err := s.client.pause(ctx, attempt, v.minPause); err != nil {
			return nil, s.finalError(ctx, v.err)
		}
		attempt++
	}
}

// attempt sends the job, or asks for its answer once it is known to run.
func (s *submission) attempt(ctx context.Context) attemptResult {
	reply, err := s.send(ctx)
	if err != nil {
		s.unconfirmed = s.unconfirmed || errorx.IsOfType(err, lost)
		return attemptResult{err: err}
	}
	v := s.interpret(reply)
	s.unconfirmed = !v.final && s.lastError == nil
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

// interpret evaluates an entry's response.
func (s *submission) interpret(reply *reply) attemptResult {
	s.lastError = nil
	switch reply.status {
	case http.StatusOK, http.StatusAccepted:
		return s.interpretAnswer(reply.body)
	default:
		return s.interpretRefusal(reply)
	}
}

func (s *submission) interpretAnswer(body []byte) attemptResult {
	var response jobs.Response
	if err := json.Unmarshal(body, &response); err != nil {
		return attemptResult{err: lost.Wrap(err, "answer")}
	}
	switch response.State {
	case jobs.StateRunning:
		s.accepted = true
		return attemptResult{err: lost.New("the job was still running"), poll: true}
	case jobs.StateComplete:
		answer, err := completeAnswer(response, s.id, s.tasks)
		return attemptResult{answer: answer, err: err, final: err == nil}
	default:
		return attemptResult{err: lost.New("answer in state %q", response.State)}
	}
}

func (s *submission) interpretRefusal(reply *reply) attemptResult {
	refusal, err := parseRefusal(reply)
	if err != nil {
		return attemptResult{err: err}
	}
	if refusal.Code == jobs.CodeNotFound && s.accepted {
		// No entry knows the job any more. Submitting it again asks its home, and
		// can't start it twice.
		s.accepted = false
		return attemptResult{err: lost.New("the job is not known any more")}
	}
	s.lastError = fromEntry(s.id, refusal)
	if errorx.IsOfType(s.lastError, NotFound) {
		s.lastError = OutcomeUnknown.Wrap(s.lastError, "submission").WithProperty(propertyJob, s.id)
	}
	hint := time.Duration(refusal.RetryAfterMillis) * time.Millisecond
	// If the home doesn't respond, another entry collects the job's results, for
	// which it needs the whole job.
	s.accepted = false
	// "Not run" is final for the id: another request would get the same response.
	retry := hint > 0 && refusal.Outcome != jobs.OutcomeFailed && refusal.Outcome != jobs.OutcomeNotRun
	return attemptResult{err: s.lastError, final: !retry, minPause: hint}
}

// parseRefusal decodes an error body. A response without one, such as a load
// balancer's error page, states nothing about the job.
func parseRefusal(reply *reply) (jobs.Error, error) {
	var refusal jobs.Error
	err := json.Unmarshal(reply.body, &refusal)
	if err != nil || refusal.Code == "" {
		return refusal, lost.New("status %d without an error body", reply.status)
	}
	return refusal, nil
}

// finalError returns the error that states what is known when the submission is
// abandoned.
func (s *submission) finalError(ctx context.Context, last error) error {
	cause := errors.Join(context.Cause(ctx), last)
	switch {
	case s.unconfirmed:
		return OutcomeUnknown.Wrap(cause, "no answer to job %s in time", s.id).
			WithProperty(propertyJob, s.id)
	case s.lastError != nil:
		return s.lastError
	default:
		return NotRun.Wrap(cause, "job %s was never sent", s.id).
			WithProperty(propertyJob, s.id).
			WithProperty(propertyNeverSent, true)
	}
}
