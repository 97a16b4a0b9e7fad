package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/agent"
	coreentry "github.com/papayahoist/papayahoist/dispatch/entry"
	"github.com/papayahoist/papayahoist/dispatch/keyhome"
	"github.com/papayahoist/papayahoist/dispatch/link"
	nodeagent "github.com/papayahoist/papayahoist/node/agent"
	"github.com/papayahoist/papayahoist/node/entry"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// relay forwards connections to a target. After stall, the connections that were
// open stay open and discard all data, while new ones work.
type relay struct {
	listener net.Listener
	target   atomic.Value // string

	mu    sync.Mutex
	conns []*relayConn
}

type relayConn struct {
	client, server net.Conn
	stalled        atomic.Bool
}

func newRelay(t *testing.T) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l}
	t.Cleanup(r.close)
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		target, set := r.target.Load().(string)
		if !set {
			// The target process has not started yet, but others already try its address.
			_ = client.Close()
			continue
		}
		server, err := net.Dial("tcp", target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &relayConn{client: client, server: server}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.forward(client, server)
		go c.forward(server, client)
	}
}

func (c *relayConn) forward(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if c.stalled.Load() {
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// stall makes the open connections discard all data and returns their number.
func (r *relay) stall() (connections int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.stalled.Store(true)
	}
	return len(r.conns)
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_, _ = c.client.Close(), c.server.Close()
	}
}

const keySkew = time.Second

var shortLinkTimeouts = link.Options{
	AckDelay: 20 * time.Millisecond, AckTimeout: 100 * time.Millisecond,
	Heartbeat: 50 * time.Millisecond, HeartbeatTimeout: 200 * time.Millisecond,
}

// blockingEndpoint starts tasks and ends them once released is closed.
type blockingEndpoint struct {
	starts   atomic.Int32
	started  chan struct{}
	released chan struct{}
}

func newBlockingEndpoint() *blockingEndpoint {
	return &blockingEndpoint{started: make(chan struct{}, 100), released: make(chan struct{})}
}

func (h *blockingEndpoint) Run(_ context.Context, r agent.Run) *pb.TaskResult {
	h.starts.Add(1)
	h.started <- struct{}{}
	<-h.released
	return &pb.TaskResult{Outcome: pb.Outcome_OUTCOME_COMPLETE, Body: r.Payload}
}

func (h *blockingEndpoint) Stop(context.Context, agent.TaskRef) error { return nil }

// site runs processes until the test ends.
type site struct {
	t   *testing.T
	ctx context.Context
	wg  sync.WaitGroup
	// agents is the number of agents started, used for their names.
	agents int
}

func newSite(t *testing.T) *site {
	ctx, cancel := context.WithCancel(t.Context())
	s := &site{t: t, ctx: ctx}
	t.Cleanup(func() { cancel(); s.wg.Wait() })
	return s
}

func (s *site) entry(name string, peers func() []*pb.Peer) *entry.Entry {
	return s.entryWith(name, peers, nil)
}

