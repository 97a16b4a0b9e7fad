package soak

import (
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
