package subset

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func names(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s-%d", prefix, i))
	}
	return out
}

// chosenBy counts the agents that choose each entry.
func chosenBy(agents, entries []string) map[string]int {
	by := map[string]int{}
	for _, a := range agents {
		for _, e := range First(a, entries, LinksPerAgent) {
			by[e]++
		}
	}
	return by
}

// Each entry must have enough agents for the jobs that callers send it, and not so many that a
// small entry spends its resources on links. The bounds are three standard deviations of a
// random choice; of a hundred entries, one or none lies outside.
func TestAgentsAreSpreadEvenly(t *testing.T) {
	for _, c := range []struct{ entries, agents int }{{55, 240}, {120, 520}, {12, 66}} {
		by := chosenBy(names("agent", c.agents), names("10.0.0", c.entries))
		mean := float64(c.agents) * min(1, LinksPerAgent/float64(c.entries))
		outside := 0
		for _, n := range by {
			if d := float64(n) - mean; d*d > 9*mean {
				outside++
			}
		}
		if len(by) != c.entries || outside > 1 {
			t.Errorf("%d entries and %d agents: %d entries have agents, %d of them too few or too many", c.entries, c.agents, len(by), outside)
		}
	}
}

// An entry is replaced by another one. Agents must keep their links to the others: each link
// that moves costs both sides a handshake, and the entry its state of the agent.
func TestFewLinksMove(t *testing.T) {
	agents, entries := names("agent", 240), names("10.0.0", 55)
	changed := append(slices.Clone(entries[1:]), "10.0.0-new")
	moved := 0
	for _, a := range agents {
		before, after := First(a, entries, LinksPerAgent), First(a, changed, LinksPerAgent)
		for _, e := range after {
			if !slices.Contains(before, e) {
				moved++
			}
		}
	}
	if per := 240 * LinksPerAgent / 55; moved > 3*per {
		t.Errorf("%d links moved; the removed entry had about %d, and the added one has as many", moved, per)
	}
}

// Up to LinksPerAgent entries the site is a full mesh, in whatever order they are listed.
func TestSmallSitesAreAFullMesh(t *testing.T) {
	entries := names("10.0.0", LinksPerAgent)
	if diff := cmp.Diff(entries, First("agent", entries, LinksPerAgent)); diff != "" {
		t.Error(diff)
	}
}

// All entries of a failure domain are lost, and with them some or all of an agent's links. The
// agent links to as many others, keeps trying the lost ones, and returns to them alone once
// they are back.
func TestUnreachableEntriesAreReplaced(t *testing.T) {
	ranked := Rank("agent", names("10.0.0", 30))
	lost := map[string]bool{ranked[0]: true, ranked[2]: true, ranked[3]: true}
	got := Choose(ranked, 4, func(a string) bool { return lost[a] })
	if diff := cmp.Diff(ranked[:7], got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(ranked[:4], Choose(ranked, 4, func(string) bool { return false })); diff != "" {
		t.Error(diff)
	}
	if got := Choose(ranked, 4, func(string) bool { return true }); len(got) != len(ranked) {
		t.Errorf("%d of %d entries are tried while all are unreachable", len(got), len(ranked))
	}
}

// First must agree with Rank, which sorts all addresses.
func TestFirstIsPrefixOfRank(t *testing.T) {
	for _, n := range []int{1, 5, 24, 25, 183, 2500} {
		entries := names("10.0.0", n)
		want := Rank("agent-7", entries)
		got := First("agent-7", entries, Advertised)
		if n > Advertised {
			want = want[:Advertised]
		} else {
			got = Rank("agent-7", got)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%d entries: %s", n, diff)
		}
	}
}

func BenchmarkFirst(b *testing.B) {
	for _, n := range []int{55, 183, 2500} {
		entries := names("10.0.0", n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				First("agent-7", entries, Advertised)
			}
		})
	}
}
