package connlimit

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Buffers are the sizes in bytes of the kernel's buffers of a connection: Receive holds what the
// process has not read, and Send what the client has not. Each limits the throughput to one of them
// for each round trip. Zero means the operating system's choice.
type Buffers struct{ Receive, Send int }

var (
	// SmallBuffers are for requests and responses of a few kilobytes.
	SmallBuffers = Buffers{Receive: 8 << 10, Send: 4 << 10}
	// LargeBuffers are for requests and responses of megabytes.
	LargeBuffers = Buffers{Receive: 16 << 10, Send: 16 << 10}
	// NodeBuffers are for messages between the system's processes.
	NodeBuffers = Buffers{Receive: 16 << 10}
)

// kernelFactor is the size of a buffer relative to what was asked for: Linux doubles it.
const kernelFactor = 2

// Listen listens at an address for connections with the given buffers.
func Listen(address string, b Buffers) (net.Listener, error) {
	set := func(fd uintptr) {
		for option, size := range map[int]int{unix.SO_RCVBUF: b.Receive, unix.SO_SNDBUF: b.Send} {
			if size > 0 {
				// With other buffers the port still works.
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, size)
			}
		}
	}
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return c.Control(set) }}
	return config.Listen(context.Background(), "tcp", address)
}
