package rpc

import (
	"context"
	"net"
	"net/http"
	"time"
)

// ServeUntil serves every listener with the server at the same place, until the
// context ends or a server fails. It closes nothing.
func ServeUntil(ctx context.Context, servers []*http.Server, listeners []net.Listener) error {
	failed := make(chan error, len(servers))
	for i, s := range servers {
		go func() { failed <- Serve(s, listeners[i]) }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

const drainPoll = 20 * time.Millisecond

// Drain waits until the work in hand has ended, at most for the limit, and
// reports whether it did. Without a limit a process whose peer is gone for good
// would never end.
func Drain(limit time.Duration, drained func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if drained() {
			return true
		}
		time.Sleep(drainPoll)
	}
	return false
}
