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
	// MaxQueued is how many units of an entry may wait at an agent. A start that is refused for
	// want of a slot goes elsewhere a round trip later, for two messages more.
	MaxQueued int
	// ExchangeAfter is the least time between exchanges that an entry asks for when
	// its part of a contract holds up work.
	ExchangeAfter time.Duration
	// OverbookAfter is how long tasks wait for a spare slot before some are sent to
	// wait at agents.
	OverbookAfter time.Duration
	// MessageCost is how much later a task may end to save one message.
	MessageCost time.Duration
}

// Response spends messages to answer sooner, and notices silent connections
// within half a second.
func Response() Preset {
	return Preset{Name: "response", Link: link.Options{}.WithDefaults(), MaxQueued: 1, OverbookAfter: 5 * time.Millisecond, ExchangeAfter: 50 * time.Millisecond, MessageCost: time.Millisecond}
}

// Messages saves messages: acknowledgements wait for frames that flow anyway, and
// a silent connection is noticed within a few seconds.
func Messages() Preset {
	return Preset{
		Name: "messages",
		Link: link.Options{
			AckDelay: 2 * time.Second, AckTimeout: 3 * time.Second,
			Heartbeat: 10 * time.Second, HeartbeatTimeout: 24 * time.Second,
		},
		MaxQueued: 8, OverbookAfter: 150 * time.Millisecond, ExchangeAfter: 500 * time.Millisecond, MessageCost: 5 * time.Millisecond,
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
