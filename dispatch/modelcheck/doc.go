// Package modelcheck runs many entries and agents, decisions only, on virtual
// time under random faults, and checks every promise about outcomes at each step.
//
// One seed is one schedule: the same seed gives the same run, event by event. A
// World holds the processes, the links between them and callers that submit,
// resubmit and cancel; faults come from the schedule's Profile. What the checker
// knows of real starts comes from the endpoints, never from the code under test.
package modelcheck
