package job

import (
	"strings"
	"testing"
)

// Callers send ids that no program of ours has made. One that is taken for the
// token of another process, or lets a path be forged, has a job answered as
// somebody else's.
func FuzzParse(f *testing.F) {
	f.Add(strings.Repeat("a", IncarnationLength) + "-7.own")
	f.Add("plain key")
	f.Add(strings.Repeat("a", IncarnationLength) + "-99999999999999999999.x")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := Parse(s)
		if err != nil {
			return
		}
		if len(s) > maxLength || strings.ContainsAny(s, "/ \n\x00") || id.Key == "" {
			t.Fatalf("accepted %q as %+v", s, id)
		}
		if !id.HasHome() {
			return
		}
		again, err := Parse(id.Home.String() + "." + id.Key)
		if err != nil || again != id {
			t.Fatalf("%q is %+v, written again %+v, %v", s, id, again, err)
		}
	})
}
