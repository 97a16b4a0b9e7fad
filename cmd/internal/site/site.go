package site

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	coreagent "github.com/papayahoist/papayahoist/dispatch/agent"
	coreentry "github.com/papayahoist/papayahoist/dispatch/entry"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/node/agent"
	"github.com/papayahoist/papayahoist/node/entry"
	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/platform/endpoint"
	standin "github.com/papayahoist/papayahoist/platform/standin/endpoint"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("site")
	// ErrSite is given when a part of the site can't be started.
	ErrSite = Errors.NewType("start")
)

// Options configure a Site.
type Options struct {
	Entries        int
	Workers        int
	WorkersPerRack int
	FailureDomains []string
	Slots, Cores   uint32
	Connections    uint32
	MemoryBytes    uint64
	// Delay is one way between any two processes, CallerDelay between a caller
	// and an entry.
	Delay, CallerDelay time.Duration
	Contracts          []*pb.Contract
	DrainTimeout       time.Duration
	// EntryCore and AgentCore set what the decisions leave open.
	EntryCore coreentry.Options
	AgentCore coreagent.Options
	Logger    *slog.Logger
}

// Site is a running site. Its methods are safe for concurrent use, but one part
// must not be stopped and started by two callers at once.
type Site struct {
	opts      Options
	contracts map[string]*pb.Contract
	entries   []*Entry
	agents    []*Agent
	wg        sync.WaitGroup

	mu         sync.Mutex
	registries []*prometheus.Registry // of every incarnation so far
}

// registry is for the metrics of one more process.
func (s *Site) registry() *prometheus.Registry {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := prometheus.NewRegistry()
	s.registries = append(s.registries, r)
	return r
}

// Start brings up the site. It ends with Stop.
func Start(opts Options) (*Site, error) {
	s := &Site{opts: opts, contracts: make(map[string]*pb.Contract)}
	for _, c := range opts.Contracts {
		s.contracts[c.Name] = c
	}
	for i := range opts.Entries {
		e, err := s.newEntry(i)
		if err != nil {
			s.Stop()
			return nil, err
		}
		s.entries = append(s.entries, e)
	}
	for i := range opts.Workers {
		a, err := s.newAgent(i)
		if err != nil {
			s.Stop()
			return nil, err
		}
		s.agents = append(s.agents, a)
	}
	return s, nil
}

// Stop drains every agent and entry, entries last.
func (s *Site) Stop() {
	s.all(func(a *Agent) { a.Stop() }, func(e *Entry) { e.Stop() })
	for _, a := range s.agents {
		_ = a.worker.Close()
		a.relay.Close()
	}
	for _, e := range s.entries {
		e.callers.Close()
		e.nodes.Close()
	}
	s.wg.Wait()
}

func (s *Site) all(agents func(*Agent), entries func(*Entry)) {
	var wg sync.WaitGroup
	for _, e := range s.entries {
		wg.Go(func() { entries(e) })
	}
	wg.Wait()
	for _, a := range s.agents {
		wg.Go(func() { agents(a) })
	}
	wg.Wait()
}

// Entries lists the entries.
func (s *Site) Entries() []*Entry { return s.entries }

// Agents lists the agents.
func (s *Site) Agents() []*Agent { return s.agents }

// Linked reports whether every agent has a link to every entry.
func (s *Site) Linked() bool {
	for _, e := range s.entries {
		e.stateMu.Lock()
		n := e.current.Links()
		e.stateMu.Unlock()
		if n < len(s.agents) {
			return false
		}
	}
	return true
}

// CallerURLs lists where callers reach the entries.
func (s *Site) CallerURLs() []string {
	var out []string
	for _, e := range s.entries {
		out = append(out, e.CallersURL())
	}
	return out
}

func (s *Site) domain(i int) string {
	return s.opts.FailureDomains[i%len(s.opts.FailureDomains)]
}

func (s *Site) peers() []*pb.Peer {
	var out []*pb.Peer
	for _, e := range s.entries {
		if p := e.peer(); p != nil {
			out = append(out, p)
		}
	}
	return out
}

// process is the part that entries and agents share: one run after another.
type process struct {
	mu     sync.Mutex
	cancel context.CancelFunc
	kill   func()
	done   chan struct{}
}

func (p *process) start(s *Site, run func(context.Context) error, kill func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p.mu.Lock()
	p.cancel, p.kill, p.done = cancel, kill, done
	p.mu.Unlock()
	s.wg.Go(func() {
		defer close(done)
		if err := run(ctx); err != nil {
			s.opts.Logger.Debug("process ended", "err", err)
		}
	})
}

// Stop ends the process as an operator would: it drains first.
func (p *process) Stop() {
	p.mu.Lock()
	cancel, done := p.cancel, p.done
	p.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
}

// Kill ends the process at once, without a word to anyone.
func (p *process) Kill() {
	p.mu.Lock()
	kill, done := p.kill, p.done
	p.mu.Unlock()
	kill()
	<-done
}

// entryEvents is how many events an entry keeps: more than an agent, for it
// sees the work of all.
const entryEvents = 1 << 16

// Entry is one entry of a site.
type Entry struct {
	process
	site    *Site
	index   int
	callers *Relay
	nodes   *Relay

	stateMu sync.Mutex
	current *entry.Entry
	self    *pb.Peer
}

