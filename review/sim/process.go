package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// spawner starts all processes from one thread: the kernel ends them when this program ends,
// however it ends.
type spawner struct{ work chan func() }

func newSpawner() *spawner {
	s := &spawner{make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range s.work {
			f()
		}
	}()
	return s
}

func (s *spawner) start(c *exec.Cmd) error {
	result := make(chan error)
	s.work <- func() { result <- c.Start() }
	return <-result
}

// process is one program under test, with the command of the deploy file.
type process struct {
	site     *site
	name     string
	role     string
	settings string // file
	logFile  *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{}
}

func (p *process) run() error {
	c := exec.Command(p.site.program, p.role, "--settings", p.settings)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = p.logFile, p.logFile
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.site.spawner.start(c); err != nil {
		return err
	}
	end := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.end = c, end
	p.mu.Unlock()
	go func() {
		err := c.Wait()
		p.site.record.log("process %s ended: %v", p.name, err)
		close(end)
	}()
	p.site.record.log("process %s started", p.name)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	c := p.cmd
	p.mu.Unlock()
	p.site.record.log("signal %v to %s", s, p.name)
	_ = c.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	end := p.end
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-end
}

// site is a small deployment: a store, entries, and agents with their workers.
type site struct {
	record  *recorder
	program string
	dir     string
	spawner *spawner
	store   *store
	storeAt string
	entries []*entryProcess
	agents  []*agentProcess
	seeds   []string
	service string
	runs    *runLog
}

type entryProcess struct {
	process
	callers string // address
}

type agentProcess struct {
	process
	worker *worker
}

// freeAddresses returns loopback addresses with ports that were free just now.
func freeAddresses(n int) ([]string, error) {
	var out []string
	var open []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	for _, l := range open {
		_ = l.Close()
	}
	return out, nil
}

// bounds are those of the pages' small sites, in the form of the deploy file's templates.
var bounds = map[string]any{"resend": "1300ms", "max_lease": "1000ms", "stop": "50ms", "grace": "6s"}

const (
	resendAfter   = 1300 * time.Millisecond
	maxLease      = 1000 * time.Millisecond
	stopTime      = 30 * time.Millisecond // at most 50 ms
	heartbeat     = 1500 * time.Millisecond
	contact       = 3000 * time.Millisecond
	cancelBound   = 3000 * time.Millisecond
	workerCPU     = 16000
	workerMemory  = 32768
	failureDomain = "hall"
)

func newSite(record *recorder, program string, entries, agents int, clockRate float64) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{record: record, program: program, dir: dir, spawner: newSpawner(), store: newStore(), service: "svc-1"}
	s.runs = newRunLog(record)
	if s.storeAt, err = s.store.serve(); err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(entries*3 + agents)
	if err != nil {
		return nil, err
	}
	for i := range entries {
		s.seeds = append(s.seeds, addresses[3*i])
	}
	for i := range entries {
		name := fmt.Sprintf("frontend-%d", i+1)
		e := &entryProcess{callers: addresses[3*i+1]}
		err := s.prepare(&e.process, name, "leased-entry", map[string]any{
			"role": "leased-entry", "name": name, "failure_domain": domain(i), "callers_listen": e.callers,
			"ready_listen": addresses[3*i+2], "nodes_listen": addresses[3*i], "store_address": s.storeAt, "seeds": s.seeds,
			"bounds": withRemoteFactor(), "processor_share": 0.4, "memory_mb": 284,
		})
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, e)
	}
	for i := range agents {
		name := fmt.Sprintf("side-%d", i+1)
		reports := addresses[3*entries+i]
		w := newWorker(fmt.Sprintf("i-%08x", i+1), s.service, reports, clockRate, s.runs)
		at, err := w.serve()
		if err != nil {
			return nil, err
		}
		a := &agentProcess{worker: w}
		err = s.prepare(&a.process, name, "leased-agent", map[string]any{
			"role": "leased-agent", "name": name, "failure_domain": domain(i), "reports_listen": reports, "worker_address": at,
			"store_address": s.storeAt, "seeds": s.seeds, "bounds": bounds, "memory_mb": 152,
		})
		if err != nil {
			return nil, err
		}
		s.agents = append(s.agents, a)
	}
	return s, nil
}

func domain(i int) string { return []string{"hall", "shed", "room"}[i%3] }

func withRemoteFactor() map[string]any {
	out := map[string]any{"remote_factor": 1.5}
	for k, v := range bounds {
		out[k] = v
	}
	return out
}

func (s *site) prepare(p *process, name, role string, settings map[string]any) error {
	p.site, p.name, p.role = s, name, role
	p.settings = filepath.Join(s.dir, name+".json")
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		return err
	}
	p.logFile, err = os.Create(filepath.Join(s.dir, name+".log"))
	return err
}

// start starts all processes and waits until each entry serves a job.
func (s *site) start() error {
	for _, e := range s.entries {
		if err := e.run(); err != nil {
			return err
		}
	}
	for _, a := range s.agents {
		if err := a.run(); err != nil {
			return err
		}
		go a.worker.report()
	}
	return nil
}

// stop ends all processes and removes the temporary folder.
func (s *site) stop() {
	for _, p := range s.processes() {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.end
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

func (s *site) processes() []*process {
	var out []*process
	for _, e := range s.entries {
		out = append(out, &e.process)
	}
	for _, a := range s.agents {
		out = append(out, &a.process)
	}
	return out
}
