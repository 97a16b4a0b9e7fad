package leasedcheck

import (
	"time"

	"github.com/papayahoist/papayahoist/dispatch/dispatcher"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// runKey names a run at one agent's workers.
type runKey struct {
	task string
	run  uint32
}

// runEnd is how the latest run of a name at an agent's workers has ended.
type runEnd struct {
	worker *simWorker
	at     time.Time // zero while it runs
	// forced: the lease or a stop has ended it, not its own work.
	forced bool
}

// freedByTime are the reasons that conclude from elapsed time alone that a run has ended.
var freedByTime = map[string]bool{runner.ReasonLeaseLapsed: true, dispatcher.ReasonRunsEnded: true}

// checkFreed verifies that a run which is taken for ended doesn't go on. It records by how much the
// conclusion came after the latest moment at which the worker could have ended the run.
func (c *checker) checkFreed(a *agentNode, task string, run uint32, reason string) {
	end, ok := a.runEnds[runKey{task, run}]
	if !ok {
		return // it hasn't begun
	}
	if end.at.IsZero() {
		c.violated("%s run %d is taken for ended on %s while it goes on: %s", task, run, end.worker.id(), reason)
		return
	}
	if !freedByTime[reason] {
		return
	}
	switch {
	case end.forced:
		c.recordMargin(reason, c.w.now.Sub(end.at))
	case reason == runner.ReasonLeaseLapsed && end.worker.up:
		// Its work took less time than the lease: it could have gone on until then.
		if c.w.now.Before(end.worker.leaseEnd) {
			c.violated("%s run %d is taken for ended on %s by its lease, which holds", task, run, end.worker.id())
		}
		c.recordMargin(reason, c.w.now.Sub(end.worker.leaseEnd))
	}
}

func (c *checker) recordMargin(reason string, d time.Duration) {
	if c.r.Margins == nil {
		c.r.Margins = map[string]time.Duration{}
	}
	if least, ok := c.r.Margins[reason]; !ok || d < least {
		c.r.Margins[reason] = d
	}
}

// checkAgentDecision handles a decision of an agent.
func (c *checker) checkAgentDecision(a *agentNode, d runner.Decision) {
	if d.Event == "run_lost" {
		c.checkFreed(a, d.Task, d.Run, d.Reason)
	}
}

// checkEntryDecision handles a decision of an entry. Where a caller has sent its job to another entry
// as well, that one's run may have the same name.
func (c *checker) checkEntryDecision(d dispatcher.Decision) {
	if d.Event != "run_lost" || c.w.callers[callerIndex(d.Task)].attempts > 1 {
		return
	}
	for _, a := range c.w.agents {
		if a.name == d.Agent {
			c.checkFreed(a, d.Task, d.Run, d.Reason)
		}
	}
}
