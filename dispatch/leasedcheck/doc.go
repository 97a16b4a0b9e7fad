// Package leasedcheck simulates many entries, agents and leased workers in virtual time
// under random faults, and checks the system's guarantees: at most one run of a task at
// a time, no worker over its capacity, no start on a draining worker, outcome NotRun
// only for jobs of which no task starts, and outcome Completed only for jobs whose
// tasks have all succeeded.
//
// A schedule is a pure function of its seed. The faults are delayed messages, links
// that are reset or partitioned and deliver late, processes that freeze or are killed,
// calls to workers that are executed late or whose responses are lost, workers that
// crash and restart as another incarnation, leases that expire, and callers that
// disconnect or resend a job.
//
// RunLoad submits jobs at a rate near or above the capacity of a fleet and reports the
// value earned, the jobs refused and the callers held without an answer. It shows the
// effect of a change to queueing, admission or placement within seconds.
package leasedcheck
