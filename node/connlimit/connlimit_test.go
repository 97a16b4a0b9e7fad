package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serve serves a handler on a limited port, and returns its address.
func serve(t *testing.T, l *Limiter, maxConns int, h http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	limited := l.Limit(Port{Name: "callers", MaxConns: maxConns, BodyTimeout: func() time.Duration { return time.Hour }}, ln, s)
	go func() { _ = s.Serve(limited) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String()
}

// echo responds with the body of a request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !Hold(r.Context(), int64(len(body))) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(body)
}

func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// exchange sends a request and returns the status of the response and its body.
func exchange(t *testing.T, c net.Conn, text string) (int, string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func post(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Clients that never end their requests must not keep out one that does.
func TestUnfinishedRequestsMakeRoom(t *testing.T) {
	for name, unfinished := range map[string]string{
		"connection": "", "header": "POST / HTTP/1.1\r\nHost: x\r\n", "body": strings.TrimSuffix(post("xyz"), "z"), "kept": post("xyz"),
	} {
		t.Run(name, func(t *testing.T) {
			l := New(1 << 20)
			address := serve(t, l, 3, echo)
			var lingering []net.Conn
			for range 3 {
				lingering = append(lingering, dial(t, address, unfinished))
			}
			for i := range 3 {
				if status, body := exchange(t, dial(t, address, ""), post("whole")); status != http.StatusOK || body != "whole" {
					t.Errorf("request %d: %d %q", i, status, body)
				}
			}
			if _, err := io.Copy(io.Discard, lingering[0]); err != nil && !strings.Contains(err.Error(), "reset") {
				t.Errorf("the first connection is open: %v", err)
			}
		})
	}
}

// Bodies that are received must not take more memory than the limit, and what they took must be
// free for others afterwards.
func TestMemoryOfBodiesIsLimited(t *testing.T) {
	l := New(400 << 10)
	address := serve(t, l, 100, echo)
	for range 50 {
		dial(t, address, strings.TrimSuffix(post(strings.Repeat("x", 20<<10)), "x"))
	}
	large := strings.Repeat("y", 60<<10)
	for range 5 {
		if status, body := exchange(t, dial(t, address, ""), post(large)); status != http.StatusOK || body != large {
			t.Errorf("status %d, %d bytes", status, len(body))
		}
	}
}

// A whole request for which there is no memory must be refused, and the connection closed.
func TestWholeRequestIsRefusedWithoutMemory(t *testing.T) {
	l := New(100 << 10)
	address := serve(t, l, 100, echo)
	c := dial(t, address, "")
	if status, _ := exchange(t, c, post(strings.Repeat("x", 90<<10))); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
	if status, _ := exchange(t, dial(t, address, ""), post("x")); status != http.StatusOK {
		t.Errorf("status %d afterwards, want 200", status)
	}
}

// A body that the handler doesn't read must not keep an ordinary caller from using the connection
// again, and must not be charged when the request is over.
func TestUnreadBodyIsDiscarded(t *testing.T) {
	l := New(1 << 20)
	address := serve(t, l, 3, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	c := dial(t, address, "")
	for range 3 {
		if status, _ := exchange(t, c, post(strings.Repeat("x", 50<<10))); status != http.StatusNotFound {
			t.Errorf("status %d, want 404", status)
		}
	}
	_ = c.Close()
	for l.used() > 0 {
		select {
		case <-t.Context().Done():
			t.Fatalf("%d bytes held after all connections have closed", l.used())
		case <-time.After(time.Millisecond):
		}
	}
}
