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
	opts    Options
	store   *Store
	entries []*Entry
	agents  []*Agent
	wg      sync.WaitGroup

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
	s.store.close()
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

// Linked reports whether every agent has a link to every entry, and every entry
// has the contracts.
func (s *Site) Linked() bool {
	for _, e := range s.entries {
		n := e.running()
		if n.Links() < len(s.agents) || n.Config().Snapshot().Len() < len(s.opts.Contracts) {
			return false
		}
	}
	return true
}

// join lists the nodes' addresses of the entries started so far.
func (s *Site) join() []string {
	var all []string
	for _, e := range s.entries {
		all = append(all, e.nodes.Address())
	}
	return all
}

// Store is the stand-in of the platform's key-value service.
func (s *Site) Store() *Store { return s.store }

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

// runner is the part that entries and agents share: one run after another.
type runner struct {
	mu     sync.Mutex
	cancel context.CancelFunc
	kill   func()
	done   chan struct{}
}

func (r *runner) start(s *Site, run func(context.Context) error, kill func()) {
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
func (r *runner) Stop() {
	r.mu.Lock()
	cancel, done := r.cancel, r.done
	r.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
}

// Kill ends the process at once, without a word to anyone.
func (r *runner) Kill() {
	r.mu.Lock()
	kill, done := r.kill, r.done
	r.mu.Unlock()
	kill()
	<-done
}

// loopback lets the kernel choose a port.
const loopback = "127.0.0.1:0"

// entryEvents is how many events an entry keeps: more than an agent, for it
// sees the work of all.
const entryEvents = 1 << 16

// Entry is one entry of a site.
type Entry struct {
	runner
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

// Start runs a new incarnation of the entry.
func (e *Entry) Start() error {
	s := e.site
	o := settings.DefaultEntry()
	o.Name, o.FailureDomain = e.Name(), s.domain(e.index)
	o.CallersListen, o.NodesListen, o.OperatorsListen = loopback, loopback, loopback
	o.NodesAddress = e.nodes.Address()
	o.StoreAddresses = []string{s.store.Address()}
	o.Join = s.join()
	o.DrainTimeout = s.opts.DrainTimeout
	n, err := process.NewEntry(process.EntryOptions{
		Settings: o, Core: s.opts.EntryCore, EventCapacity: entryEvents, Registry: s.registry(), Logger: s.opts.Logger,
	})
	if err != nil {
		return ErrSite.Wrap(err, "entry %d", e.index)
	}
	e.callers.SetBackend(n.CallersAddress())
	e.nodes.SetBackend(n.ListenAddress())
	e.stateMu.Lock()
	e.current = n
	e.stateMu.Unlock()
	e.start(s, n.Run, n.Kill)
	return nil
}

// running is the incarnation that runs, or ran last.
func (e *Entry) running() *process.Entry {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return e.current
}

// Name is the entry's name, the same for every incarnation.
func (e *Entry) Name() string { return fmt.Sprintf("entry-%d", e.index) }

// CallersURL is where callers reach the entry.
func (e *Entry) CallersURL() string { return "http://" + e.callers.Address() }

// OperatorsAddress is where the running incarnation serves operators.
func (e *Entry) OperatorsAddress() string { return e.running().Peer().GetOperatorAddress() }

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
	runner
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
	rack := a.index / max(1, s.opts.WorkersPerRack)
	o := settings.DefaultAgent()
	o.Name, o.Worker, o.Rack = a.Name(), fmt.Sprintf("worker-%02d", a.index), fmt.Sprintf("rack-%d", rack)
	o.FailureDomain = s.domain(rack)
	o.NodesListen, o.OperatorsListen = loopback, loopback
	o.NodesAddress = a.relay.Address()
	o.EndpointAddress, o.Join = a.listen.Addr().String(), s.join()
	o.Slots, o.Connections, o.Cores, o.MemoryBytes = s.opts.Slots, s.opts.Connections, s.opts.Cores, s.opts.MemoryBytes
	o.DrainTimeout = s.opts.DrainTimeout
	n, err := process.NewAgent(process.AgentOptions{
		Settings: o, Core: s.opts.AgentCore, Registry: s.registry(), Logger: s.opts.Logger,
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
