package soak

import (
	"sync"
	"time"

	"github.com/papayahoist/papayahoist/cmd/internal/site"
	"github.com/papayahoist/papayahoist/platform/adapter/standin"
)

// injector performs the actions of a schedule.
type injector struct {
	c      *cluster
	o      *operator
	record func(a Action, done bool)
	wg     sync.WaitGroup
}

// do starts an action in the background.
func (i *injector) do(a Action) {
	i.wg.Go(func() { i.record(a, i.perform(a)) })
}

// restartPause is how long a process or worker stays down before it is restarted.
func restartPause(a Action) time.Duration { return a.For / 2 }

// perform performs an action and reverts it. It returns false if the target isn't
// running.
func (i *injector) perform(a Action) bool {
	switch a.Kind {
	case StopProcess, KillProcess, PauseProcess, KillAll:
		return i.processes(a)
	case CrashWorker, DrainWorker, FailRuns, StallRuns, LoseCalls, AnswerOddly, ResizeWorker:
		return i.worker(a, i.c.hosts[a.Worker])
	case HoldLink, ResetLink, SlowLink, RefuseLink:
		return i.link(a)
	case StoreFails, ForgetChanges:
		i.store(a)
	default:
		i.operatorAction(a)
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
	done, err := n.daemon.stop(stopTimeout)
	if err != nil {
		i.c.checker.AddFinding(i.c.since(), promiseStop, "%s: %v", n.name, err)
	}
	time.Sleep(restartPause(a))
	i.start(n)
	return done
}

func (i *injector) start(n *node) {
	if err := n.start(); err != nil {
		i.c.checker.AddFinding(i.c.since(), promiseStaysUp, "%s failed to start: %v", n.name, err)
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
	case AnswerOddly:
		h.oddAnswers.Store(int32(a.Arg))
		defer h.oddAnswers.Store(0)
	}
	time.Sleep(a.For)
	return true
}

// slowLinkDelay is far above the usual delay on loopback, and too short for links to
// be considered lost.
const slowLinkDelay = 40 * time.Millisecond

// relistenTimeout is how long a relay may take to listen again after a refusal.
const relistenTimeout = 2 * time.Second

func (i *injector) link(a Action) bool {
	r := i.c.nodes()[a.Process].relays[a.Path]
	if r == nil {
		// Only agents have this path.
		r = i.c.agents[a.Worker].relays[a.Path]
	}
	switch a.Kind {
	case ResetLink:
		r.CloseConnections()
		return true
	case SlowLink:
		r.SetDelay(slowLinkDelay)
		defer r.SetDelay(0)
	case RefuseLink:
		r.Refuse()
		defer i.listen(a, r)
	default:
		r.Hold(site.Direction(a.Arg), a.Every)
		defer r.Release()
	}
	time.Sleep(a.For)
	return true
}

func (i *injector) listen(a Action, r *site.Relay) {
	if err := r.Listen(relistenTimeout); err != nil {
		i.c.checker.AddFinding(i.c.since(), promiseRelays, "%s at %s still refuses connections: %v", a.Path, r.Address(), err)
	}
}

func (i *injector) store(a Action) {
	if a.Kind == ForgetChanges {
		i.c.store.Compact()
		return
	}
	i.c.store.SetFault(standin.Fault(a.Arg))
	time.Sleep(a.For)
	i.c.store.SetFault(standin.NoFault)
}

func (i *injector) operatorAction(a Action) {
	switch a.Kind {
	case NewVersion:
		i.o.write()
		return
	case EvacuateDomain:
		i.o.evacuate(domainName(a.Worker), a.For)
		return
	case OldVersion:
		i.o.writeOld()
	case UnreadableVersion:
		i.o.writeUnreadable()
	case RacingVersions:
		i.o.writeRacing()
	}
	time.Sleep(a.For)
	i.o.rewriteNewest()
}
