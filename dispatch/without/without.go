// Package without names the mechanisms of the decisions on workers with leases that can
// be switched off one by one, so that what each is worth can be measured. It is for
// developers: no promise rests on a mechanism that is listed here, and a deployment has
// no reason to switch one off.
package without

import (
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// ErrUnknown is given for a name that no mechanism has.
var ErrUnknown = errorx.NewNamespace("without").NewType("unknown")

// Set is a set of mechanisms that are switched off.
type Set uint32

// Mechanisms.
const (
	// LateWork: jobs that can't be in time are taken in while their answer is of use.
	LateWork Set = 1 << iota
	// HeldJobs: a new entry holds jobs until it has met its agents.
	HeldJobs
	// PassedBy: waits are lengthened by more urgent work to come.
	PassedBy
	// PartOfWorkers: each entry chooses among its part of the workers.
	PartOfWorkers
	// Moves: runs that are slow against others are run elsewhere.
	Moves
	// Health: workers that fail or slow down get less work, or none.
	Health
	// Learning: run times are learned, where estimates would serve.
	Learning
	// GivingUp: jobs that can't end in time are given up before their time is over.
	GivingUp
	// Eager: agents report at once while work waits at an entry.
	Eager
	// Ahead: less urgent work goes ahead while what is more urgent has time.
	Ahead
	// StartBy: what waits at a worker goes by when it must start; without, as it came.
	StartBy
	// Patience: an order that waits longer than foretold is offered elsewhere.
	Patience
	// Margin: jobs are admitted with the error of lately foretold waits in mind.
	Margin
	// LateYield: late work is taken in only while it gets done.
	LateYield
	// Invitations: an entry whose own agents lack room or a label asks for others.
	Invitations
)

var names = []string{
	"late-work", "held-jobs", "passed-by", "part-of-workers", "moves", "health", "learning", "giving-up", "eager", "ahead",
	"start-by", "patience", "margin", "late-yield", "invitations",
}

// Names of all mechanisms.
func Names() []string { return slices.Clone(names) }

// Has reports whether a mechanism is switched off.
func (s Set) Has(m Set) bool { return s&m != 0 }

// Parse returns the set of the mechanisms named.
func Parse(list []string) (Set, error) {
	var s Set
	for _, name := range list {
		i := slices.Index(names, name)
		if i < 0 {
			return 0, ErrUnknown.New("no mechanism %q; there are %s", name, strings.Join(names, ", "))
		}
		s |= 1 << i
	}
	return s, nil
}
