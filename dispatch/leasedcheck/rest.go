package leasedcheck

import (
	"container/heap"
	"time"
)

// frameCounts counts what processes send each other, and agents' looks at their workers.
type frameCounts struct{ toEntries, toAgents, looks int }

// Rest is what a fleet costs a second while no job comes.
type Rest struct {
	// FramesPerAgent and FramesPerEntry are sent and received.
	FramesPerAgent, FramesPerEntry float64
	LooksPerAgent                  float64
}

// RunRest plays a fleet without jobs for so long, and counts in its second half, when all
// links are open.
func RunRest(o Options, lasts time.Duration) Rest {
	w := newWorld(o)
	half, end := w.now.Add(lasts/2), w.now.Add(lasts)
	begun := false
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		e := heap.Pop(&w.events).(*timed)
		w.now = e.at
		if !begun && !w.now.Before(half) {
			w.frames, begun = frameCounts{}, true
		}
		e.f()
	}
	seconds := lasts.Seconds() / 2
	frames := float64(w.frames.toEntries+w.frames.toAgents) / seconds
	return Rest{
		FramesPerAgent: frames / float64(o.Agents), FramesPerEntry: frames / float64(o.Entries),
		LooksPerAgent: float64(w.frames.looks) / seconds / float64(o.Agents),
	}
}
