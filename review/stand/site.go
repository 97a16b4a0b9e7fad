package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site is a small deployment: processes of the project, and stand-ins for all else.
type site struct {
	dir          string
	record       *os.File
	began        time.Time
	store        *store
	ip           string // the loopback address of this run
	storeAddress string

	mu      sync.Mutex
	procs   []*proc
	events  []runEvent
	drained map[*workerLife]time.Time
	taken   map[string]bool
	// spawn runs functions on one thread that lives as long as this process: the processes that it
	// starts end with it.
	spawn chan func()
}

// runEvent is the start or end of a run, as a worker sees it.
type runEvent struct {
	at     time.Time
	what   string
	how    string
	worker *workerLife
	task   string
	run    uint32
	spec   string
}

func newSite(recordPath string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, record: f, began: time.Now(), store: newStore(), drained: map[*workerLife]time.Time{}, taken: map[string]bool{}, spawn: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range s.spawn {
			f()
		}
	}()
	// An address that no other run uses, so that nothing else takes its ports.
	s.ip = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	l, err := net.Listen("tcp", s.ip+":0")
	if err != nil {
		return nil, err
	}
	s.storeAddress = l.Addr().String()
	go func() { _ = (&http.Server{Handler: s.store}).Serve(l) }()
	return s, nil
}

func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line(format, args...)
}

func (s *site) line(format string, args ...any) {
	fmt.Fprintf(s.record, "%9.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *site) event(e runEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.at = time.Now()
	s.events = append(s.events, e)
	s.line("worker %s: %s %s run %d %s", e.worker, e.what, e.task, e.run, e.how)
}

func (s *site) drainAcked(w *workerLife) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained[w].IsZero() {
		s.drained[w] = time.Now()
		s.line("worker %s: its report that it drains is acknowledged", w)
	}
}

func (s *site) drainedAt(w *workerLife) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained[w]
}

func (s *site) runEvents() []runEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]runEvent(nil), s.events...)
}

// address returns a free address. Its port is not given twice.
func (s *site) address() string {
	for {
		l, err := net.Listen("tcp", s.ip+":0")
		if err != nil {
			panic(err)
		}
		a := l.Addr().String()
		_ = l.Close()
		if !s.taken[a] {
			s.taken[a] = true
			return a
		}
	}
}

// proc is one process of the project.
type proc struct {
	site *site
	name string
	role string
	file string
	cmd  *exec.Cmd
	// set for entries
	callers, ready, nodes string
	// set for agents
	reports, metrics string
}

func bounds() map[string]any {
	return map[string]any{"resend": "1300ms", "max_lease": "1000ms", "stop": "50ms", "grace": "6s"}
}

func (s *site) newEntry(name, zone, nodes, advertised string, seeds []string) *proc {
	p := &proc{site: s, name: name, role: "leased-entry", callers: s.address(), ready: s.address(), nodes: nodes}
	b := bounds()
	b["remote_factor"] = 1.5
	settings := map[string]any{
		"role": p.role, "name": name, "failure_domain": zone, "callers_listen": p.callers, "ready_listen": p.ready, "nodes_listen": nodes,
		"metrics_listen": s.address(), "store_address": s.storeAddress, "store_value_bytes": 1048576, "seeds": seeds, "bounds": b,
		"processor_share": 0.4, "memory_mb": 284, "descriptors": 4100,
	}
	if advertised != nodes {
		settings["nodes_address"] = advertised
	}
	p.write(settings)
	return p
}

func (s *site) newAgent(name, zone, worker string, seeds []string) *proc {
	p := &proc{site: s, name: name, role: "leased-agent", reports: s.address()}
	p.write(map[string]any{
		"role": p.role, "name": name, "failure_domain": zone, "reports_listen": p.reports, "worker_address": worker,
		"metrics_listen": s.address(), "store_address": s.storeAddress, "seeds": seeds, "bounds": bounds(), "memory_mb": 152, "descriptors": 4096,
	})
	return p
}

func (p *proc) write(settings map[string]any) {
	text, _ := json.MarshalIndent(settings, "", "  ")
	p.file = filepath.Join(p.site.dir, p.name+".json")
	if err := os.WriteFile(p.file, text, 0o600); err != nil {
		panic(err)
	}
	p.site.mu.Lock()
	defer p.site.mu.Unlock()
	p.site.procs = append(p.site.procs, p)
}

