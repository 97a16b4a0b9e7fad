//go:build crowd

package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// crowd is a number of clients, each of which opens a connection, sends, and stays.
type crowd struct {
	clients int
	address string
	// send sends what one client sends. What it returns is ignored: a server may close the
	// connection at any time.
	send func(c net.Conn) error
	// deaf clients read no response.
	deaf bool
	// connect, if not nil, takes the place of send: it opens a connection of its own, and returns
	// when that has ended.
	connect func(t *testing.T, address string)
}

const (
	// crowdTime is how long clients open a new connection where theirs was closed. They keep the
	// last one open until the test ends.
	crowdTime = 5 * time.Second
	// reopenDelay keeps the clients from taking all of the machine's processors.
	reopenDelay = 50 * time.Millisecond
)

// gather runs the crowd. It returns when no client opens connections any more; those that are
// open stay so until the test ends.
func (c crowd) gather(t *testing.T) {
	end := time.Now().Add(crowdTime)
	for range c.clients {
		go func() {
			for time.Now().Before(end) && t.Context().Err() == nil {
				c.connectOnce(t)
				time.Sleep(reopenDelay)
			}
		}()
	}
	time.Sleep(time.Until(end))
}

// connectOnce opens one connection, sends, and stays until the other side closes it.
func (c crowd) connectOnce(t *testing.T) {
	if c.connect != nil {
		c.connect(t, c.address)
		return
	}
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return
	}
	var once sync.Once
	closeConn := func() { once.Do(func() { _ = conn.Close() }) }
	defer closeConn()
	go func() {
		<-t.Context().Done()
		closeConn()
	}()
	if c.deaf {
		_ = c.send(conn)
		<-t.Context().Done()
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
		closeConn()
	}()
	_ = c.send(conn)
	<-closed
}

// header returns the header of a request, without the empty line at its end.
func header(method, path string, fields ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: desk\r\n" + strings.Join(append(fields, ""), "\r\n")
}

func contentLength(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

const (
	chunked  = "Transfer-Encoding: chunked"
	protobuf = "Content-Type: application/proto"
)

// text returns a client that sends a text at once.
func text(s string) func(net.Conn) error {
	return func(c net.Conn) error {
		_, err := io.WriteString(c, s)
		return err
	}
}

// repeated returns a client that sends a text, and then a piece a number of times.
func repeated(first, piece string, times, pause int) func(net.Conn) error {
	return func(c net.Conn) error {
		if _, err := io.WriteString(c, first); err != nil {
			return err
		}
		for i := range times {
			if _, err := io.WriteString(c, piece); err != nil {
				return err
			}
			if pause > 0 && i%pause == pause-1 {
				time.Sleep(time.Millisecond)
			}
		}
		return nil
	}
}

// fields returns header fields with names of their own, of the given size in all.
func fields(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes-8; i++ {
		fmt.Fprintf(&b, "%04x:\r\n", i)
	}
	return b.String()
}
