package entry

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/node/connlimit"
)

// callersHandler serves the callers' HTTP API defined in api/jobs.
func (e *Entry) callersHandler() http.Handler {
	r := chi.NewRouter()
	r.Use(e.withHome)
	r.Get(jobs.PathHome, e.handleHome)
	r.Post(jobs.PathJobs, e.handleSubmit)
	r.Get(jobs.PathJobs+"/{id}", e.handleFetch)
	r.Delete(jobs.PathJobs+"/{id}", e.handleCancel)
	r.NotFound(handleNotFound)
	r.MethodNotAllowed(handleMethodNotAllowed)
	return r
}

func handleNotFound(w http.ResponseWriter, _ *http.Request) {
	writeError(w, refusal("", jobs.CodeNotFound, "no such path; see the documentation of the callers' interface"))
}

func handleMethodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusMethodNotAllowed, jobs.Error{
		Code: jobs.CodeBadRequest, Outcome: jobs.OutcomeNotRun, Message: "the path does not support this method",
	})
}

func (e *Entry) token() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Token(time.Now()).String()
}

func (e *Entry) withHome(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(jobs.HeaderHome, e.token())
		next.ServeHTTP(w, r)
	})
}

func (e *Entry) handleHome(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, jobs.Home{Token: e.token()})
}

func (e *Entry) handleSubmit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, jobs.MaxBody))
	if err != nil {
		writeBadBody(w, err)
		return
	}
	in, trailing, err := decodeSubmission(body)
	if err != nil {
		writeBadBody(w, err)
		return
	}
	if !connlimit.Hold(r.Context(), int64(len(body))) {
		refuseRequest(w, r)
		return
	}
	if trailing {
		writeError(w, denial(in.ID, request{fresh: neverUsed(in.ID)}, jobs.CodeBadRequest, "the body has data after the JSON value"))
		return
	}
	if msg := e.check(in); msg != "" {
		writeError(w, denial(in.ID, request{fresh: neverUsed(in.ID)}, jobs.CodeBadRequest, msg))
		return
	}
	fresh := in.ID == ""
	if fresh {
		in.ID = e.token() + "." + rand.Text()
	}
	e.respond(w, r, in.ID, request{job: toJob(in), contract: in.Contract, fresh: fresh, wait: clampWait(in.WaitMillis)})
}

// neverUsed reports whether no job can have run under id, because it is empty or
// not valid at any entry.
func neverUsed(id string) bool {
	if id == "" {
		return true
	}
	_, err := job.Parse(id)
	return err != nil
}

func (e *Entry) check(in *jobs.SubmitRequest) string {
	switch {
	case in.Contract == "":
		return "contract is missing"
	case len(in.Tasks) == 0 || len(in.Tasks) > jobs.MaxTasks:
		return "tasks: want 1 to 160"
	case time.Duration(in.TimeoutMillis)*time.Millisecond > jobs.MaxTimeout:
		return "timeout_ms: want at most 600000"
	}
	if in.ID != "" {
		if _, err := job.Parse(in.ID); err != nil {
			return "id: want 1 to 128 printable ASCII characters without space and slash"
		}
	}
	return ""
}

func clampWait(millis uint32) time.Duration {
	d := time.Duration(millis) * time.Millisecond
	if d == 0 || d > jobs.MaxWait {
		return jobs.MaxWait
	}
	return d
}

func toJob(in *jobs.SubmitRequest) *pb.Job {
	j := &pb.Job{
		Id: in.ID, Contract: in.Contract, Kind: in.Kind, TimeoutMs: in.TimeoutMillis,
		FirstSentUnixMs: in.FirstSentUnixMillis, Tasks: make([]*pb.Task, len(in.Tasks)),
	}
	tasks := make([]pb.Task, len(in.Tasks))
	for i, t := range in.Tasks {
		p := &tasks[i]
		p.Payload, p.MemoryBytes, p.CpuMillis, p.RunMillis = t.Payload, t.MemoryBytes, t.CPUMillis, t.RunMillis
		j.Tasks[i] = p
	}
	return j
}

func (e *Entry) handleFetch(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait > jobs.MaxWait || wait < 0 {
		wait = jobs.MaxWait
	}
	e.respond(w, r, id, request{job: &pb.Job{Id: id}, contract: r.URL.Query().Get("contract"), fetch: true, wait: wait})
}

func (e *Entry) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	e.respond(w, r, id, request{job: &pb.Job{Id: id}, contract: r.URL.Query().Get("contract"), cancel: true, wait: jobs.MaxWait})
}

