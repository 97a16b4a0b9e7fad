package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/papayahoist/papayahoist/api/jobs"
)

// Get requests the answer of a job of the contract, waiting up to Options.Wait
// for it. The answer is nil while the job runs. The caller checks that there is
// a result for each task it submitted. Errors are of type NotRun, Failed,
// OutcomeUnknown or NotFound; OutcomeUnknown also if no entry responded before
// ctx ended.
func (c *Client) Get(ctx context.Context, contract, id string) (*Answer, error) {
	reply, err := c.retryUntilResponse(ctx, id, func(ctx context.Context) (*reply, error) {
		return c.get(ctx, contract, id)
	})
	if err != nil {
		return nil, err
	}
	response, err := parseResponse(reply, id)
	if err != nil || response.State == jobs.StateRunning {
		return nil, err
	}
	answer, err := completeAnswer(*response, id, len(response.Results))
	if err != nil {
		return nil, OutcomeUnknown.Wrap(err, "job %s", id).WithProperty(propertyJob, id)
	}
	return answer, nil
}

// Cancel requests that a job's waiting tasks are not started and its running
// tasks are stopped. A nil error means that the entry accepted the request; the
// job's answer states its outcome. Errors are of type Failed, NotFound or
// OutcomeUnknown.
func (c *Client) Cancel(ctx context.Context, contract, id string) error {
	query := url.Values{jobs.ParamContract: {contract}}
	reply, err := c.retryUntilResponse(ctx, id, func(ctx context.Context) (*reply, error) {
		return c.exchange(ctx, http.MethodDelete, jobs.PathJob(id)+"?"+query.Encode(), nil, 0)
	})
	if err != nil {
		return err
	}
	if reply.status < http.StatusMultipleChoices {
		return nil
	}
	refusal, err := parseRefusal(reply)
	if err != nil {
		return OutcomeUnknown.Wrap(err, "cancel").WithProperty(propertyJob, id)
	}
	if refusal.Code == jobs.CodeCancelled {
		return nil
	}
	return fromEntry(id, refusal)
}

// retryUntilResponse repeats an idempotent exchange until a response arrives or ctx ends.
func (c *Client) retryUntilResponse(ctx context.Context, id string, send func(context.Context) (*reply, error)) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, jobs.MaxWait+c.responseTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		reply, err := send(ctx)
		if err == nil {
			return reply, nil
		}
		if c.pause(ctx, attempt, 0) != nil {
			return nil, OutcomeUnknown.Wrap(err, "no response about job %s", id).WithProperty(propertyJob, id)
		}
	}
}

func parseResponse(reply *reply, id string) (*jobs.Response, error) {
	if reply.status >= http.StatusMultipleChoices {
		refusal, err := parseRefusal(reply)
		if err != nil {
			return nil, OutcomeUnknown.Wrap(err, "job %s", id).WithProperty(propertyJob, id)
		}
		return nil, fromEntry(id, refusal)
	}
	var response jobs.Response
	err := json.Unmarshal(reply.body, &response)
	known := response.State == jobs.StateRunning || response.State == jobs.StateComplete
	if err != nil || response.ID != id || !known {
		return nil, OutcomeUnknown.New("unreadable answer to job %s", id).WithProperty(propertyJob, id)
	}
	return &response, nil
}
