package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/papayahoist/papayahoist/cmd/internal/site"
	"github.com/papayahoist/papayahoist/platform/adapter/standin"
)

// Service name and time bounds of the stand-in platform.
const (
	service  = "s"
	resend   = 1300 * time.Millisecond
	maxLease = time.Second
	grace    = 4 * time.Second
	// stopTimeout is how long to wait for a process to exit after SIGTERM. It is far
	// above the grace, so that a busy machine causes no finding.
	stopTimeout = 3 * grace
	// domainCount is the number of failure domains of entries and agents.
	domainCount = 3
)

// Ports of a process, on its own loopback address. A port behind a relay is
// followed by that of the relay.
const (
	callersPort = 7400 + iota
	callersRelayPort
	readyPort
	nodesPort
	nodesRelayPort
	storeRelayPort
	reportsPort
	reportsRelayPort
	workerPort
	workerRelayPort
	metricsPort
	storePort
)

// domainName returns the failure domain of an entry, or of an agent and its
// worker.
func domainName(index int) string { return fmt.Sprintf("domain-%d", index%domainCount) }

// cluster holds all processes, stand-ins and relays of a soak.
type cluster struct {
	size    Size
	dir     string
	started time.Time
	checker *Checker
	spawner *spawner
	network int

	store   *standin.Store
	entries []*node
	agents  []*node
	hosts   []*host
	servers []*http.Server
	logs    []*os.File
}

// node is a process with the relays in front of it.
type node struct {
	*daemon
	ip       string
	relays   map[Path]*site.Relay
	link     *site.Link  // nil: not limited
	stopping atomic.Bool // a planned stop is under way
}

func (c *cluster) since() time.Duration { return time.Since(c.started) }

// ip returns the loopback address of a process; index 0 is the store. Each soak
// on a machine uses a network of its own, so that their ports don't collide.
func (c *cluster) ip(index int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+c.network>>8&127, c.network&255, 1+index)
}

// networksTried limits how many networks are tried that other soaks may use.
const networksTried = 64

