// Package subset chooses the entries with which an agent keeps links. If all agents were linked
// to all entries, the cost of each machine would grow with the fleet, so an agent keeps links
// to a subset chosen by rendezvous hashing. Agents need no agreement for that, every entry gets
// about the same number of agents, and few links move when an entry joins or leaves.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// LinksPerAgent is how many entries an agent keeps links with. With up to that many entries the
	// site is a full mesh. A link costs an agent about two frames a second at rest. With twelve
	// links, an agent is left without a link one time in 4,000 when half of the entries are
	// lost at once. In a site with four entries for each 17 workers, an entry then reaches 50
	// workers: if it gets four times its share of the jobs and the fleet is 70 % utilized, its
	// jobs fill a quarter of them.
	LinksPerAgent = 12
	// Advertised is how many entries are advertised to an agent: twice as many as it links to, so
	// that it can replace those that it can't reach.
	Advertised = 2 * LinksPerAgent
)

// Rank orders the addresses for a process, the most preferred first. The relative order of two
// addresses doesn't change when others are added or removed.
func Rank(name string, addresses []string) []string {
	return first(name, addresses, len(addresses))
}

// First returns at most n addresses, the first ones of Rank if there are more. An entry
// computes it for each of its agents whenever the set of entries changes, which is often while
// a site starts, so only the returned addresses are sorted.
func First(name string, addresses []string, n int) []string {
	if len(addresses) <= n {
		return addresses
	}
	return first(name, addresses, n)
}

type ranked struct {
	address string
	score   uint64
}

func (r ranked) compare(o ranked) int {
	return cmp.Or(cmp.Compare(o.score, r.score), cmp.Compare(r.address, o.address))
}

func first(name string, addresses []string, n int) []string {
	top := make([]ranked, 0, n+1)
	for _, a := range addresses {
		r := ranked{a, score(name, a)}
		if len(top) == n && (n == 0 || r.compare(top[n-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, r, ranked.compare)
		top = slices.Insert(top, at, r)
		top = top[:min(len(top), n)]
	}
	out := make([]string, len(top))
	for i, r := range top {
		out[i] = r.address
	}
	return out
}

func score(name, address string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(address)
	return d.Sum64()
}

// Choose returns those of the ranked addresses with which a process keeps links or tries to:
// the shortest prefix that has n addresses not known to be down, or all.
//
// Without the replacements, an agent whose links all led to a lost failure domain would be
// idle. Addresses that are down are tried further, since they rank higher and are used again
// once they are reachable.
func Choose(ranked []string, n int, down func(address string) bool) []string {
	for i, a := range ranked {
		if !down(a) {
			n--
		}
		if n == 0 {
			return ranked[:i+1]
		}
	}
	return ranked
}
