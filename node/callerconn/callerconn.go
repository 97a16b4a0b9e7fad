// Package callerconn reports whether a caller has ended the connection of its request.
//
// Package net/http notices the end of a connection when it next reads from it, which is
// after the handler has begun. A request that waited in a socket while the process had no
// CPU therefore looks new, although its caller may have sent it elsewhere meanwhile.
package callerconn

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type connKey struct{}

// WithConn returns a context with the connection of its requests. It is for
// http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Ended reports whether ctx has ended, or the caller has closed or reset the connection in
// it. It consumes no data. Of a context without a connection only its end is known.
func Ended(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, _ := ctx.Value(connKey{}).(net.Conn)
	s, ok := unwrap(c).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return errors.Is(err, net.ErrClosed)
	}
	// Control, unlike Read, doesn't wait for the server's pending read.
	ended := false
	err = raw.Control(func(fd uintptr) { ended = hungUp(int32(fd)) })
	return ended || errors.Is(err, net.ErrClosed)
}

// unwrap returns the innermost connection, such as that below TLS.
func unwrap(c net.Conn) net.Conn {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapped.NetConn()
	}
}

// hungUp reports whether the peer of a socket has closed or reset the connection.
//
// Most connections have nothing to read, which a read that can't block tells for less CPU
// than a poll. Only unread data hides the end from it.
func hungUp(fd int32) bool {
	var next [1]byte
	for {
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return false
		case err != nil || n == 0:
			return true
		default:
			return closedBehindData(fd)
		}
	}
}

// closedBehindData reports whether the peer has closed or reset the connection after data
// that has not been read.
func closedBehindData(fd int32) bool {
	fds := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && n > 0
		}
	}
}
