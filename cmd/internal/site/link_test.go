package site

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/node/process"
	"github.com/papayahoist/papayahoist/node/settings"
	"github.com/papayahoist/papayahoist/platform/adapter"
	"github.com/papayahoist/papayahoist/platform/adapter/standin"
)

const (
	// smallLink is the bandwidth, in bytes per second, of a link over which a large
	// configuration takes longer than any call without progress may.
	smallLink = 512 << 10
	// largestValue is the size of the largest value that a platform's store accepts.
	largestValue = 1 << 20
)

// linkedEntries runs entries beside a store, each behind a small link of its own.
type linkedEntries struct {
	t       *testing.T
	store   *standin.Store
	callers []string // addresses for callers
	links   []*Link
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func startLinkedEntries(t *testing.T, n int) *linkedEntries {
	s := &linkedEntries{t: t, store: standin.NewStore()}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	relay := func(l *Link, backend string, inbound Direction) string {
		r, err := NewRelay(0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		r.SetBackend(backend)
		r.SetLink(l, inbound)
		return r.Address()
	}
	var listen, seeds []string
	for range n {
		l, address := NewLink(smallLink), freeAddress(t)
		s.links = append(s.links, l)
		listen, seeds = append(listen, address), append(seeds, relay(l, address, ToBackend))
	}
	for i, l := range s.links {
		s.start(i, listen[i], seeds, relay(l, strings.TrimPrefix(server.URL, "http://"), FromBackend))
	}
	return s
}

func (s *linkedEntries) start(i int, listen string, seeds []string, storeAddress string) {
	callers := freeAddress(s.t)
	e, err := process.NewLeasedEntry(process.LeasedEntryOptions{Out: io.Discard, Settings: settings.LeasedEntry{
		Name: fmt.Sprintf("entry-%d", i), FailureDomain: "hall", CallersListen: callers, ReadyListen: freeAddress(s.t),
		NodesListen: listen, NodesAddress: seeds[i], StoreAddress: storeAddress, Seeds: seeds, ProcessorShare: 1,
		Bounds: settings.Bounds{ResendAfter: 1300 * time.Millisecond, MaxLease: time.Second, StopTime: 50 * time.Millisecond, GracePeriod: time.Second},
	}})
	if err != nil {
		s.t.Fatal(err)
	}
	s.callers = append(s.callers, callers)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	s.t.Cleanup(func() {
		stop()
		<-ended
	})
}

// configure writes a version whose size is about the given one, with a queue of its own, and
// returns its size.
func (s *linkedEntries) configure(version, size int) int {
	route := func(name string) map[string]any {
		return map[string]any{
			"name": name, "host": "desk", "prefix": "/" + name + "/", "service": "s", "timeout_ms": 5000, "target_latency_ms": 500,
			"priority": 0, "attempts": 2, "stretch": 1.6,
		}
	}
	one, _ := json.Marshal(route("q000000"))
	routes := []any{route(fmt.Sprintf("version%d", version))}
	for i := range size / (len(one) + 1) {
		routes = append(routes, route(fmt.Sprintf("q%06d", i)))
	}
	text, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": []any{map[string]any{"name": "s"}}})
	s.store.Put(adapter.ConfigurationKey, text)
	return len(text)
}

// inForce reports whether an entry knows the queue of a version.
func (s *linkedEntries) inForce(entry, version int) bool {
	req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/version%d/", s.callers[entry], version), nil)
	req.Host = "desk"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// waitInForce waits until every entry has a version in force.
func (s *linkedEntries) waitInForce(version int) {
	s.t.Helper()
	for end := time.Now().Add(time.Minute); ; time.Sleep(20 * time.Millisecond) {
		missing := []int{}
		for i := range s.callers {
			if !s.inForce(i, version) {
				missing = append(missing, i)
			}
		}
		if len(missing) == 0 {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("version %d isn't in force at entries %v after a minute; %d bytes have passed over the links", version, missing, s.bytes())
		}
	}
}

// bytes returns how many bytes have passed over all links.
func (s *linkedEntries) bytes() (n int64) {
	for _, l := range s.links {
		n += l.Bytes()
	}
	return n
}

// A configuration takes longer over an entry's link than a call without progress may. Each
// entry must receive it all the same, and no more often than once from the store and once from
// another entry: what is sent in vain keeps the links full.
func TestLargeConfigurationReachesEntriesBehindSmallLinks(t *testing.T) {
	const entries = 6
	s := startLinkedEntries(t, entries)
	s.configure(1, 1000)
	s.waitInForce(1)
	for version := 2; version <= 4; version++ {
		before := s.bytes()
		size := s.configure(version, largestValue*9/10)
		s.waitInForce(version)
		// From the store in base64; between entries in the shorter form of messages.
		if got, limit := s.bytes()-before, entries*(int64(size)*4/3+int64(size)); got > limit {
			t.Errorf("version %d of %d bytes: %d bytes have passed over the links, want at most %d", version, size, got, limit)
		}
	}
}