// respond serves a request, forwarding it if the job's home is another entry, and
// writes the response.
func (e *Entry) respond(w http.ResponseWriter, r *http.Request, id string, rq request) {
	if denied := e.authorize(r, id, rq); denied != nil {
		writeError(w, denied)
		return
	}
	rp := e.route(r.Context(), id, rq)
	switch {
	case !rp.known:
		writeError(w, &pb.Answer{Job: id, Code: string(jobs.CodeNotFound), Message: "no such job of this contract"})
	case rp.answer == nil:
		writeJSON(w, http.StatusAccepted, jobs.Response{ID: id, State: jobs.StateRunning})
	case rp.answer.Outcome == pb.Outcome_OUTCOME_COMPLETE:
		writeJSON(w, http.StatusOK, completeResponse(rp.answer))
	default:
		writeError(w, rp.answer)
	}
}

func completeResponse(a *pb.Answer) jobs.Response {
	out := jobs.Response{ID: a.Job, State: jobs.StateComplete, Results: make([]jobs.Result, len(a.Results))}
	for i, r := range a.Results {
		out.Results[i] = jobs.Result{Task: r.Task, Body: r.Body, RunMillis: r.RunMillis}
	}
	return out
}

func refusal(id string, code jobs.Code, message string) *pb.Answer {
	return &pb.Answer{Job: id, Outcome: pb.Outcome_OUTCOME_NOT_RUN, Code: string(code), Message: message}
}

// maxRefusalSeconds is the longest time after which a refused caller is told to return. Callers
// that are refused together are told times apart.
const maxRefusalSeconds = 3

// refuseRequest responds to a request for which there is not enough memory.
func refuseRequest(w http.ResponseWriter, _ *http.Request) {
	a := refusal("", jobs.CodeOverloaded, "the entry has not enough memory for the request")
	a.RetryAfterMs = uint32(time.Second.Milliseconds() * (1 + mathrand.Int64N(maxRefusalSeconds)))
	writeError(w, a)
}

// maxErrorText is the length of the longest error text in a response. Errors of the decoder quote
// the body.
const maxErrorText = 200

func writeBadBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, refusal("", jobs.CodeTooLarge, "the body is larger than 8 MiB"))
		return
	case connlimit.IsNoMemory(err):
		w.Header().Set("Connection", "close")
		refuseRequest(w, nil)
		return
	}
	writeError(w, refusal("", jobs.CodeBadRequest, fmt.Sprintf("the body is not the JSON of a submission: %.*s", maxErrorText, err.Error())))
}

var outcomes = map[pb.Outcome]jobs.Outcome{
	pb.Outcome_OUTCOME_FAILED:  jobs.OutcomeFailed,
	pb.Outcome_OUTCOME_NOT_RUN: jobs.OutcomeNotRun,
	pb.Outcome_OUTCOME_UNKNOWN: jobs.OutcomeUnknown,
}

var statuses = map[jobs.Code]int{
	jobs.CodeBadRequest:      http.StatusBadRequest,
	jobs.CodeUnauthorized:    http.StatusUnauthorized,
	jobs.CodeNotFound:        http.StatusNotFound,
	jobs.CodeConflict:        http.StatusConflict,
	jobs.CodeTooLarge:        http.StatusRequestEntityTooLarge,
	jobs.CodeUnknownContract: http.StatusForbidden,
	jobs.CodeRateLimited:     http.StatusTooManyRequests,
	jobs.CodeQueueFull:       http.StatusTooManyRequests,
	jobs.CodeOverloaded:      http.StatusServiceUnavailable,
	jobs.CodeDoesNotFit:      http.StatusUnprocessableEntity,
	jobs.CodeDeadline:        http.StatusGatewayTimeout,
	jobs.CodeCancelled:       http.StatusConflict,
	jobs.CodeTaskFailed:      http.StatusBadGateway,
	jobs.CodeAgentLost:       http.StatusBadGateway,
	jobs.CodeHomeLost:        http.StatusBadGateway,
	jobs.CodeLeaving:         http.StatusServiceUnavailable,
	jobs.CodeUnavailable:     http.StatusServiceUnavailable,
}

func writeError(w http.ResponseWriter, a *pb.Answer) {
	status, ok := statuses[jobs.Code(a.Code)]
	if !ok {
		status = http.StatusInternalServerError
	}
	writeJSON(w, status, jobs.Error{
		ID: a.Job, Code: jobs.Code(a.Code), Outcome: outcomes[a.Outcome], Message: a.Message, RetryAfterMillis: a.RetryAfterMs,
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // on error the caller has disconnected; it can fetch the answer again
}

// NewIncarnation returns 128 random bits in hex.
func NewIncarnation() string {
	var b [job.IncarnationLength / 2]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
