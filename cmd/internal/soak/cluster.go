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

// What the stand-in platform states of itself.
const (
	service  = "s"
	resend   = 1300 * time.Millisecond
	maxLease = time.Second
	grace    = 4 * time.Second
	// slowStop is how long after a stop's signal a process is not waited for: far
	// above the grace, so that a busy machine makes no finding.
	slowStop = 3 * grace
	// domains are the failure domains that entries and agents are spread over.
	domains = 3
)

// Ports of a process, each on the process's own loopback address; those with a
// relay in front have the relay's port beside them.
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

// domainName is the failure domain of an entry, or of an agent and its worker.
func domainName(index int) string { return fmt.Sprintf("domain-%d", index%domains) }

// cluster is all that runs.
type cluster struct {
	size    Size
	dir     string
	began   time.Time
	ledger  *Ledger
	spawner *spawner
	network int

	store   *standin.Store
	entries []*node
	agents  []*node
	hosts   []*host
	servers []*http.Server
	logs    []*os.File
}

// node is a process with the relays on its paths.
type node struct {
	*daemon
	ip       string
	relays   map[Path]*site.Relay
	stopping atomic.Bool // as planned
}

func (c *cluster) since() time.Duration { return time.Since(c.began) }

// ip is the loopback address of a process; 0 is the store's. Each soak on the
// machine has a network of its own, so that no port is another's.
func (c *cluster) ip(index int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+c.network>>8&127, c.network&255, 1+index)
}

// networksTried is how many networks may be taken by other soaks.
const networksTried = 64

// claimNetwork starts the store on the first network on which its port is free.
func (c *cluster) claimNetwork() (err error) {
	for c.network = os.Getpid(); c.network < os.Getpid()+networksTried; c.network++ {
		if err = c.serve(at(c.ip(0), storePort), c.store); err == nil {
			return nil
		}
	}
	return err
}

func at(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// newCluster starts the stand-ins, then the processes.
func newCluster(o Options, size Size, ledger *Ledger) (*cluster, error) {
	c := &cluster{size: size, dir: o.OutputDir, began: time.Now(), ledger: ledger, spawner: newSpawner(), store: standin.NewStore()}
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
		seeds = append(seeds, at(c.ip(1+i), nodesRelayPort))
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

// relay puts a relay on a path; port is that of the relay, backend where it leads.
func (n *node) relay(path Path, port int, backend string) (string, error) {
	r, err := site.NewRelayAt(at(n.ip, port), 0)
	if err != nil {
		return "", err
	}
	r.SetBackend(backend)
	n.relays[path] = r
	return r.Address(), nil
}

func (c *cluster) newEntry(daemon string, i int, seeds []string) (*node, error) {
	n := &node{ip: c.ip(1 + i), relays: map[Path]*site.Relay{}}
	if _, err := n.relay(CallersToEntry, callersRelayPort, at(n.ip, callersPort)); err != nil {
		return nil, err
	}
	if _, err := n.relay(NodesToEntry, nodesRelayPort, at(n.ip, nodesPort)); err != nil {
		return nil, err
	}
	return n, c.daemon(n, daemon, fmt.Sprintf("entry-%d", i), "leased-entry", seeds, map[string]any{
		"failure_domain": domainName(i), "callers_listen": at(n.ip, callersPort), "ready_listen": at(n.ip, readyPort),
		"nodes_listen": at(n.ip, nodesPort), "nodes_address": at(n.ip, nodesRelayPort), "processor_share": 1,
	})
}

func (c *cluster) newAgent(daemon string, i int, seeds []string) (*node, error) {
	n := &node{ip: c.ip(1 + c.size.Entries + i), relays: map[Path]*site.Relay{}}
	worker, err := n.relay(AgentToWorker, workerRelayPort, at(n.ip, workerPort))
	if err != nil {
		return nil, err
	}
	reports, err := n.relay(WorkerToAgent, reportsRelayPort, at(n.ip, reportsPort))
	if err != nil {
		return nil, err
	}
	// Clocks of workers may be slow by a fiftieth.
	h := &host{c: c, index: i, rate: 1 - 0.02*float64(i%3)/2, agent: reports}
	if err := c.serve(at(n.ip, workerPort), h); err != nil {
		return nil, err
	}
	c.hosts = append(c.hosts, h)
	return n, c.daemon(n, daemon, fmt.Sprintf("agent-%d", i), "leased-agent", seeds, map[string]any{
		"failure_domain": domainName(i), "reports_listen": at(n.ip, reportsPort), "worker_address": worker,
		"connections": 8,
	})
}

// daemon writes the settings of a process and prepares its runs.
func (c *cluster) daemon(n *node, path, name, role string, seeds []string, set map[string]any) error {
	store, err := n.relay(ProcessToStore, storeRelayPort, at(c.ip(0), storePort))
	if err != nil {
		return err
	}
	set["role"], set["name"], set["store_address"], set["seeds"] = role, name, store, seeds
	set["metrics_listen"] = at(n.ip, metricsPort)
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
		ended: func(d *daemon, state *os.ProcessState) {
			c.ledger.Break(c.since(), promiseStaysUp, "%s ended by itself: %v", d.name, state)
		},
	}
	return nil
}

// close ends everything that was started, by its id.
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
