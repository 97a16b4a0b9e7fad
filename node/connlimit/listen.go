package connlimit

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Sizes of the kernel's buffer of a connection for what the process has not read. It limits the
// throughput to one of them for each round trip. That for what the client has not read is half as
// large.
const (
	// SmallBuffer is for requests of a few kilobytes.
	SmallBuffer = 8 << 10
	// LargeBuffer is for requests of megabytes, and for links.
	LargeBuffer = 32 << 10
)

// kernelFactor is the size of a buffer relative to what was asked for: Linux doubles it.
const kernelFactor = 2

// Listen listens at an address for connections with buffers of the given size.
func Listen(address string, bufferBytes int) (net.Listener, error) {
	set := func(fd uintptr) {
		// With other buffers the port still works.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bufferBytes/2)
	}
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return c.Control(set) }}
	return config.Listen(context.Background(), "tcp", address)
}