// program is the daemon that the deploy file builds.
func program() string {
	if p := os.Getenv("PROGRAM"); p != "" {
		return p
	}
	return "target/papayahoistd"
}

func (p *proc) start() error {
	log, err := os.OpenFile(filepath.Join(p.site.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(program(), p.role, "--settings", p.file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	p.site.spawn <- func() { done <- p.cmd.Start() }
	return <-done
}

func (p *proc) signal(sig syscall.Signal) {
	p.site.logf("%s: %v", p.name, sig)
	_ = p.cmd.Process.Signal(sig)
}

func (p *proc) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_, _ = p.cmd.Process.Wait()
}

// copyLogs adds the ends of the processes' logs to the record.
func (s *site) copyLogs() {
	for _, p := range s.procs {
		text, _ := os.ReadFile(filepath.Join(s.dir, p.name+".log"))
		s.logf("log of %s: %s", p.name, text[max(0, len(text)-3000):])
	}
}

// close ends all processes that were started.
func (s *site) close() {
	for _, p := range s.procs {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs are in", s.dir)
	}
	_ = s.record.Close()
}

// manifest writes the operator's manifest: one queue for one service.
func (s *site) manifest(version int, timeoutMs int) {
	s.store.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r1", "host": "a.example", "prefix": "/q1/", "service": "svc", "timeout_ms": timeoutMs, "priority": 0, "attempts": 3,
			"stretch": 1.6, "target_latency_ms": 60,
		}},
		"services": []map[string]any{{"name": "svc", "connection_limit": 64, "enforces_capacity": false, "health_path": "/health"}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.logf("operator: manifest %d is written and acknowledged", version)
}

// result of a client's call.
type result struct {
	status int
	text   string
	err    error
	at     time.Time
}

func (r result) String() string {
	if r.err != nil {
		return "no response: " + r.err.Error()
	}
	return fmt.Sprintf("%d %s", r.status, strings.TrimSpace(r.text))
}

// call is a request of a client on a channel of its own.
func (s *site) call(method, address, id string, body any, limit time.Duration) result {
	var reader io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		reader = strings.NewReader(string(text))
	}
	req, err := http.NewRequest(method, "http://"+address+"/q1/"+id, reader)
	if err != nil {
		panic(err)
	}
	req.Host = "a.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Milliseconds", fmt.Sprint(limit.Milliseconds()))
	s.logf("client: %s %s at %s", method, id, address)
	client := &http.Client{Timeout: limit + 500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	r := result{err: err, at: time.Now()}
	if err == nil {
		text, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r = result{status: resp.StatusCode, text: string(text), err: readErr, at: time.Now()}
	}
	s.logf("client: %s %s is answered: %v", method, id, r)
	return r
}

// awaitReady waits until the entries are ready and have been so for a moment.
func (s *site) awaitReady(entries ...*proc) error {
	end := time.Now().Add(20 * time.Second)
	for _, p := range entries {
		for {
			resp, err := http.Get("http://" + p.ready + "/papayahoist/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				s.copyLogs()
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(contactTime + time.Second)
	return nil
}

// relay forwards bytes of TCP connections. Each direction can be held up, as by a partition.
type relay struct {
	address, backend string
	mu               sync.Mutex
	heldTo, heldFrom bool
	cond             *sync.Cond
}

func newRelay(address, backend string) (*relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{address: address, backend: backend}
	r.cond = sync.NewCond(&r.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *relay) hold(to, from bool) {
	r.mu.Lock()
	r.heldTo, r.heldFrom = to, from
	r.cond.Broadcast()
	r.mu.Unlock()
}

func (r *relay) wait(held *bool) {
	r.mu.Lock()
	for *held {
		r.cond.Wait()
	}
	r.mu.Unlock()
}

func (r *relay) serve(c net.Conn) {
	r.wait(&r.heldTo) // the opening packet is held up, too
	r.wait(&r.heldFrom)
	b, err := net.Dial("tcp", r.backend)
	if err != nil {
		_ = c.Close()
		return
	}
	pipe := func(from, to net.Conn, held *bool) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			r.wait(held)
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = from.Close()
		_ = to.Close()
	}
	go pipe(c, b, &r.heldTo)
	pipe(b, c, &r.heldFrom)
}

func mustJSON(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(text)
}
