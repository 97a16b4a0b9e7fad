package dispatcher

import (
	"net"
	"slices"
	"strings"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// routes is an immutable index of the queues of one configuration. It is replaced
// as a whole, so that a request sees a single version.
type routes struct {
	version uint64
	limits  *pb.Limits
	// byHost holds the queues of each host, longest prefix first.
	byHost map[string][]*pb.Queue
}

func newRoutes(c *pb.Configuration) *routes {
	r := &routes{version: c.Version, limits: c.Limits, byHost: make(map[string][]*pb.Queue)}
	for _, q := range c.Queues {
		r.byHost[q.Host] = append(r.byHost[q.Host], q)
	}
	for _, queues := range r.byHost {
		slices.SortStableFunc(queues, func(a, b *pb.Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return r
}

func (r *routes) find(host, path string) (*pb.Queue, string, uint64) {
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	for _, q := range r.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, r.version
		}
	}
	return nil, "", r.version
}
