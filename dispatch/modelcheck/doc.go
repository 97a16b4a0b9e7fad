// Package modelcheck runs the state machines of several entries and agents on virtual
// time under random faults, and checks all guarantees about outcomes at each step.
//
// A seed defines a schedule: the same seed gives the same sequence of events. A
// World holds the processes, the links between them and callers that submit,
// resubmit and cancel jobs; the schedule's Profile defines the faults. The checker
// learns of actual starts from the simulated endpoints, never from the code under test.
package modelcheck
