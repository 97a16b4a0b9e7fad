package site

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
)

// startEchoServer serves connections that return what they receive.
func startEchoServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return ln.Addr().String()
}

// A network delays packets and delivers them late, as TCP does after a
// partition. Held bytes must arrive complete and in order after the release, and
// none before it.
func TestRelayReleaseDeliversHeldBytes(t *testing.T) {
	for _, d := range []Direction{ToBackend, FromBackend, BothWays} {
		r, err := NewRelay(0)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		r.SetBackend(startEchoServer(t))
		c, err := net.Dial("tcp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		got := make([]byte, 5)
		exchange := func(text string) {
			if _, err := c.Write([]byte(text)); err != nil {
				t.Fatal(err)
			}
		}
		exchange("first")
		if _, err := io.ReadFull(c, got); err != nil || string(got) != "first" {
			t.Fatalf("%q, %v", got, err)
		}
		r.Hold(d, 1)
		exchange("late ")
		came := make(chan error, 1)
		go func() {
			_, err := io.ReadFull(c, got)
			came <- err
		}()
		select {
		case <-came:
			t.Fatal("bytes arrived while held")
		case <-time.After(20 * time.Millisecond):
		}
		r.Release()
		if err := <-came; err != nil || string(got) != "late " {
			t.Errorf("%q, %v after the release", got, err)
		}
	}
}

// A hold on every second connection must not affect the others.
func TestRelayHoldsSomeConnections(t *testing.T) {
	h := holdRule{ToBackend, 2}
	if h.matches(1, ToBackend) || !h.matches(2, ToBackend) || h.matches(2, FromBackend) {
		t.Error("holds the wrong connections")
	}
}

// A connection that closes at a closed gate must not leak its goroutine.
func TestGateOpensWhenClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g gate
		closed := make(chan struct{})
		g.hold()
		done := make(chan struct{})
		go func() { g.wait(closed); close(done) }()
		synctest.Wait()
		close(closed)
		<-done
	})
}

// newRefusingRelay returns a relay at an address from which no connection is made, so
// that its port isn't taken while it refuses.
func newRefusingRelay(t *testing.T) *Relay {
	t.Helper()
	r, err := NewRelayAt("127.0.0.2:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// openConnection connects through the relay and waits until the backend has answered.
func openConnection(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return c
}

func refusesConnections(r *Relay) bool {
	c, err := net.Dial("tcp", r.Address())
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// A port without a listener refuses new connections and resets open ones. A relay
// that closes them in order would look like a process that answers.
func TestRelayRefusesAndResetsConnections(t *testing.T) {
	r := newRefusingRelay(t)
	r.SetBackend(startEchoServer(t))
	address, open := r.Address(), openConnection(t, r)
	r.Refuse()
	if _, err := open.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("open connection: %v, want a reset", err)
	}
	if !refusesConnections(r) {
		t.Error("accepted a connection while refusing")
	}
	if err := r.Listen(time.Second); err != nil {
		t.Fatal(err)
	}
	if r.Address() != address {
		t.Errorf("listens at %s, before at %s", r.Address(), address)
	}
	openConnection(t, r)
}

// Of two overlapping refusals, the end of the shorter must not end the other.
func TestRelayRefusesUntilLastListen(t *testing.T) {
	r := newRefusingRelay(t)
	r.SetBackend(startEchoServer(t))
	r.Refuse()
	r.Refuse()
	if err := r.Listen(time.Second); err != nil {
		t.Fatal(err)
	}
	if !refusesConnections(r) {
		t.Error("the first of two Listen ended both refusals")
	}
	if err := r.Listen(time.Second); err != nil {
		t.Fatal(err)
	}
	openConnection(t, r)
}

// A connection that is accepted just before a refusal must not survive it.
func TestRelayResetsConnectionAcceptedBeforeRefusal(t *testing.T) {
	r := newRefusingRelay(t)
	accepting := r.ln
	r.Refuse()
	if err := r.Listen(time.Second); err != nil {
		t.Fatal(err)
	}
	if r.add(&relayedConn{}, accepting) {
		t.Error("a connection of the earlier listener was added")
	}
}

// A relay that can't listen again must say so, or the rest of a run would pass
// without its link.
func TestRelayListenReportsTakenAddress(t *testing.T) {
	r := newRefusingRelay(t)
	r.Refuse()
	taken, err := net.Listen("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if err := r.Listen(0); !errorx.IsOfType(err, ErrStart) {
		t.Errorf("error %v, want ErrStart", err)
	}
}

// A relay that is closed during a refusal must not listen again and leak its port.
func TestRelayStaysClosedAfterRefusal(t *testing.T) {
	r := newRefusingRelay(t)
	r.Refuse()
	r.Close()
	if err := r.Listen(time.Second); err != nil {
		t.Fatal(err)
	}
	if !refusesConnections(r) {
		t.Error("a closed relay listens again")
	}
}
