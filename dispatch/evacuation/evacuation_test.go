package evacuation

import (
	"testing"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// News of one domain comes from the store and from several processes, in any order. What
// was said later must count, however late it comes, or a restored domain stays idle and an
// evacuated one gets work.
func TestLaterNewsCounts(t *testing.T) {
	list := func(revision uint64, domains ...string) *pb.Evacuations {
		return &pb.Evacuations{Revision: revision, Domains: domains}
	}
	for name, c := range map[string]struct {
		news  []*pb.Evacuations
		hall  bool
		newer []bool
	}{
		"none":                        {nil, false, nil},
		"said by nobody":              {[]*pb.Evacuations{nil}, false, []bool{false}},
		"evacuated":                   {[]*pb.Evacuations{list(5, "hall")}, true, []bool{true}},
		"another":                     {[]*pb.Evacuations{list(5, "shed")}, false, []bool{true}},
		"restored":                    {[]*pb.Evacuations{list(5, "hall"), list(7)}, false, []bool{true, true}},
		"restored, heard before":      {[]*pb.Evacuations{list(7), list(5, "hall")}, false, []bool{true, false}},
		"again":                       {[]*pb.Evacuations{list(5, "hall"), list(9, "hall", "shed"), list(7)}, true, []bool{true, true, false}},
		"said twice":                  {[]*pb.Evacuations{list(5, "hall"), list(5, "hall")}, true, []bool{true, false}},
		"one that stays with another": {[]*pb.Evacuations{list(5, "hall"), list(6, "hall", "shed"), list(8, "hall")}, true, []bool{true, true, true}},
	} {
		var v View
		for i, m := range c.news {
			if got := v.Merge(m); got != c.newer[i] {
				t.Errorf("%s: news %d counts as newer: %v, want %v", name, i, got, c.newer[i])
			}
		}
		if got := v.Has("hall"); got != c.hall {
			t.Errorf("%s: evacuated %v, want %v", name, got, c.hall)
		}
	}
}
