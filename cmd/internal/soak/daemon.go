package soak

import (
	"errors"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// spawner starts processes from one thread that lives as long as the soak: the
// kernel kills them when that thread ends, however the soak ends.
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

func (s *spawner) close() { close(s.work) }

// daemon is one process under test, through all its incarnations. Its methods are
// safe for concurrent use.
type daemon struct {
	name    string
	spawner *spawner
	path    string
	args    []string
	log     *os.File
	// exitedUnexpectedly is called when an incarnation ends without having been told to.
	exitedUnexpectedly func(d *daemon, state *os.ProcessState)

	mu      sync.Mutex
	current *incarnation
	starts  int
}

// incarnation is one start of a daemon.
type incarnation struct {
	cmd           *exec.Cmd
	number        int
	done          chan struct{}
	exitRequested bool // its end was requested
}

// start starts the daemon if it isn't running.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil {
		return nil
	}
	c := exec.Command(d.path, d.args...)
	c.Stdout, c.Stderr = d.log, d.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.spawner.start(c); err != nil {
		return ErrStart.Wrap(err, "%s", d.name)
	}
	d.starts++
	i := &incarnation{cmd: c, number: d.starts, done: make(chan struct{})}
	d.current = i
	go d.wait(i)
	return nil
}

func (d *daemon) wait(i *incarnation) {
	_ = i.cmd.Wait()
	d.mu.Lock()
	wanted := i.exitRequested
	d.current = nil
	d.mu.Unlock()
	close(i.done)
	if !wanted {
		d.exitedUnexpectedly(d, i.cmd.ProcessState)
	}
}

// incarnation returns the number of the current incarnation; zero if none is running.
func (d *daemon) incarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil {
		return 0
	}
	return d.current.number
}

// kill ends the process at once. It returns false if none is running.
func (d *daemon) kill() bool {
	i := d.signal(syscall.SIGKILL, true)
	if i == nil {
		return false
	}
	<-i.done
	return true
}

// errStopTimeout is returned for a process that long outlives its grace.
var errStopTimeout = errors.New("process still running long after its grace")

// stop ends the process as an operator does.
func (d *daemon) stop(patience time.Duration) (was bool, err error) {
	i := d.signal(syscall.SIGTERM, true)
	if i == nil {
		return false, nil
	}
	select {
	case <-i.done:
		return true, nil
	case <-time.After(patience):
		d.kill()
		return true, errStopTimeout
	}
}

// pause suspends the process for a while.
func (d *daemon) pause(length time.Duration) bool {
	i := d.signal(syscall.SIGSTOP, false)
	if i == nil {
		return false
	}
	select {
	case <-i.done:
	case <-time.After(length):
	}
	_ = i.cmd.Process.Signal(syscall.SIGCONT)
	return true
}

// signal signals the current incarnation and returns it; nil if none is running.
func (d *daemon) signal(s syscall.Signal, ends bool) *incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.current
	if i == nil {
		return nil
	}
	i.exitRequested = i.exitRequested || ends
	_ = i.cmd.Process.Signal(s)
	return i
}
