package soak

import (
	"sync"
	"time"

	"github.com/papayahoist/papayahoist/cmd/internal/site"
	"github.com/papayahoist/papayahoist/platform/adapter/standin"
)

// injector carries out the actions of a schedule.
type injector struct {
	c    *cluster
	o    *operator
	note func(a Action, done bool)
	wg   sync.WaitGroup
}

// do begins an action, which goes on by itself.
func (i *injector) do(a Action) {
	i.wg.Go(func() { i.note(a, i.act(a)) })
}

// restartPause is how long a process or worker is away before a new one begins.
func restartPause(a Action) time.Duration { return a.For / 2 }

// act carries out an action and undoes it; false when what it aims at isn't there.
func (i *injector) act(a Action) bool {
	switch a.Kind {
	case StopProcess, KillProcess, PauseProcess, KillAll:
		return i.processes(a)
	case CrashWorker, DrainWorker, FailRuns, StallRuns, LoseCalls, ResizeWorker:
		return i.worker(a, i.c.hosts[a.Worker])
	case HoldLink, ResetLink, SlowLink:
		return i.link(a)
	case StoreFails, ForgetChange:
		i.store(a)
	default:
		i.operate(a)
	}
	return true
}

func (i *injector) processes(a Action) bool {
	n := i.c.nodes()[a.Process]
	switch a.Kind {
	case PauseProcess:
		return n.pause(a.For)
	case StopProcess:
		return i.stop(a, n)
	case KillProcess:
		done := n.kill()
		time.Sleep(restartPause(a))
		i.start(n)
		return done
	}
	var all sync.WaitGroup
	for _, n := range i.c.nodes() {
		all.Go(func() { n.kill() })
	}
	all.Wait()
	time.Sleep(time.Second)
	for _, n := range i.c.nodes() {
		i.start(n)
	}
	return true
}

func (i *injector) stop(a Action, n *node) bool {
	n.stopping.Store(true)
	defer n.stopping.Store(false)
	done, err := n.daemon.stop(slowStop)
	if err != nil {
		i.c.ledger.Break(i.c.since(), promiseStop, "%s: %v", n.name, err)
	}
	time.Sleep(restartPause(a))
	i.start(n)
	return done
}

func (i *injector) start(n *node) {
	if err := n.start(); err != nil {
		i.c.ledger.Break(i.c.since(), promiseStaysUp, "%s doesn't start: %v", n.name, err)
	}
}

func (i *injector) worker(a Action, h *host) bool {
	switch a.Kind {
	case DrainWorker:
		if !h.drain() {
			return false
		}
		time.Sleep(drainBound + a.For)
		h.crash()
		h.start()
		return true
	case CrashWorker:
		done := h.crash()
		time.Sleep(restartPause(a))
		h.start()
		return done
	case ResizeWorker:
		return h.resize(a.For, a.Calm)
	case FailRuns:
		h.fails.Add(1)
		defer h.fails.Add(-1)
	case StallRuns:
		h.stalls.Add(1)
		defer h.stalls.Add(-1)
	case LoseCalls:
		h.lossy.Add(1)
		defer h.lossy.Add(-1)
	}
	time.Sleep(a.For)
	return true
}

// slowLink is far above what loopback takes, and below what links are lost at.
const slowLink = 40 * time.Millisecond

func (i *injector) link(a Action) bool {
	r := i.c.nodes()[a.Process].relays[a.Path]
	if r == nil {
		// A path that only agents have.
		r = i.c.agents[a.Worker].relays[a.Path]
	}
	switch a.Kind {
	case ResetLink:
		r.Break()
		return true
	case SlowLink:
		r.SetDelay(slowLink)
		defer r.SetDelay(0)
	default:
		r.Hold(site.Direction(a.Arg), a.Every)
		defer r.Release()
	}
	time.Sleep(a.For)
	return true
}

func (i *injector) store(a Action) {
	if a.Kind == ForgetChange {
		i.c.store.DropHistory()
		return
	}
	i.c.store.SetFault(standin.Fault(a.Arg))
	time.Sleep(a.For)
	i.c.store.SetFault(standin.Sound)
}

func (i *injector) operate(a Action) {
	switch a.Kind {
	case NewVersion:
		i.o.write()
		return
	case EvacuateDomain:
		i.o.evacuate(domainName(a.Worker), a.For)
		return
	case OldVersion:
		i.o.old()
	case NoVersion:
		i.o.unreadable()
	case SameTimeWrite:
		i.o.race()
	}
	time.Sleep(a.For)
	i.o.right()
}
