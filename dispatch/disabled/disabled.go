// Package disabled names the features of the decisions on workers with leases that can be
// disabled one by one, so that the worth of each can be measured. It is for developers: no
// guarantee depends on a feature listed here, and a deployment has no reason to disable one.
package disabled

import (
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// ErrUnknown is the error for a name that no feature has.
var ErrUnknown = errorx.NewNamespace("without").NewType("unknown")

// Set is a set of disabled features.
type Set uint32

// Features.
const (
	// LateWork: jobs that can't meet their objective are admitted while their answer is of use.
	LateWork Set = 1 << iota
	// HeldJobs: a new entry holds jobs until its agents are linked.
	HeldJobs
	// Overtaking: predicted waits include more urgent work still to arrive.
	Overtaking
	// WorkerSubset: each entry chooses among its share of the workers.
	WorkerSubset
	// Moves: runs that are slow compared with others are moved to other workers.
	Moves
	// Health: workers that fail or slow down get less work, or none.
	Health
	// Learning: run times are learned; if disabled, estimates are used.
	Learning
	// Abandonment: jobs that can't end in time are abandoned before their time limit.
	Abandonment
	// Expedite: agents report immediately while work waits at an entry.
	Expedite
	// Backfill: less urgent work is started ahead of more urgent work that has time.
	Backfill
	// StartBy: what waits at a worker is ordered by latest start; if disabled, by arrival.
	StartBy
	// OrderWaitLimit: an order that waits longer than predicted is offered elsewhere.
	OrderWaitLimit
	// WaitMargin: admission allows for the recent error of predicted waits.
	WaitMargin
	// LateCompletion: late work is admitted only while most of it is completed.
	LateCompletion
	// Invitations: an entry whose own agents lack capacity or a label requests others.
	Invitations
	// Speeds: the expected run time of a task depends on the worker's speed.
	Speeds
)

var names = []string{
	"late-work", "held-jobs", "passed-by", "part-of-workers", "moves", "health", "learning", "giving-up", "eager", "ahead",
	"start-by", "patience", "margin", "late-yield", "invitations", "speeds",
}

// Names returns the names of all features.
func Names() []string { return slices.Clone(names) }

// Has reports whether a feature is disabled.
func (s Set) Has(m Set) bool { return s&m != 0 }

// Parse returns the set of the named features.
func Parse(list []string) (Set, error) {
	var s Set
	for _, name := range list {
		i := slices.Index(names, name)
		if i < 0 {
			return 0, ErrUnknown.New("unknown feature %q; known are %s", name, strings.Join(names, ", "))
		}
		s |= 1 << i
	}
	return s, nil
}
