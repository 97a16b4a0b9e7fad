package leasedcheck

import (
	"container/heap"
	"time"
)

// frameCounts counts the frames between processes, and the agents' polls of their workers.
type frameCounts struct{ toEntries, toAgents, polls int }

// IdleRates are the message rates per second of a fleet without jobs.
type IdleRates struct {
	// FramesPerAgent and FramesPerEntry count frames sent and received.
	FramesPerAgent, FramesPerEntry float64
	PollsPerAgent                  float64
}

// RunIdle simulates a fleet without jobs for the given time. It counts in the second half,
// when all links are open.
func RunIdle(o Options, duration time.Duration) IdleRates {
	w := newWorld(o)
	half, end := w.now.Add(duration/2), w.now.Add(duration)
	counting := false
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		e := heap.Pop(&w.events).(*event)
		w.now = e.at
		if !counting && !w.now.Before(half) {
			w.frames, counting = frameCounts{}, true
		}
		e.f()
	}
	seconds := duration.Seconds() / 2
	frames := float64(w.frames.toEntries+w.frames.toAgents) / seconds
	return IdleRates{
		FramesPerAgent: frames / float64(o.Agents), FramesPerEntry: frames / float64(o.Entries),
		PollsPerAgent: float64(w.frames.polls) / seconds / float64(o.Agents),
	}
}
