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
	"github.com/papayahoist/papayahoist/node/process"
	"github.com/papayahoist/papayahoist/node/settings"
	standin "github.com/papayahoist/papayahoist/platform/standin/endpoint"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("site")
	// ErrStart is returned when a process or component of the site can't be started.
	ErrStart = Errors.NewType("start")
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
	// Delay is the one-way network delay between any two processes, CallerDelay
	// that between a caller and an entry.
	Delay, CallerDelay time.Duration
	Contracts          []*pb.Contract
	DrainTimeout       time.Duration
	// EntryCore and AgentCore configure the decision logic of entries and agents.
	EntryCore coreentry.Options
	AgentCore coreagent.Options
	Logger    *slog.Logger
}

// Site is a running site. Its methods are safe for concurrent use, but the same
// process must not be stopped and started concurrently.
type Site struct {
	opts    Options
	store   *Store
	entries []*Entry
	agents  []*Agent
	wg      sync.WaitGroup

	mu         sync.Mutex
	registries []*prometheus.Registry // one per incarnation
}

// newRegistry creates the metrics registry of a new incarnation.
func (s *Site) newRegistry() *prometheus.Registry {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := prometheus.NewRegistry()
	s.registries = append(s.registries, r)
	return r
}

// Start starts a site. The caller must call Stop.
func Start(opts Options) (*Site, error) {
	s := &Site{opts: opts}
	var err error
	if s.store, err = newStore(opts); err != nil {
		return nil, err
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

// Stop drains all entries, then all agents, and releases the resources of the
// site.
func (s *Site) Stop() {
	s.forEachProcess(func(a *Agent) { a.Stop() }, func(e *Entry) { e.Stop() })
	for _, a := range s.agents {
		_ = a.server.Close()
		a.relay.Close()
	}
	for _, e := range s.entries {
		e.callers.Close()
		e.nodes.Close()
	}
	s.store.close()
	s.wg.Wait()
}

// forEachProcess calls entries for all entries concurrently, then agents for all
// agents.
func (s *Site) forEachProcess(agents func(*Agent), entries func(*Entry)) {
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

// Entries returns the entries.
func (s *Site) Entries() []*Entry { return s.entries }

// Agents returns the agents.
func (s *Site) Agents() []*Agent { return s.agents }

// Linked reports whether every agent has a link to every entry, and every entry
// has all contracts.
func (s *Site) Linked() bool {
	for _, e := range s.entries {
		n := e.latest()
		if n.Links() < len(s.agents) || n.Config().Snapshot().Len() < len(s.opts.Contracts) {
			return false
		}
	}
	return true
}

// joinAddresses returns the node addresses of the entries started so far.
func (s *Site) joinAddresses() []string {
	var all []string
	for _, e := range s.entries {
		all = append(all, e.nodes.Address())
	}
	return all
}

// Store returns the stand-in of the platform's key-value service.
func (s *Site) Store() *Store { return s.store }

// CallerURLs returns the base URLs on which the entries serve callers.
func (s *Site) CallerURLs() []string {
	var out []string
	for _, e := range s.entries {
		out = append(out, e.CallersURL())
	}
	return out
}

func (s *Site) failureDomain(i int) string {
	return s.opts.FailureDomains[i%len(s.opts.FailureDomains)]
}

// lifecycle is the common part of Entry and Agent: it runs one incarnation of a
// process after another.
type lifecycle struct {
	mu     sync.Mutex
	cancel context.CancelFunc
	kill   func()
	done   chan struct{}
}

func (r *lifecycle) start(s *Site, run func(context.Context) error, kill func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	r.mu.Lock()
	r.cancel, r.kill, r.done = cancel, kill, done
	r.mu.Unlock()
	s.wg.Go(func() {
		defer close(done)
		if err := run(ctx); err != nil {
			s.opts.Logger.Debug("process ended", "err", err)
		}
	})
}

// Stop ends the process as an operator would: it drains first.
func (r *lifecycle) Stop() {
	r.mu.Lock()
	cancel, done := r.cancel, r.done
	r.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
}

// Kill ends the process at once, without notifying its peers.
func (r *lifecycle) Kill() {
	r.mu.Lock()
	kill, done := r.kill, r.done
	r.mu.Unlock()
	kill()
	<-done
}

// loopback is a listen address whose port the kernel chooses.
const loopback = "127.0.0.1:0"

// entryEvents is how many events an entry keeps. It is more than an agent keeps,
// since an entry records the work of all agents.
const entryEvents = 1 << 16

// Entry is one entry of a site.
type Entry struct {
	lifecycle
	site    *Site
	index   int
	callers *Relay
	nodes   *Relay

	stateMu sync.Mutex
	current *process.Entry
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

// Start starts a new incarnation of the entry.
func (e *Entry) Start() error {
	s := e.site
	o := settings.DefaultEntry()
	o.Name, o.FailureDomain = e.Name(), s.failureDomain(e.index)
	o.CallersListen, o.NodesListen, o.OperatorsListen = loopback, loopback, loopback
	o.NodesAddress = e.nodes.Address()
	o.StoreAddresses = []string{s.store.Address()}
	o.Join = s.joinAddresses()
	o.DrainTimeout = s.opts.DrainTimeout
	n, err := process.NewEntry(process.EntryOptions{
		Settings: o, Core: s.opts.EntryCore, EventCapacity: entryEvents, Registry: s.newRegistry(), Logger: s.opts.Logger,
	})
	if err != nil {
		return ErrStart.Wrap(err, "entry %d", e.index)
	}
	e.callers.SetBackend(n.CallersAddress())
	e.nodes.SetBackend(n.ListenAddress())
	e.stateMu.Lock()
	e.current = n
	e.stateMu.Unlock()
	e.start(s, n.Run, n.Kill)
	return nil
}

// latest returns the incarnation that runs, or the last one that ran.
func (e *Entry) latest() *process.Entry {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return e.current
}

// Name returns the entry's name, the same for every incarnation.
func (e *Entry) Name() string { return fmt.Sprintf("entry-%d", e.index) }

// CallersURL returns the base URL for callers.
func (e *Entry) CallersURL() string { return "http://" + e.callers.Address() }

// OperatorsAddress returns the operators' address of the current incarnation.
func (e *Entry) OperatorsAddress() string { return e.latest().Peer().GetOperatorAddress() }

// Links returns the number of agents with an open link.
func (e *Entry) Links() int {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return e.current.Links()
}

// CallersRelay returns the relay between callers and the entry.
func (e *Entry) CallersRelay() *Relay { return e.callers }

// NodesRelay returns the relay between other processes and the entry.
func (e *Entry) NodesRelay() *Relay { return e.nodes }

// Agent is one agent of a site with its worker.
type Agent struct {
	lifecycle
	site     *Site
	index    int
	relay    *Relay
	endpoint *standin.Worker
	server   *http.Server
	listener net.Listener
}

func (s *Site) newAgent(i int) (*Agent, error) {
	relay, err := NewRelay(s.opts.Delay)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, ErrStart.Wrap(err, "worker %d", i)
	}
	w := standin.NewWorker(standin.Options{Cores: s.opts.Cores, MemoryBytes: s.opts.MemoryBytes})
	a := &Agent{site: s, index: i, relay: relay, endpoint: w, listener: ln, server: &http.Server{Handler: w.Handler(), ReadHeaderTimeout: time.Second}}
	s.wg.Go(func() { _ = a.server.Serve(ln) })
	return a, a.Start()
}

// Start starts a new incarnation of the agent beside the same endpoint.
func (a *Agent) Start() error {
	s := a.site
	rack := a.index / max(1, s.opts.WorkersPerRack)
	o := settings.DefaultAgent()
	o.Name, o.Worker, o.Rack = a.Name(), fmt.Sprintf("worker-%02d", a.index), fmt.Sprintf("rack-%d", rack)
	o.FailureDomain = s.failureDomain(rack)
	o.NodesListen, o.OperatorsListen = loopback, loopback
	o.NodesAddress = a.relay.Address()
	o.EndpointAddress, o.Join = a.listener.Addr().String(), s.joinAddresses()
	o.Slots, o.Connections, o.Cores, o.MemoryBytes = s.opts.Slots, s.opts.Connections, s.opts.Cores, s.opts.MemoryBytes
	o.DrainTimeout = s.opts.DrainTimeout
	n, err := process.NewAgent(process.AgentOptions{
		Settings: o, Core: s.opts.AgentCore, Registry: s.newRegistry(), Logger: s.opts.Logger,
	})
	if err != nil {
		return ErrStart.Wrap(err, "agent %d", a.index)
	}
	a.relay.SetBackend(n.ListenAddress())
	a.start(s, n.Run, n.Kill)
	return nil
}

// Name returns the agent's name, the same for every incarnation.
func (a *Agent) Name() string { return fmt.Sprintf("agent-%02d", a.index) }

// Relay returns the relay between entries and the agent.
func (a *Agent) Relay() *Relay { return a.relay }

// Worker returns the stand-in endpoint beside the agent.
func (a *Agent) Worker() *standin.Worker { return a.endpoint }
