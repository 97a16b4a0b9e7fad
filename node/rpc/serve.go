package rpc

import (
	"context"
	"net"
	"net/http"
	"time"
)

// ServeUntil serves each listener with the server of the same index, until the
// context ends or a server fails. It returns the error of the failed server, and
// does not close the servers or listeners.
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

const drainPollInterval = 20 * time.Millisecond

// WaitDrained polls drained until it returns true or the limit has passed, and reports
// whether it returned true. Without a limit, a process whose peer never returns
// would never end.
func WaitDrained(limit time.Duration, drained func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if drained() {
			return true
		}
		time.Sleep(drainPollInterval)
	}
	return false
}
