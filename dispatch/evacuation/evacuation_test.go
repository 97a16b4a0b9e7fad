package evacuation

import (
	"testing"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// Lists come from the store and from several processes, in any order. The newest must apply,
// however late it arrives, or a restored domain stays idle and an evacuated one gets work.
func TestNewestListApplies(t *testing.T) {
	list := func(revision uint64, domains ...string) *pb.Evacuations {
		return &pb.Evacuations{Revision: revision, Domains: domains}
	}
	for name, c := range map[string]struct {
		lists   []*pb.Evacuations
		hall    bool
		applied []bool
	}{
		"none":                     {nil, false, nil},
		"nil list":                 {[]*pb.Evacuations{nil}, false, []bool{false}},
		"evacuated":                {[]*pb.Evacuations{list(5, "hall")}, true, []bool{true}},
		"another":                  {[]*pb.Evacuations{list(5, "shed")}, false, []bool{true}},
		"restored":                 {[]*pb.Evacuations{list(5, "hall"), list(7)}, false, []bool{true, true}},
		"restored, received first": {[]*pb.Evacuations{list(7), list(5, "hall")}, false, []bool{true, false}},
		"again":                    {[]*pb.Evacuations{list(5, "hall"), list(9, "hall", "shed"), list(7)}, true, []bool{true, true, false}},
		"repeated list":            {[]*pb.Evacuations{list(5, "hall"), list(5, "hall")}, true, []bool{true, false}},
		"one of two restored":      {[]*pb.Evacuations{list(5, "hall"), list(6, "hall", "shed"), list(8, "hall")}, true, []bool{true, true, true}},
	} {
		var v View
		for i, m := range c.lists {
			if got := v.Merge(m); got != c.applied[i] {
				t.Errorf("%s: list %d applied: %v, want %v", name, i, got, c.applied[i])
			}
		}
		if got := v.Has("hall"); got != c.hall {
			t.Errorf("%s: evacuated %v, want %v", name, got, c.hall)
		}
	}
}
