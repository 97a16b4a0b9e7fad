package job

import (
	"strings"
	"testing"
)

// Callers may send ids that no client of this project has made. If an id is mistaken
// for the token of another process, or allows a path to be forged, its caller gets
// the answer of another job.
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
		reparsed, err := Parse(id.Home.String() + "." + id.Key)
		if err != nil || reparsed != id {
			t.Fatalf("%q is %+v, after a round trip %+v, %v", s, id, reparsed, err)
		}
	})
}
