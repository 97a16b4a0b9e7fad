package callerconn

import (
	"context"
	"net"
	"testing"
	"time"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (caller, served *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// The end of a connection must be seen, also behind data that has not been read, and must
// not be assumed on a connection that is open.
func TestEnded(t *testing.T) {
	for data, unread := range map[string][]byte{"nothing unread": nil, "data unread": []byte("unread")} {
		t.Run(data, func(t *testing.T) { testEnded(t, unread) })
	}
}

func testEnded(t *testing.T, unread []byte) {
	for name, c := range map[string]struct {
		end  func(caller, served *net.TCPConn)
		want bool
	}{
		"open":             {func(_, _ *net.TCPConn) {}, false},
		"closed":           {func(caller, _ *net.TCPConn) { _ = caller.Close() }, true},
		"half closed":      {func(caller, _ *net.TCPConn) { _ = caller.CloseWrite() }, true},
		"reset":            {func(caller, _ *net.TCPConn) { _, _ = caller.SetLinger(0), caller.Close() }, true},
		"closed by server": {func(_, served *net.TCPConn) { _ = served.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			caller, served := pair(t)
			if _, err := caller.Write(unread); err != nil {
				t.Fatal(err)
			}
			c.end(caller, served)
			ctx := WithConn(t.Context(), served)
			for c.want && !Ended(ctx) && t.Context().Err() == nil {
				time.Sleep(time.Millisecond)
			}
			if got := Ended(ctx); got != c.want {
				t.Errorf("Ended = %v, want %v", got, c.want)
			}
		})
	}
}

// A server that is waiting for the next request holds the connection's read lock.
func TestEndedDoesNotWaitForAPendingRead(t *testing.T) {
	caller, served := pair(t)
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = served.Read(make([]byte, 1))
	}()
	if Ended(WithConn(t.Context(), served)) {
		t.Error("an open connection counts as ended")
	}
	_ = caller.Close()
	<-read
}

func TestEndedWithoutConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	if Ended(ctx) {
		t.Error("a context without a connection counts as ended")
	}
	if cancel(); !Ended(ctx) {
		t.Error("a cancelled context counts as open")
	}
}
