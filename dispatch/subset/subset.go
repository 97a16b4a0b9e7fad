// Package subset chooses with which entries an agent keeps links. All with all would
// cost each machine more, the larger the fleet is; so an agent keeps some, chosen by
// rendezvous hashing: agents need no agreement for it, every entry gets about as many
// agents as any other, and few links move when an entry comes or goes.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// Links is how many entries an agent keeps links with. Up to so many entries it is
	// every one, so small sites are a full mesh. A link costs an agent some two frames a
	// second at rest. Twelve leave an agent without a link one time in 4,000 when half
	// of the entries are lost at once, and at a state of four entries for each 17 workers
	// an entry reaches 50 workers: one that gets four times its share of the jobs, of
	// a fleet that is used to seven tenths, fills a quarter of them.
	Links = 12
	// Told is how many entries an agent is told of: as many again as it links to, to
	// replace those that it can't reach.
	Told = 2 * Links
)

// Rank orders the addresses for a process, those to link to first. The order of those
// that stay doesn't change when others come or go.
func Rank(name string, addresses []string) []string {
	return first(name, addresses, len(addresses))
}

// First returns the first of Rank, at most n. An entry makes it for each of its agents at
// each change of the entries, so it sorts no more than these.
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

// Choose returns those of the ranked addresses that a process keeps or tries links
// with: the first ones, until n of them are not known to be out of reach.
//
// An agent whose links all led to a lost failure domain would be idle. Those out of reach are
// tried on, since they rank higher and take their place again.
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
