package fleet

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
)

// answer is a fake process that returns status, or fails if status is nil.
type answer struct {
	papayahoistv1connect.UnimplementedOperatorServiceHandler
	status *pb.StatusResponse
}

func (a answer) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	if a.status == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("down"))
	}
	return connect.NewResponse(a.status), nil
}

func discover(t *testing.T, answers map[string]*pb.StatusResponse, addresses ...string) (*Fleet, error) {
	t.Helper()
	return Discover(context.Background(), Options{
		Addresses: addresses,
		Dial:      func(address string) Client { return answer{status: answers[address]} },
	})
}

func TestDiscoverFollowsPeers(t *testing.T) {
	// Only one of the given entries is live at first, and it doesn't know every agent.
	// The first address is that of a dead entry.
	entry := func(name string, peer string, agents ...string) *pb.StatusResponse {
		s := &pb.StatusResponse{Process: name, Incarnation: name, Role: RoleEntry,
			Peers: []*pb.Peer{{Entry: "entry-" + peer, Incarnation: "entry-" + peer, OperatorAddress: peer}}}
		for _, a := range agents {
			s.Agents = append(s.Agents, &pb.AgentStatus{Hello: &pb.AgentHello{Agent: a, OperatorAddress: a + ":1"}})
		}
		return s
	}
	answers := map[string]*pb.StatusResponse{
		"1":       entry("entry-1", "2", "agent-2", "agent-10"),
		"2":       entry("entry-2", "3", "agent-1"),
		"3":       entry("entry-3", "1"),
		"3-again": entry("entry-3", "1"),
	}
	f, err := discover(t, answers, "dead", "1", "3-again")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, p := range f.Processes {
		names = append(names, p.Name)
	}
	want := []string{"entry-1", "entry-2", "entry-3", "agent-1", "agent-2", "agent-10"}
	if diff := cmp.Diff(want, names); diff != "" {
		t.Errorf("processes (-want +got):\n%s", diff)
	}
	if len(f.Statuses) != 3 {
		t.Errorf("%d statuses, want each entry's once", len(f.Statuses))
	}
	if len(f.Failures) != 1 || f.Failures[0].Process.Title() != "process at dead" || f.Failures[0].Reason() != "unavailable: down" {
		t.Errorf("failures %v", f.Failures)
	}
}

func TestDiscoverFailsIfNoProcessAnswers(t *testing.T) {
	_, err := discover(t, nil, "1", "2")
	if !errorx.IsOfType(err, ErrNoAnswer) || !strings.Contains(err.Error(), "none of 1, 2 answers") {
		t.Errorf("error %v", err)
	}
}

func TestCompareNames(t *testing.T) {
	names := []string{"b-1", "a-10", "a", "a-9", "a-010", "a-2"}
	slices.SortStableFunc(names, CompareNames)
	if diff := cmp.Diff([]string{"a", "a-2", "a-9", "a-10", "a-010", "b-1"}, names); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}
