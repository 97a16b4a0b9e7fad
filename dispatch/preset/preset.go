// Package preset holds the few settings by which a site trades response time against
// messages. All processes of a site must use the same one.
package preset

import (
	"time"

	"github.com/papayahoist/papayahoist/dispatch/link"
)

// Names of the presets.
const (
	NameResponse = "response"
	NameMessages = "messages"
)

// Preset is a named set of these settings.
type Preset struct {
	Name string
	Link link.Options
	// MaxQueued is how many units of an entry may wait at an agent. A start that is refused for
	// lack of a slot is placed elsewhere a round trip later, for two more messages.
	MaxQueued int
	// MinExchangeInterval is the least interval between exchanges that an entry requests when
	// its share of a contract holds up work.
	MinExchangeInterval time.Duration
	// OverbookDelay is how long tasks wait for a spare slot before some are sent to
	// wait at agents.
	OverbookDelay time.Duration
	// MessageCost is the delay of a task's end that is accepted to save one message.
	MessageCost time.Duration
}

// Response uses more messages to answer sooner, and detects unresponsive connections within
// half a second.
func Response() Preset {
	return Preset{Name: NameResponse, Link: link.Options{}.WithDefaults(), MaxQueued: 1, OverbookDelay: 5 * time.Millisecond, MinExchangeInterval: 50 * time.Millisecond, MessageCost: time.Millisecond}
}

// Messages saves messages: acknowledgements wait for frames that are sent anyway, and a
// connection that is unresponsive is detected within a few seconds.
func Messages() Preset {
	return Preset{
		Name: NameMessages,
		Link: link.Options{
			AckDelay: 2 * time.Second, AckTimeout: 3 * time.Second,
			Heartbeat: 10 * time.Second, HeartbeatTimeout: 24 * time.Second,
		},
		MaxQueued: 8, OverbookDelay: 150 * time.Millisecond, MinExchangeInterval: 500 * time.Millisecond, MessageCost: 5 * time.Millisecond,
	}
}

// ByName returns the preset with the name, and false if there is none.
func ByName(name string) (Preset, bool) {
	for _, p := range []Preset{Response(), Messages()} {
		if p.Name == name {
			return p, true
		}
	}
	return Preset{}, false
}
