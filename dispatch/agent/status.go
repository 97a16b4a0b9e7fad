package agent

import pb "github.com/papayahoist/papayahoist/api/papayahoistv1"

// Counts summarizes the state of an agent.
type Counts struct {
	// Running is the number of running tasks, Held the number of results that their
	// home has not acknowledged.
	Running, Held int
	// LinksUp is the number of links in use.
	LinksUp int
}

// Counts returns the current counts. It takes time proportional to the number of
// records.
func (a *Agent) Counts() Counts {
	c := Counts{Running: a.running, LinksUp: a.linksUp()}
	for _, rec := range a.jobs {
		for _, t := range rec.tasks {
			if t.result != nil && !t.acked {
				c.Held++
			}
		}
	}
	return c
}

func (a *Agent) linksUp() int {
	n := 0
	for _, p := range a.peers {
		if p.session.IsUp() {
			n++
		}
	}
	return n
}

// Load returns the current load as it is reported to entries.
func (a *Agent) Load() *pb.AgentLoad { return a.load() }

// Peers returns the entries that have or had a link, by arrival.
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
