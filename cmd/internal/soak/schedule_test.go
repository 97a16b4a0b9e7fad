package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A finding can only be reproduced if its seed yields the same schedule again.
func TestPlanIsDeterministic(t *testing.T) {
	size, _ := SizeByName("usual")
	one, err := Plan(7, time.Minute, size)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := Plan(7, time.Minute, size)
	if diff := cmp.Diff(one, again); diff != "" {
		t.Error(diff)
	}
	other, _ := Plan(8, time.Minute, size)
	if cmp.Equal(one.Actions, other.Actions) {
		t.Error("two seeds yield the same schedule")
	}
}

// Promises with a time bound are checked in calm spans: no fault may extend into
// one, and the last span must reach the end.
func TestFaultsEndBeforeCalmSpans(t *testing.T) {
	for _, size := range sizes {
		for seed := range uint64(200) {
			s, err := Plan(seed, 70*time.Second, size)
			if err != nil {
				t.Fatal(err)
			}
			for _, a := range s.Actions {
				for _, c := range s.Calms {
					if !a.Calm && a.At < c.To && a.At+a.For > c.From+time.Millisecond {
						t.Fatalf("size %s, seed %d: %+v reaches into the calm from %v to %v", size.Name, seed, a, c.From, c.To)
					}
				}
			}
			if last := s.Calms[len(s.Calms)-1]; last.To != s.Duration {
				t.Fatalf("size %s, seed %d: the last calm ends at %v", size.Name, seed, last.To)
			}
		}
	}
}

func TestPlanRejectsShortDuration(t *testing.T) {
	if _, err := Plan(1, 5*time.Second, sizes[0]); err == nil {
		t.Error("Plan accepted a duration of five seconds")
	}
}

// A finding names its seed: refusals and odd answers must leave the seed's other actions as
// they were, or the finding can't be reproduced.
func TestRefusalsLeaveOtherActionsUnchanged(t *testing.T) {
	const want = "16192d95469b8c481c61437da4e4194234bc5dca821d4e997c6097674a05ca90"
	sum := sha256.New()
	out := json.NewEncoder(sum)
	for _, name := range []string{"small", "usual"} {
		size, _ := SizeByName(name)
		for _, seed := range []uint64{2002, 3004, 5011, 5019, 5030, 6001, 6016, 6024, 6028} {
			s, err := Plan(seed, 40*time.Second, size)
			if err != nil {
				t.Fatal(err)
			}
			for _, a := range s.Actions {
				if a.Kind != RefuseLink && a.Kind != AnswerOddly {
					_ = out.Encode(a)
				}
			}
		}
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != want {
		t.Errorf("digest of the actions %s, want %s", got, want)
	}
}

// A schedule without refusals on a path, or with a single one at a time, would miss
// faults in what the processes conclude from them.
func TestPlanRefusesLinks(t *testing.T) {
	for _, size := range sizes {
		byPath, overlaps := map[Path]int{}, 0
		for seed := range uint64(20) {
			s, err := Plan(seed, 40*time.Second, size)
			if err != nil {
				t.Fatal(err)
			}
			var until time.Duration
			for _, a := range s.Actions {
				if a.Kind != RefuseLink {
					continue
				}
				byPath[a.Path]++
				if a.At < until {
					overlaps++
				}
				until = max(until, a.At+a.For)
				if a.For <= 0 || a.For > maxRefusalLength {
					t.Errorf("size %s, seed %d: %+v", size.Name, seed, a)
				}
			}
		}
		for _, p := range paths {
			if byPath[p] == 0 {
				t.Errorf("size %s: no refusal on %s in 20 schedules", size.Name, p)
			}
		}
		if overlaps == 0 {
			t.Errorf("size %s: no two refusals overlap in 20 schedules", size.Name)
		}
	}
}
