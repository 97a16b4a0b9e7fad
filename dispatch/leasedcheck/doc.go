// Package leasedcheck runs the decisions of entries and agents for workers with
// leases, many of them at once on virtual time, under random faults, and checks what
// they promise: one run of a task at a time, no worker over its capacity, nothing
// started on a worker that drains, "not run" only of jobs of which nothing starts,
// and complete answers only of jobs whose every task has ended well.
//
// A schedule is a pure function of its seed. Faults: messages that take long, links
// that are reset or cut and deliver late, processes that freeze or are killed, calls
// to workers that are carried out late or whose answers are lost, workers that crash
// and come back as another life, leases that lapse, callers that leave or send a job
// again.
//
// RunLoad plays jobs at a rate that a fleet can't wholly serve, or nearly so, and counts
// what is earned, refused and held for nothing, so that a change of what waits, is
// refused or is placed shows its worth in seconds.
package leasedcheck
