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
	// maxResponseBytes limits how much of a response is read.
	maxResponseBytes = 256 << 20
	// backoffBase and backoffMost bound the pause before a retry, which is drawn
	// uniformly between zero and the base doubled with each attempt.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// reply is one complete response.
type reply struct {
	status int
	body   []byte
}

// exchange sends one request and reads its complete response. wait is how long
// the entry may hold the request. Errors are of type unsent or lost; after an
// error the next exchange uses the next address.
func (c *Client) exchange(ctx context.Context, method, path string, body []byte, wait time.Duration) (*reply, error) {
	// A middlebox that loses its connection state leaves requests hanging while
	// new connections work. A request without a response within wait plus
	// c.responseTimeout is therefore cancelled, which closes the connection.
	ctx, cancel := context.WithTimeout(ctx, wait+c.responseTimeout)
	defer cancel()
	base := c.baseURLs[c.next.Load()%uint64(len(c.baseURLs))]
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
		c.switchEntry()
		return nil, err
	}
	return answer, nil
}

// switchEntry makes the next exchange use another entry and a new connection:
// idle connections on the same path are probably dead as well.
func (c *Client) switchEntry() {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, lost.Wrap(err, "response cut short")
	}
	if token := response.Header.Get(jobs.HeaderHome); token != "" {
		c.home.Store(&home{token: token, receivedAt: time.Now()})
	}
	return &reply{status: response.StatusCode, body: body}, nil
}

// pause waits before the retry that follows attempt, at least for hint. It
// returns an error at once if ctx would end first.
func (c *Client) pause(ctx context.Context, attempt int, hint time.Duration) error {
	maxDelay := min(backoffBase<<min(attempt, 10), backoffMax)
	// The hint gets jitter too: callers that were refused together got the same
	// hint, and would otherwise return together.
	delay := hint + time.Duration(rand.Int64N(int64(maxDelay)))
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
