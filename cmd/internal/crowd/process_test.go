//go:build crowd

package crowd

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// daemonPath is the program under test. It is built without the race detector, whose memory
// would be measured, too.
var daemonPath string

func TestMain(m *testing.M) {
	// The kernel kills the processes under test when the thread that started them ends.
	runtime.LockOSThread()
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	daemonPath = filepath.Join(dir, "papayahoistd")
	build := exec.Command("go", "build", "-race=false", "-o", daemonPath, "github.com/papayahoist/papayahoist/cmd/papayahoistd")
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// lastIP numbers the loopback addresses that the tests have used.
var lastIP int

// newIP returns a loopback address that no other process uses.
func newIP() string {
	lastIP++
	return fmt.Sprintf("127.%d.%d.%d", 128+os.Getpid()>>8&63, os.Getpid()&255, lastIP)
}

// Ports of a process under test.
const (
	callersPort = "7400"
	readyPort   = "7401"
	nodesPort   = "7402"
	metricsPort = "7403"
	reportsPort = "7404"
)

// process is a process under test, at a loopback address of its own.
type process struct {
	name, ip string
	cmd      *exec.Cmd
	ended    chan struct{}
	log      string // file

	mu          sync.Mutex
	memory      int64 // highest use in bytes
	descriptors int   // highest number
}

func (p *process) address(port string) string { return net.JoinHostPort(p.ip, port) }

// startProcess starts a process with the given role and settings, which may open at most the
// given number of descriptors, and measures it until the test ends.
func startProcess(t *testing.T, ip, name, role string, descriptors int, settings map[string]any) *process {
	t.Helper()
	p := &process{name: name, ip: ip, ended: make(chan struct{}), log: filepath.Join(t.TempDir(), name+".log")}
	settings["role"], settings["name"] = role, name
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$@"`, descriptors), "sh", daemonPath, role, "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
	go p.measure()
	return p
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// measure records the highest use of memory and descriptors until the process ends.
func (p *process) measure() {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for p.alive() {
		memory, descriptors := p.residentBytes()+queuedBytes(p.ip), p.openDescriptors()
		p.mu.Lock()
		p.memory, p.descriptors = max(p.memory, memory), max(p.descriptors, descriptors)
		p.mu.Unlock()
		<-tick.C
	}
}

// peak returns the highest use of memory, in bytes, and the highest number of descriptors.
func (p *process) peak() (memory int64, descriptors int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.memory, p.descriptors
}

func (p *process) file(name string) string {
	return fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name)
}

func (p *process) residentBytes() int64 {
	text, _ := os.ReadFile(p.file("statm"))
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

func (p *process) openDescriptors() int {
	entries, _ := os.ReadDir(p.file("fd"))
	return len(entries)
}

// queuedBytes returns how many bytes the connections at a local address hold that were received
// and not read, or written and not received.
func queuedBytes(ip string) (total int64) {
	const listening = "0A"
	parsed := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", parsed[3], parsed[2], parsed[1], parsed[0])
	text, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == listening {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, hex := range []string{sent, received} {
			n, _ := strconv.ParseInt(hex, 16, 64)
			total += n
		}
	}
	return total
}
