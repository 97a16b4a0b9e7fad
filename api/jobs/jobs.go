// Package jobs holds the callers' HTTP interface: paths, headers and JSON
// bodies. Entries serve it and the client package speaks it.
//
//	POST   /v1/jobs                submit a job and wait for its answer
//	GET    /v1/jobs/{id}?contract=&wait= wait for the answer of a job submitted before
//	DELETE /v1/jobs/{id}?contract= cancel a job
//	GET    /v1/home                learn the home token
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
	// ParamWait says how long GET waits for the answer: a duration such as
	// "2s", at most MaxWait, which is also the default.
	ParamWait = "wait"
)

// PathJob returns the path of one job.
func PathJob(id string) string { return PathJobs + "/" + url.PathEscape(id) }

// HeaderHome is set on every response: the incarnation of the entry that
// answered. A caller puts it in front of its own part to make a job id.
const HeaderHome = "Papayahoist-Home"

// Limits of a submission.
const (
	// MaxTasks is the most tasks a job may have.
	MaxTasks = 160
	// MaxBody is the largest request body, in bytes.
	MaxBody = 8 << 20
	// MaxTimeout is the longest deadline a job may ask for.
	MaxTimeout = 10 * time.Minute
	// MaxWait bounds one long poll for an answer.
	MaxWait = 30 * time.Second
	// MaxIDLength bounds a job id, in bytes.
	MaxIDLength = 128
)

// SubmitRequest is the body of POST /v1/jobs.
type SubmitRequest struct {
	// ID names the job: home token, a dot, and the caller's own part. Empty:
	// the entry makes one, and a resubmission is then a new job.
	ID string `json:"id,omitempty"`
	// Contract the job is accounted to.
	Contract string `json:"contract"`
	// Kind groups tasks that behave alike; sizes are learned per kind.
	Kind string `json:"kind"`
	// TimeoutMillis ends the job when it passes; zero takes the contract's default.
	TimeoutMillis uint32 `json:"timeout_ms,omitempty"`
	// WaitMillis is how long this request waits for the answer, at most MaxWait.
	WaitMillis uint32 `json:"wait_ms,omitempty"`
	// FirstSentUnixMillis is when the caller first sent this id. Only used for
	// ids that name no home.
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

// State of a job in a Response.
type State string

// States of a job.
const (
	StateRunning  State = "running"
	StateComplete State = "complete"
	StateEnded    State = "ended"
)

// Response is the body of every 200 and 202: the job's whole answer, or that it
// still runs.
type Response struct {
	ID      string   `json:"id"`
	State   State    `json:"state"`
	Results []Result `json:"results,omitempty"`
}

// Result is one task's result, at its position in the job.
type Result struct {
	Task      uint32 `json:"task"`
	Body      []byte `json:"body,omitempty"`
	RunMillis uint32 `json:"run_ms"`
}

// Outcome says what is known about work that was not completed.
type Outcome string

// Outcomes of a job that is not complete.
const (
	// OutcomeNotRun is said only with proof: no task has started, none will.
	OutcomeNotRun Outcome = "not run"
	// OutcomeFailed means tasks may have run, and the job is over.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that it can't be proven whether tasks ran.
	OutcomeUnknown Outcome = "outcome unknown"
)

// Code tells a program why a request was not answered with a complete job.
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
	// RetryAfterMillis is when asking again may help; zero: it won't.
	RetryAfterMillis uint32 `json:"retry_after_ms,omitempty"`
}

// Home is the body of GET /v1/home.
type Home struct {
	Token string `json:"token"`
}