func (s *site) entryWith(name string, peers func() []*pb.Peer, leaseClock func() time.Time) *entry.Entry {
	contract := &pb.Contract{
		Name: "desk", Waiting: 1000, DefaultTimeoutMs: 20_000, Class: pb.Class_CLASS_NORMAL, Weight: 1,
		Rate: 10_000, Burst: 1000, Concurrency: 100, MemoryBytes: 64 << 30,
	}
	e, err := entry.New(entry.Options{
		Hello:         &pb.EntryHello{Entry: name, Incarnation: entry.NewIncarnation()},
		CallersListen: "127.0.0.1:0", NodesListen: "127.0.0.1:0", LeaseClock: leaseClock,
		Contract: func(string) *pb.Contract { return contract }, Peers: peers,
		Core:   coreentry.Options{Link: shortLinkTimeouts, KeyResolver: keyhome.Options{Skew: keySkew}},
		Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.wg.Go(func() { _ = e.Run(s.ctx) })
	return e
}

func (s *site) agent(e *entry.Entry, at string, ep nodeagent.Endpoint) *nodeagent.Agent {
	s.agents++
	a, err := nodeagent.New(nodeagent.Options{
		Hello:    &pb.AgentHello{Agent: fmt.Sprint("a", s.agents), Incarnation: entry.NewIncarnation(), Slots: 4, Address: at},
		Join:     []string{e.NodesAddress()},
		Endpoint: ep, NodesListen: "127.0.0.1:0", Core: agent.Options{Link: shortLinkTimeouts},
		Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.wg.Go(func() { _ = a.Run(s.ctx) })
	return a
}

func token(t *testing.T, e *entry.Entry) string {
	resp, err := http.Get("http://" + e.CallersAddress() + jobs.PathHome)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var home jobs.Home
	if err := json.NewDecoder(resp.Body).Decode(&home); err != nil {
		t.Fatal(err)
	}
	return home.Token
}

func submit(t *testing.T, e *entry.Entry, id string) (int, jobs.Response) {
	body, err := json.Marshal(jobs.SubmitRequest{ID: id, Contract: "desk", Kind: "gauge", Tasks: []jobs.Task{{Payload: []byte("x")}}})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+e.CallersAddress()+jobs.PathJobs, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Error(err)
		return 0, jobs.Response{}
	}
	defer func() { _ = resp.Body.Close() }()
	var out jobs.Response
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		t.Error(err)
	}
	return resp.StatusCode, out
}

func noPeers() []*pb.Peer { return nil }

// A middlebox between an entry and an agent drops their connection's state while a
// task runs: the connection stays open and carries nothing. The result must arrive
// over a new connection; otherwise the caller would wait until the deadline for
// work that is done.
func TestUnresponsiveLink(t *testing.T) {
	r := newRelay(t) // closed after the site has stopped
	s := newSite(t)
	e := s.entry("e1", noPeers)
	ep := newBlockingEndpoint()
	a := s.agent(e, r.address(), ep)
	r.target.Store(a.ListenAddress())
	go func() {
		<-ep.started
		if r.stall() == 0 {
			t.Error("no connection to make unresponsive")
		}
		close(ep.released)
	}()
	status, out := submit(t, e, "")
	if status != http.StatusOK || len(out.Results) != 1 || string(out.Results[0].Body) != "x" {
		t.Errorf("status %d with %+v, want the complete answer", status, out)
	}
	if n := ep.starts.Load(); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// The connection between two entries stays open but carries nothing when a caller
// reaches the entry that is not its job's home. The request must be forwarded over
// a new connection, and the job must run once.
func TestUnresponsiveForward(t *testing.T) {
	r := newRelay(t) // closed after the site has stopped
	s := newSite(t)
	home := s.entry("e1", noPeers)
	r.target.Store(home.ListenAddress())
	ep := newBlockingEndpoint()
	close(ep.released)
	s.agent(home, "", ep)
	id := token(t, home)
	incarnation := id[:len(id)-len("-0")]
	other := s.entry("e2", func() []*pb.Peer {
		return []*pb.Peer{{Entry: "e1", Incarnation: incarnation, Address: r.address()}}
	})
	if status, _ := submit(t, other, id+".first"); status != http.StatusOK {
		t.Fatalf("status %d before the fault", status)
	}
	if r.stall() == 0 {
		t.Fatal("no connection to make unresponsive")
	}
	status, out := submit(t, other, id+".second")
	if status != http.StatusOK || len(out.Results) != 1 {
		t.Errorf("status %d with %+v, want the complete answer", status, out)
	}
	if n := ep.starts.Load(); n != 2 {
		t.Errorf("%d starts of two tasks", n)
	}
}

// A home accepts connections and never replies while hundreds of callers fetch its
// jobs at another entry. If each request were retried, the fault would double the
// messages. Each caller must soon be answered that the outcome is unknown.
func TestUnresponsiveHomeDoesNotMultiplyMessages(t *testing.T) {
	const callers = 400
	var requests atomic.Int32
	server := rpc.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}), nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })

	s := newSite(t)
	home := entry.NewIncarnation()
	e := s.entry("e2", func() []*pb.Peer {
		return []*pb.Peer{{Entry: "e1", Incarnation: home, Address: l.Addr().String()}}
	})
	began := time.Now()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			resp, err := http.Get("http://" + e.CallersAddress() + jobs.PathJobs + "/" + home + "-0.x?contract=desk&wait=1ms")
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = resp.Body.Close() }()
			var out jobs.Error
			if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
				t.Error(err)
			}
			if out.Code != jobs.CodeHomeLost || out.Outcome != jobs.OutcomeUnknown || out.RetryAfterMillis == 0 {
				t.Errorf("got %+v, want outcome unknown and a time to retry after", out)
			}
		})
	}
	wg.Wait()
	const perSecond, burst = 20, 50
	limit := callers + burst + perSecond*int(time.Since(began)/time.Second+1)
	if n := int(requests.Load()); n > limit {
		t.Errorf("%d messages for %d requests, want at most %d", n, callers, limit)
	}
}
