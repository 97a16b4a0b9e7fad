package agent

import pb "github.com/papayahoist/papayahoist/api/papayahoistv1"

// Counts sums up an agent's state.
type Counts struct {
	// Tasks running, and results that their home has not acknowledged.
	Running, Held int
	// Links in use.
	LinksUp int
}

// Counts returns the sums of now; its cost grows with the number of records.
func (a *Agent) Counts() Counts {
	c := Counts{Running: a.running, LinksUp: a.links()}
	for _, rec := range a.jobs {
		for _, t := range rec.tasks {
			if t.result != nil && !t.acked {
				c.Held++
			}
		}
	}
	return c
}

func (a *Agent) links() int {
	n := 0
	for _, p := range a.peers {
		if p.session.IsUp() {
			n++
		}
	}
	return n
}

// Load returns the load of now, as entries get it.
func (a *Agent) Load() *pb.AgentLoad { return a.load() }

// Peers returns the entries that have had a link, by arrival.
func (a *Agent) Peers() []*pb.Peer {
	list := make([]*pb.Peer, 0, len(a.peers))
	for _, p := range a.peers {
		list = append(list, &pb.Peer{
			Entry:           p.hello.Entry,
			Incarnation:     p.hello.Incarnation,
			Address:         p.hello.Address,
			FailureDomain:   p.hello.FailureDomain,
			OperatorAddress: p.hello.OperatorAddress,
			Leaving:         p.leaving,
			Suspected:       !p.session.IsUp(),
		})
	}
	return list
}
