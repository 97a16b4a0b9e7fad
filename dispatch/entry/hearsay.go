package entry

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// Agents lists the agents that are not given up, to be told to another entry.
func (e *Entry) Agents() []*pb.AgentHello {
	var hellos []*pb.AgentHello
	for _, a := range e.agents {
		if !a.gone {
			hellos = append(hellos, a.hello)
		}
	}
	return hellos
}

// AgentsHeard takes in agents that another entry knows. Unlike an announcement
// this may be old: it adds agents, and never replaces one that is known.
func (e *Entry) AgentsHeard(now time.Time, hellos []*pb.AgentHello) {
	for _, h := range hellos {
		if h.Agent != "" && h.Incarnation != "" && h.Address != "" && e.byName[h.Agent] == nil {
			e.AgentSeen(now, h, false, false)
		}
	}
}
