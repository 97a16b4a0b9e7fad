// Package preset holds the few settings by which a site weighs response time
// against messages. All processes of a site use the same one.
package preset

import (
	"time"

	"github.com/papayahoist/papayahoist/dispatch/link"
)

// Preset is one choice.
type Preset struct {
	Name string
	Link link.Options
	// Shared tells agents to offer every slot to each entry.
	Shared bool
	// CreditDelay is how long a movement of credits waits for a frame to ride on.
	CreditDelay time.Duration
	// MessageCost is how much later a task may end to save one message.
	MessageCost time.Duration
}

// Response spends messages to answer sooner, and notices silent connections
// within half a second.
func Response() Preset {
	return Preset{Name: "response", Link: link.Options{}.WithDefaults(), Shared: true, MessageCost: time.Millisecond}
}

// Messages saves messages: acknowledgements and credits wait for frames that
// flow anyway. Credits follow demand within seconds, and a silent connection is
// noticed within a few.
func Messages() Preset {
	return Preset{
		Name: "messages",
		Link: link.Options{
			AckDelay: 2 * time.Second, AckTimeout: 3 * time.Second,
			Heartbeat: 10 * time.Second, HeartbeatTimeout: 24 * time.Second,
		},
		Shared: true, MessageCost: 5 * time.Millisecond,
	}
}

// ByName returns a preset; false for an unknown name.
func ByName(name string) (Preset, bool) {
	for _, p := range []Preset{Response(), Messages()} {
		if p.Name == name {
			return p, true
		}
	}
	return Preset{}, false
}