func (s *Site) newEntry(i int) (*Entry, error) {
	e := &Entry{site: s, index: i}
	var err error
	if e.callers, err = NewRelay(s.opts.CallerDelay); err != nil {
		return nil, err
	}
	if e.nodes, err = NewRelay(s.opts.Delay); err != nil {
		return nil, err
	}
	return e, e.Start()
}

// Start runs a new incarnation of the entry.
func (e *Entry) Start() error {
	s := e.site
	hello := &pb.EntryHello{
		Entry: fmt.Sprintf("entry-%d", e.index), Incarnation: entry.NewIncarnation(),
		Address: e.nodes.Address(), FailureDomain: s.domain(e.index),
	}
	core, registry := s.opts.EntryCore, s.registry()
	core.Events = event.NewRing(event.Options{Process: hello.Entry, Size: entryEvents})
	n, err := entry.New(entry.Options{
		Hello: hello, CallersListen: "127.0.0.1:0", NodesListen: "127.0.0.1:0", OperatorsListen: "127.0.0.1:0",
		Contract: func(name string) *pb.Contract { return s.contracts[name] },
		Peers:    s.peers, DrainTimeout: s.opts.DrainTimeout, Core: core,
		Metrics: metrics.NewEntry(registry, metrics.Options{Role: "entry", Ring: core.Events}), Gatherer: registry,
		Logger: s.opts.Logger.With("process", hello.Entry),
	})
	if err != nil {
		return ErrSite.Wrap(err, "entry %d", e.index)
	}
	e.callers.SetBackend(n.CallersAddress())
	e.nodes.SetBackend(n.ListenAddress())
	e.stateMu.Lock()
	e.current = n
	e.self = &pb.Peer{
		Entry: hello.Entry, Incarnation: hello.Incarnation, Address: hello.Address,
		FailureDomain: hello.FailureDomain, OperatorAddress: n.OperatorsAddress(),
	}
	e.stateMu.Unlock()
	e.start(s, n.Run, n.Kill)
	return nil
}

// peer is the entry as others know it.
func (e *Entry) peer() *pb.Peer {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return e.self
}

// CallersURL is where callers reach the entry.
func (e *Entry) CallersURL() string { return "http://" + e.callers.Address() }

// OperatorsAddress is where the running incarnation serves operators.
func (e *Entry) OperatorsAddress() string { return e.peer().GetOperatorAddress() }

// Links is the number of agents with an open link.
func (e *Entry) Links() int {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return e.current.Links()
}

// CallersRelay is between callers and the entry.
func (e *Entry) CallersRelay() *Relay { return e.callers }

// NodesRelay is between the entry and those that call it.
func (e *Entry) NodesRelay() *Relay { return e.nodes }

// Agent is one agent of a site with its worker.
type Agent struct {
	process
	site   *Site
	index  int
	relay  *Relay
	state  *standin.Worker
	worker *http.Server
	listen net.Listener
}

func (s *Site) newAgent(i int) (*Agent, error) {
	relay, err := NewRelay(s.opts.Delay)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, ErrSite.Wrap(err, "worker %d", i)
	}
	w := standin.NewWorker(standin.Options{Cores: s.opts.Cores, MemoryBytes: s.opts.MemoryBytes})
	a := &Agent{site: s, index: i, relay: relay, state: w, listen: ln, worker: &http.Server{Handler: w.Handler(), ReadHeaderTimeout: time.Second}}
	s.wg.Go(func() { _ = a.worker.Serve(ln) })
	return a, a.Start()
}

// Start runs a new incarnation of the agent beside the same endpoint.
func (a *Agent) Start() error {
	s := a.site
	hello := &pb.AgentHello{
		Agent: a.Name(), Incarnation: entry.NewIncarnation(), Address: a.relay.Address(),
		FailureDomain: s.domain(a.index / max(1, s.opts.WorkersPerRack)), Worker: fmt.Sprintf("worker-%02d", a.index),
		Rack:  fmt.Sprintf("rack-%d", a.index/max(1, s.opts.WorkersPerRack)),
		Slots: s.opts.Slots, Cores: s.opts.Cores, MemoryBytes: s.opts.MemoryBytes,
	}
	client := endpoint.New(a.listen.Addr().String(), endpoint.Options{Connections: int(s.opts.Connections)})
	var join []string
	for _, e := range s.entries {
		join = append(join, e.nodes.Address())
	}
	core, registry := s.opts.AgentCore, s.registry()
	core.Events = event.NewRing(event.Options{Process: hello.Agent, Worker: hello.Worker})
	n, err := agent.New(agent.Options{
		Hello: hello, NodesListen: "127.0.0.1:0", OperatorsListen: "127.0.0.1:0", Join: join, Endpoint: agent.HTTPEndpoint{Client: client},
		DrainTimeout: s.opts.DrainTimeout, Core: core,
		Metrics: metrics.NewAgent(registry, metrics.Options{Role: "agent", Ring: core.Events}), Gatherer: registry,
		Logger: s.opts.Logger.With("process", hello.Agent),
	})
	if err != nil {
		return ErrSite.Wrap(err, "agent %d", a.index)
	}
	a.relay.SetBackend(n.ListenAddress())
	a.start(s, n.Run, n.Kill)
	return nil
}

// Name is the agent's name, the same for every incarnation.
func (a *Agent) Name() string { return fmt.Sprintf("agent-%02d", a.index) }

// Relay is between entries and the agent.
func (a *Agent) Relay() *Relay { return a.relay }

// Worker is the stand-in beside the agent.
func (a *Agent) Worker() *standin.Worker { return a.state }
