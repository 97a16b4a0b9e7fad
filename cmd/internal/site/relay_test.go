package site

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
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