// claimNetwork starts the store on the first network on which its port is free.
func (c *cluster) claimNetwork() (err error) {
	for c.network = os.Getpid(); c.network < os.Getpid()+networksTried; c.network++ {
		if err = c.serve(hostPort(c.ip(0), storePort), c.store); err == nil {
			return nil
		}
	}
	return err
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// newCluster starts the stand-ins, then the processes.
func newCluster(o Options, size Size, checker *Checker) (*cluster, error) {
	c := &cluster{size: size, dir: o.OutputDir, started: time.Now(), checker: checker, spawner: newSpawner(), store: standin.NewStore()}
	if err := c.startAll(o.DaemonPath); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) startAll(daemon string) error {
	if err := c.claimNetwork(); err != nil {
		return err
	}
	var seeds []string
	for i := range c.size.Entries {
		seeds = append(seeds, hostPort(c.ip(1+i), nodesRelayPort))
	}
	for i := range c.size.Entries {
		n, err := c.newEntry(daemon, i, seeds)
		if err != nil {
			return err
		}
		c.entries = append(c.entries, n)
	}
	for i := range c.size.Workers {
		n, err := c.newAgent(daemon, i, seeds)
		if err != nil {
			return err
		}
		c.agents = append(c.agents, n)
	}
	for _, n := range c.nodes() {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, h := range c.hosts {
		h.start()
	}
	return nil
}

func (c *cluster) nodes() []*node { return append(append([]*node(nil), c.entries...), c.agents...) }

func (c *cluster) serve(address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return ErrStart.Wrap(err, "stand-in")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second, ErrorLog: discardLog}
	go func() { _ = s.Serve(ln) }()
	c.servers = append(c.servers, s)
	return nil
}

// relay starts a relay for a path on the given port that forwards to backend, and
// returns its address.
func (n *node) relay(path Path, port int, backend string) (string, error) {
	r, err := site.NewRelayAt(hostPort(n.ip, port), 0)
	if err != nil {
		return "", err
	}
	r.SetBackend(backend)
	if n.link != nil {
		r.SetLink(n.link, inbound(path))
	}
	n.relays[path] = r
	return r.Address(), nil
}

// smallLink is the bandwidth of the last entry, in bytes per second: 19 Mbit/s.
const smallLink = 19e6 / 8

// inbound returns the direction in which a path leads to an entry.
func inbound(p Path) site.Direction {
	if p == ProcessToStore {
		return site.FromBackend
	}
	return site.ToBackend
}

func (c *cluster) newEntry(daemon string, i int, seeds []string) (*node, error) {
	n := &node{ip: c.ip(1 + i), relays: map[Path]*site.Relay{}}
	if i == c.size.Entries-1 {
		n.link = site.NewLink(smallLink)
	}
	if _, err := n.relay(CallersToEntry, callersRelayPort, hostPort(n.ip, callersPort)); err != nil {
		return nil, err
	}
	if _, err := n.relay(NodesToEntry, nodesRelayPort, hostPort(n.ip, nodesPort)); err != nil {
		return nil, err
	}
	return n, c.daemon(n, daemon, fmt.Sprintf("entry-%d", i), "leased-entry", seeds, map[string]any{
		"failure_domain": domainName(i), "callers_listen": hostPort(n.ip, callersPort), "ready_listen": hostPort(n.ip, readyPort),
		"nodes_listen": hostPort(n.ip, nodesPort), "nodes_address": hostPort(n.ip, nodesRelayPort), "processor_share": 1,
	})
}

func (c *cluster) newAgent(daemon string, i int, seeds []string) (*node, error) {
	n := &node{ip: c.ip(1 + c.size.Entries + i), relays: map[Path]*site.Relay{}}
	worker, err := n.relay(AgentToWorker, workerRelayPort, hostPort(n.ip, workerPort))
	if err != nil {
		return nil, err
	}
	reports, err := n.relay(WorkerToAgent, reportsRelayPort, hostPort(n.ip, reportsPort))
	if err != nil {
		return nil, err
	}
	// Clocks of workers may run up to 2 % slow.
	h := &host{c: c, index: i, clockRate: 1 - 0.02*float64(i%3)/2, agentAddress: reports}
	if err := c.serve(hostPort(n.ip, workerPort), h); err != nil {
		return nil, err
	}
	c.hosts = append(c.hosts, h)
	return n, c.daemon(n, daemon, fmt.Sprintf("agent-%d", i), "leased-agent", seeds, map[string]any{
		"failure_domain": domainName(i), "reports_listen": hostPort(n.ip, reportsPort), "worker_address": worker,
		"connections": 8,
	})
}

// daemon writes the settings file of a process and prepares its start.
func (c *cluster) daemon(n *node, path, name, role string, seeds []string, set map[string]any) error {
	store, err := n.relay(ProcessToStore, storeRelayPort, hostPort(c.ip(0), storePort))
	if err != nil {
		return err
	}
	set["role"], set["name"], set["store_address"], set["seeds"] = role, name, store, seeds
	set["metrics_listen"] = hostPort(n.ip, metricsPort)
	set["bounds"] = map[string]string{"resend": resend.String(), "max_lease": maxLease.String(), "stop": "50ms", "grace": grace.String()}
	text, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return ErrStart.Wrap(err, "settings")
	}
	file := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return ErrStart.Wrap(err, "settings")
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return ErrStart.Wrap(err, "log")
	}
	c.logs = append(c.logs, log)
	n.daemon = &daemon{
		name: name, spawner: c.spawner, path: path, args: []string{role, "--settings", file}, log: log,
		exitedUnexpectedly: func(d *daemon, state *os.ProcessState) {
			c.checker.AddFinding(c.since(), promiseStaysUp, "%s ended by itself: %v", d.name, state)
		},
	}
	return nil
}

// close stops everything that was started, and only that.
func (c *cluster) close() {
	for _, n := range c.nodes() {
		n.kill()
	}
	for _, h := range c.hosts {
		h.crash()
	}
	for _, n := range c.nodes() {
		for _, r := range n.relays {
			r.Close()
		}
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	for _, f := range c.logs {
		_ = f.Close()
	}
	c.spawner.close()
}
