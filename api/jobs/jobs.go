// Package jobs holds the callers' HTTP interface: paths, headers and JSON
// bodies. Entries serve it; package client implements the caller's side.
//
//	POST   /v1/jobs                submit a job and wait for its answer
//	GET    /v1/jobs/{id}?contract=&wait= wait for the answer of a submitted job
//	DELETE /v1/jobs/{id}?contract= cancel a job
//	GET    /v1/home                get the home token of the entry
package jobs

import (
	"net/url"
	"time"
)

// Paths of the callers' interface.
const (
	PathJobs = "/v1/jobs"
	PathHome = "/v1/home"
)

// Query parameters of requests about one job.
const (
	// ParamContract names the job's contract.
	ParamContract = "contract"
	// ParamWait is how long GET waits for the answer: a duration such as "2s",
	// at most MaxWait, which is also the default.
	ParamWait = "wait"
)

// PathJob returns the path of one job.
func PathJob(id string) string { return PathJobs + "/" + url.PathEscape(id) }

// HeaderHome is set on every response: the home token of the entry that
// responded, which is its incarnation. A job id is this token, a dot, and a
// part that the caller chooses.
const HeaderHome = "Papayahoist-Home"

// Limits of a submission.
const (
	// MaxTasks is the maximum number of tasks in a job.
	MaxTasks = 160
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody = 8 << 20
	// MaxTimeout is the longest timeout that a job may request.
	MaxTimeout = 10 * time.Minute
	// MaxWait limits one long poll for an answer.
	MaxWait = 30 * time.Second
	// MaxIDLength is the maximum length of a job id, in bytes.
	MaxIDLength = 128
)

// SubmitRequest is the body of POST /v1/jobs.
type SubmitRequest struct {
	// ID identifies the job: home token, a dot, and the caller's own part. If it
	// is empty, the entry creates one, and a resubmission is then a new job.
	ID string `json:"id,omitempty"`
	// Contract is the name of the contract that the job is accounted to.
	Contract string `json:"contract"`
	// Kind groups tasks with similar resource use; task sizes are estimated per
	// kind.
	Kind string `json:"kind"`
	// TimeoutMillis limits the whole job; zero means the contract's default.
	TimeoutMillis uint32 `json:"timeout_ms,omitempty"`
	// WaitMillis is how long this request waits for the answer, at most MaxWait.
	WaitMillis uint32 `json:"wait_ms,omitempty"`
	// FirstSentUnixMillis is when the caller first sent this id. It is only used
	// for ids without a home token.
	FirstSentUnixMillis int64  `json:"first_sent_unix_ms,omitempty"`
	Tasks               []Task `json:"tasks"`
}

// Task is one task of a submission. Declared sizes are hints.
type Task struct {
	Payload     []byte `json:"payload,omitempty"`
	MemoryBytes uint64 `json:"memory_bytes,omitempty"`
	CPUMillis   uint32 `json:"cpu_millis,omitempty"`
	RunMillis   uint32 `json:"run_ms,omitempty"`
}

// State is the state of a job in a Response.
type State string

// States of a job.
const (
	StateRunning  State = "running"
	StateComplete State = "complete"
	StateEnded    State = "ended"
)

// Response is the body of every 200 and 202: the complete answer of the job, or
// the state of a job that still runs.
type Response struct {
	ID      string   `json:"id"`
	State   State    `json:"state"`
	Results []Result `json:"results,omitempty"`
}

// Result is the result of one task, identified by its index in the job.
type Result struct {
	Task      uint32 `json:"task"`
	Body      []byte `json:"body,omitempty"`
	RunMillis uint32 `json:"run_ms"`
}

// Outcome states what is known about a job that was not completed.
type Outcome string

// Outcomes of a job that is not complete.
const (
	// OutcomeNotRun is only reported with proof that no task has started or
	// will start.
	OutcomeNotRun Outcome = "not run"
	// OutcomeFailed means that tasks may have run, and that the job is over.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that it can't be proven whether tasks ran.
	OutcomeUnknown Outcome = "outcome unknown"
)

// Code is a machine-readable reason why a request was not answered with a
// complete job.
type Code string

// Codes of an Error.
const (
	CodeBadRequest      Code = "bad_request"
	CodeUnauthorized    Code = "unauthorized"
	CodeNotFound        Code = "not_found"
	CodeConflict        Code = "conflict"
	CodeTooLarge        Code = "too_large"
	CodeUnknownContract Code = "unknown_contract"
	CodeRateLimited     Code = "rate_limited"
	CodeQueueFull       Code = "queue_full"
	CodeOverloaded      Code = "overloaded"
	CodeDoesNotFit      Code = "does_not_fit"
	CodeDeadline        Code = "deadline_exceeded"
	CodeCancelled       Code = "cancelled"
	CodeTaskFailed      Code = "task_failed"
	CodeAgentLost       Code = "agent_lost"
	CodeHomeLost        Code = "home_lost"
	CodeLeaving         Code = "leaving"
	CodeUnavailable     Code = "unavailable"
)

// Error is the body of every other response.
type Error struct {
	ID      string  `json:"id,omitempty"`
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome,omitempty"`
	Message string  `json:"message"`
	// RetryAfterMillis is the delay after which a retry may succeed; zero means
	// that it won't.
	RetryAfterMillis uint32 `json:"retry_after_ms,omitempty"`
}

// Home is the body of GET /v1/home.
type Home struct {
	Token string `json:"token"`
}
