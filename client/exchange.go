package client

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
)

const (
	// maxAnswerBytes bounds what is read of one response.
	maxAnswerBytes = 256 << 20
	// backoffBase and backoffMost bound the pause before a retry, which is
	// drawn evenly from zero to the base doubled with each attempt.
	backoffBase = 50 * time.Millisecond
	backoffMost = 2 * time.Second
)

// reply is one whole response.
type reply struct {
	status int
	body   []byte
}

// exchange sends one request and reads its whole response. wait is how long the
// entry may take on purpose. Errors are of type unsent or lost; after one, the
// next exchange goes to the next address.
func (c *Client) exchange(ctx context.Context, method, path string, body []byte, wait time.Duration) (*reply, error) {
	// A connection can go silent for good while new ones work: a middlebox
	// drops its state, and the request just hangs. No answer within the wait
	// and some slack is the sign; ending the request closes the connection.
	ctx, cancel := context.WithTimeout(ctx, wait+c.silence)
	defer cancel()
	base := c.bases[c.next.Load()%uint64(len(c.bases))]
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, unsent.Wrap(err, "request")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	answer, err := c.roundTrip(request)
	if err != nil {
		c.leaveEntry()
		return nil, err
	}
	return answer, nil
}

// leaveEntry makes the next exchange try another entry over a new connection:
// idle ones of the same path are as likely dead as the one that failed.
func (c *Client) leaveEntry() {
	c.next.Add(1)
	c.home.Store(nil)
	c.http.CloseIdleConnections()
}

func (c *Client) roundTrip(request *http.Request) (*reply, error) {
	response, err := c.http.Do(request)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, unsent.Wrap(err, "no connection")
		}
		return nil, lost.Wrap(err, "no response")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, lost.Wrap(err, "response cut short")
	}
	if token := response.Header.Get(jobs.HeaderHome); token != "" {
		c.home.Store(&home{token: token, heard: time.Now()})
	}
	return &reply{status: response.StatusCode, body: body}, nil
}

// pause waits before the retry that follows attempt, at least for hint. It
// fails at once when ctx would end first.
func (c *Client) pause(ctx context.Context, attempt int, hint time.Duration) error {
	most := min(backoffBase<<min(attempt, 10), backoffMost)
	// Jitter on top of the hint too: callers refused together are told the
	// same hint, and would come back together.
	delay := hint + time.Duration(rand.Int64N(int64(most)))
	delay = max(delay, c.budget.take(time.Now()))
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= delay {
		return context.DeadlineExceeded
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
