package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	"github.com/papayahoist/papayahoist/api/jobs"
)

// handler handles one request.
type handler func(f *fakeEntries, r *http.Request) (*http.Response, error)

// seenRequest is one request that fakeEntries received.
type seenRequest struct {
	Method, ID, Body string
	At               time.Duration
}

// fakeEntries simulates entries on virtual time: each request is passed to the
// next handler, and to the last one once they are used up.
type fakeEntries struct {
	start    time.Time
	home     string
	handlers []handler
	requests []seenRequest
}

func (f *fakeEntries) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == jobs.PathHome {
		return f.reply(http.StatusOK, jobs.Home{Token: f.home}), nil
	}
	body := ""
	id := strings.TrimPrefix(r.URL.Path, jobs.PathJobs+"/")
	if r.Method == http.MethodPost {
		text, _ := io.ReadAll(r.Body)
		var request jobs.SubmitRequest
		json.Unmarshal(text, &request)
		body, id = string(text), request.ID
	}
	f.requests = append(f.requests, seenRequest{r.Method, id, body, time.Since(f.start)})
	next := f.handlers[min(len(f.requests), len(f.handlers))-1]
	return next(f, r)
}

func (f *fakeEntries) reply(status int, body any) *http.Response {
	text, _ := json.Marshal(body)
	return f.text(status, string(text))
}

func (f *fakeEntries) text(status int, body string) *http.Response {
	return &http.Response{
		StatusCode: status,
		Header:     http.Header{jobs.HeaderHome: {f.home}},
		Body:       io.NopCloser(strings.NewReader(body)),
	}
}

func (f *fakeEntries) id() string { return f.requests[len(f.requests)-1].ID }

func results(tasks ...uint32) []jobs.Result {
	var all []jobs.Result
	for _, task := range tasks {
		all = append(all, jobs.Result{Task: task, Body: []byte{byte(task)}})
	}
	return all
}

func respondComplete(tasks ...uint32) handler {
	return func(f *fakeEntries, _ *http.Request) (*http.Response, error) {
		return f.reply(http.StatusOK, jobs.Response{ID: f.id(), State: jobs.StateComplete, Results: results(tasks...)}), nil
	}
}

func respondOtherJob(f *fakeEntries, _ *http.Request) (*http.Response, error) {
	return f.reply(http.StatusOK, jobs.Response{ID: "other", State: jobs.StateComplete, Results: results(0, 1)}), nil
}

func respondRunning(f *fakeEntries, r *http.Request) (*http.Response, error) {
	select {
	case <-time.After(DefaultWait):
		return f.reply(http.StatusAccepted, jobs.Response{ID: f.id(), State: jobs.StateRunning}), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func respondError(status int, e jobs.Error) handler {
	return func(f *fakeEntries, _ *http.Request) (*http.Response, error) { return f.reply(status, e), nil }
}

// requirePost responds like next if the whole job was sent, and refuses other requests.
func requirePost(next handler) handler {
	return func(f *fakeEntries, r *http.Request) (*http.Response, error) {
		if r.Method != http.MethodPost {
			return f.reply(http.StatusNotFound, jobs.Error{Code: jobs.CodeTaskFailed, Outcome: jobs.OutcomeFailed}), nil
		}
		return next(f, r)
	}
}

func respondText(code int, body string) handler {
	return func(f *fakeEntries, _ *http.Request) (*http.Response, error) { return f.text(code, body), nil }
}

func noConnection(*fakeEntries, *http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
}

func connectionReset(*fakeEntries, *http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "read", Err: errors.New("reset")}
}

func noResponse(_ *fakeEntries, r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

func truncated(f *fakeEntries, _ *http.Request) (*http.Response, error) {
	response := f.text(http.StatusOK, "")
	response.Body = io.NopCloser(io.MultiReader(strings.NewReader(`{"id":`), brokenReader{}))
	return response, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// fromOtherHome responds like next, from an entry with another incarnation.
func fromOtherHome(next handler) handler {
	return func(f *fakeEntries, r *http.Request) (*http.Response, error) {
		f.home = "home-2"
		return next(f, r)
	}
}

var (
	homeUnresponsive = jobs.Error{Code: jobs.CodeHomeLost, Message: "home is silent", Outcome: jobs.OutcomeUnknown, RetryAfterMillis: 100}
	leaving          = jobs.Error{Code: jobs.CodeLeaving, Outcome: jobs.OutcomeNotRun, RetryAfterMillis: 1000}
	homeLost         = jobs.Error{Code: jobs.CodeHomeLost, Outcome: jobs.OutcomeNotRun, Message: "home is gone"}
	rateLimited      = jobs.Error{Code: jobs.CodeRateLimited, Outcome: jobs.OutcomeNotRun, Message: "later", RetryAfterMillis: 400}
)

// run submits a job of two tasks to f and returns its result and duration on
// virtual time.
func run(t *testing.T, f *fakeEntries, job Job) (answer *Answer, took time.Duration, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f.start, f.home = time.Now(), "home-1"
		c, newErr := New(Options{Addresses: []string{"http://10.0.0.1:1"}, HTTPClient: &http.Client{Transport: f}})
		if newErr != nil {
			t.Fatal(newErr)
		}
		job.Contract, job.Kind, job.Tasks = "desk", "stamp", make([]jobs.Task, 2)
		answer, err = c.Submit(context.Background(), job)
		took = time.Since(f.start)
	})
	return answer, took, err
}

// Requests or answers are lost, connections hang, or the entry behind the
// balancer changes. The job must be sent again with the same id and body each
// time: otherwise its tasks could start twice.
func TestSubmitSurvivesFaults(t *testing.T) {
	refusedWithoutProof := jobs.Error{Code: jobs.CodeUnavailable, Message: "home unreachable", Outcome: jobs.OutcomeUnknown, RetryAfterMillis: 100}
	tests := []struct {
		name     string
		handlers []handler
		requests int
		// Bounds of the duration.
		minDuration, maxDuration time.Duration
	}{
		{"no fault", []handler{respondComplete(0, 1)}, 1, 0, 0},
		{"results out of order", []handler{respondComplete(1, 0)}, 1, 0, 0},
		{"answer lost", []handler{connectionReset, respondComplete(0, 1)}, 2, 0, backoffBase},
		{"connection silent", []handler{noResponse, respondComplete(0, 1)}, 2, DefaultWait + DefaultSilence, DefaultWait + DefaultSilence + backoffBase},
		{"body cut", []handler{truncated, respondComplete(0, 1)}, 2, 0, backoffBase},
		{"result missing", []handler{respondComplete(0), respondComplete(0, 1)}, 2, 0, backoffBase},
		{"result twice", []handler{respondComplete(0, 0), respondComplete(0, 1)}, 2, 0, backoffBase},
		{"result of no task", []handler{respondComplete(0, 7), respondComplete(0, 1)}, 2, 0, backoffBase},
		{"another job's answer", []handler{respondOtherJob, respondComplete(0, 1)}, 2, 0, backoffBase},
		{"balancer's error page", []handler{respondText(http.StatusBadGateway, "<html>"), respondComplete(0, 1)}, 2, 0, backoffBase},
		{"home changed after a lost answer", []handler{connectionReset, fromOtherHome(connectionReset), fromOtherHome(respondComplete(0, 1))}, 3, 0, 3 * backoffBase},
		{"home unreachable for a while", []handler{respondError(503, refusedWithoutProof), respondComplete(0, 1)}, 2, 100 * time.Millisecond, 150 * time.Millisecond},
		{"long job", []handler{respondRunning, respondRunning, respondComplete(0, 1)}, 3, 2 * DefaultWait, 2 * DefaultWait},
		{"long job, then silence", []handler{respondRunning, noResponse, respondComplete(0, 1)}, 3, 2*DefaultWait + DefaultSilence, 2*DefaultWait + DefaultSilence + backoffBase},
		{"accepted, then its home lost", []handler{respondRunning, respondError(502, homeUnresponsive), requirePost(respondComplete(0, 1))}, 3, DefaultWait + 100*time.Millisecond, DefaultWait + 150*time.Millisecond},
		{"accepted, then forgotten", []handler{respondRunning, respondError(404, jobs.Error{Code: jobs.CodeNotFound}), respondComplete(0, 1)}, 3, DefaultWait, DefaultWait + backoffBase},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &fakeEntries{handlers: test.handlers}
			answer, took, err := run(t, f, Job{Timeout: 20 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			want := &Answer{ID: f.requests[0].ID, Results: results(0, 1)}
			if diff := cmp.Diff(want, answer); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			checkOneJob(t, f.requests)
			if len(f.requests) != test.requests || took < test.minDuration || took > test.maxDuration {
				t.Errorf("%d requests in %s, want %d in %s to %s", len(f.requests), took, test.requests, test.minDuration, test.maxDuration)
			}
		})
	}
}

// An entry refuses a job temporarily. "Not run" is final for the id, whatever
// requests are still in flight, so the next attempt must use a new id. If the
// caller chose the id, there is no next attempt.
func TestRetryAfterTemporaryRefusal(t *testing.T) {
	f := &fakeEntries{handlers: []handler{respondError(429, rateLimited), respondComplete(0, 1)}}
	answer, took, err := run(t, f, Job{Timeout: 20 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if len(f.requests) != 2 || f.requests[0].ID == f.requests[1].ID {
		t.Fatalf("requests %+v, want two under different ids", f.requests)
	}
	want := &Answer{ID: f.requests[1].ID, Results: results(0, 1)}
	if diff := cmp.Diff(want, answer); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	checkOneJob(t, f.requests[1:])
	if took < 400*time.Millisecond || took > 450*time.Millisecond {
		t.Errorf("took %s, want 400 ms as the entry said", took)
	}

	// The second attempt must send only the remaining time: a job that runs past the
	// caller's deadline would end with an unknown outcome.
	if first, second := timeoutOfBody(t, f.requests[0].Body), timeoutOfBody(t, f.requests[1].Body); second > first-400 {
		t.Errorf("timeouts of %d and then %d ms, want the elapsed time subtracted", first, second)
	}

	f = &fakeEntries{handlers: []handler{respondError(429, rateLimited), respondComplete(0, 1)}}
	if _, _, err = run(t, f, Job{ID: "home-1.mine"}); !errorx.IsOfType(err, NotRun) || len(f.requests) != 1 {
		t.Errorf("%d requests and error %v, want one and not run", len(f.requests), err)
	}
}

func timeoutOfBody(t *testing.T, body string) uint32 {
	t.Helper()
	var sent jobs.SubmitRequest
	if err := json.Unmarshal([]byte(body), &sent); err != nil {
		t.Fatal(err)
	}
	return sent.TimeoutMillis
}

// checkOneJob checks that all requests refer to the same job, and that all
// submissions are identical.
func checkOneJob(t *testing.T, all []seenRequest) {
	t.Helper()
	if !strings.HasPrefix(all[0].ID, "home-1.") || len(all[0].ID) != len("home-1.")+22 {
		t.Errorf("id %q, want the home token, a dot and 128 bits", all[0].ID)
	}
	for _, request := range all {
		if request.ID != all[0].ID {
			t.Errorf("id changed from %q to %q", all[0].ID, request.ID)
		}
		if request.Method == http.MethodPost && request.Body != all[0].Body {
			t.Errorf("body changed from %s to %s", all[0].Body, request.Body)
		}
	}
}

// The home died before the job reached it, so no entry may start the job under
// its id any more. If that is proven, or if nothing was ever sent, the client
// must retry under a new id. If the caller chose the id, it gets the error.
func TestSubmitSwitchesHome(t *testing.T) {
	tests := []struct {
		name     string
		handlers []handler
	}{
		{"home proven gone", []handler{fromOtherHome(respondError(410, homeLost)), respondComplete(0, 1)}},
		{"home leaving", []handler{respondError(503, leaving), fromOtherHome(respondComplete(0, 1))}},
		{"no connection", []handler{noConnection, fromOtherHome(respondComplete(0, 1))}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &fakeEntries{handlers: test.handlers}
			if _, _, err := run(t, f, Job{Timeout: time.Second}); err != nil {
				t.Fatal(err)
			}
			if f.requests[0].ID == f.requests[1].ID {
				t.Errorf("both requests have id %q", f.requests[0].ID)
			}
		})
	}
	f := &fakeEntries{handlers: []handler{fromOtherHome(respondError(410, homeLost))}}
	_, _, err := run(t, f, Job{ID: "home-1.kept", Timeout: time.Second})
	if !errorx.IsOfType(err, NotRun) || len(f.requests) != 1 {
		t.Errorf("kept id: error %v after %d requests, want not run after one", err, len(f.requests))
	}
}

// A job can't be served. The error must not claim more than is known: callers
// repeat a job that was reported as not run, so reporting that after an
// unanswered request would run its tasks twice.
func TestSubmitErrorTypes(t *testing.T) {
	failed := jobs.Error{Code: jobs.CodeTaskFailed, Outcome: jobs.OutcomeFailed, RetryAfterMillis: 10}
	tests := []struct {
		name     string
		handlers []handler
		kind     *errorx.Type
		code     jobs.Code
	}{
		{"refused", []handler{respondError(422, jobs.Error{Code: jobs.CodeDoesNotFit, Outcome: jobs.OutcomeNotRun})}, NotRun, jobs.CodeDoesNotFit},
		{"id of another job", []handler{respondError(409, jobs.Error{Code: jobs.CodeConflict, Outcome: jobs.OutcomeNotRun})}, OutcomeUnknown, jobs.CodeConflict},
		{"failed", []handler{respondError(500, failed)}, Failed, jobs.CodeTaskFailed},
		{"home died", []handler{respondError(410, jobs.Error{Code: jobs.CodeHomeLost, Outcome: jobs.OutcomeUnknown})}, OutcomeUnknown, jobs.CodeHomeLost},
		{"error without an outcome", []handler{respondError(500, jobs.Error{Code: jobs.CodeUnavailable})}, OutcomeUnknown, jobs.CodeUnavailable},
		{"never connected", []handler{noConnection}, NotRun, ""},
		{"never answered", []handler{noResponse}, OutcomeUnknown, ""},
		{"refused to the end", []handler{respondError(429, rateLimited)}, NotRun, jobs.CodeRateLimited},
		{"refused, then silent", []handler{respondError(429, rateLimited), noResponse}, OutcomeUnknown, ""},
		{"reset, then no connection", []handler{connectionReset, noConnection}, OutcomeUnknown, ""},
		{"runs on", []handler{respondRunning}, OutcomeUnknown, ""},
		{"half an answer to the end", []handler{respondComplete(0)}, OutcomeUnknown, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &fakeEntries{handlers: test.handlers}
			answer, took, err := run(t, f, Job{Timeout: 5 * time.Second})
			if answer != nil || !errorx.IsOfType(err, test.kind) || CodeOf(err) != test.code {
				t.Errorf("answer %v, error %v, code %q; want %s, code %q", answer, err, CodeOf(err), test.kind, test.code)
			}
			if took > 5*time.Second+DefaultSilence {
				t.Errorf("took %s, past the deadline", took)
			}
			if JobOf(err) == "" {
				t.Errorf("error names no job: %v", err)
			}
		})
	}
}

// The entries are unreachable while many jobs are submitted. If each job were
// retried as often as its deadline allows, recovering entries would face a
// multiple of the load; the budget must limit retries to a fraction of the jobs.
func TestRetriesStayInBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEntries{start: time.Now(), home: "home-1", handlers: []handler{respondText(http.StatusBadGateway, "")}}
		c, err := New(Options{Addresses: []string{"http://10.0.0.1:1"}, HTTPClient: &http.Client{Transport: f}})
		if err != nil {
			t.Fatal(err)
		}
		const submissions = 100
		for range submissions {
			job := Job{Contract: "desk", Kind: "stamp", Timeout: time.Second, Tasks: make([]jobs.Task, 1)}
			if _, err := c.Submit(context.Background(), job); err == nil {
				t.Fatal("no error")
			}
		}
		elapsed := time.Since(f.start).Seconds()
		maxRequests := submissions + budgetBurst + int(submissions*budgetPerJob+elapsed*budgetPerSecond)
		if len(f.requests) > maxRequests || len(f.requests) <= submissions {
			t.Errorf("%d requests for %d jobs in %.1f s, want some retries and at most %d", len(f.requests), submissions, elapsed, maxRequests)
		}
	})
}

// Over real sockets: the entry dies in the middle of a response, and the next
// request must succeed.
func TestSubmitOverSockets(t *testing.T) {
	requests := 0
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+jobs.PathHome, func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(jobs.Home{Token: "home-1"})
	})
	mux.HandleFunc("POST "+jobs.PathJobs, func(w http.ResponseWriter, r *http.Request) {
		requests++
		var request jobs.SubmitRequest
		json.NewDecoder(r.Body).Decode(&request)
		if requests == 1 {
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, `{"id":`)
			panic(http.ErrAbortHandler)
		}
		json.NewEncoder(w).Encode(jobs.Response{ID: request.ID, State: jobs.StateComplete, Results: results(0)})
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	c, err := New(Options{Addresses: []string{server.URL}, Token: "secret"})
	if err != nil {
		t.Fatal(err)
	}
	answer, err := c.Submit(context.Background(), Job{Contract: "desk", Kind: "stamp", Tasks: make([]jobs.Task, 1)})
	if err != nil || len(answer.Results) != 1 || requests != 2 {
		t.Errorf("answer %v, error %v after %d requests", answer, err, requests)
	}
}

func TestGetAndCancel(t *testing.T) {
	tests := []struct {
		name    string
		handler handler
		get     *errorx.Type // of Get's error; nil: none
		stop    *errorx.Type // of Cancel's error
	}{
		{"complete", respondComplete(0, 1), nil, nil},
		{"running", respondRunning, nil, nil},
		{"cancelled", respondError(409, jobs.Error{Code: jobs.CodeCancelled, Outcome: jobs.OutcomeFailed}), Failed, nil},
		{"unknown", respondError(404, jobs.Error{Code: jobs.CodeNotFound}), NotFound, NotFound},
		{"other job", respondOtherJob, OutcomeUnknown, nil},
		{"silent", noResponse, OutcomeUnknown, OutcomeUnknown},
		{"no error body", respondText(502, "<html>"), OutcomeUnknown, OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeEntries{start: time.Now(), home: "home-1", handlers: []handler{test.handler}}
				c, err := New(Options{Addresses: []string{"http://10.0.0.1:1"}, HTTPClient: &http.Client{Transport: f}, Silence: 3 * time.Second})
				if err != nil {
					t.Fatal(err)
				}
				_, err = c.Get(context.Background(), "desk", "home-1.x")
				checkType(t, "get", err, test.get)
				checkType(t, "cancel", c.Cancel(context.Background(), "desk", "home-1.x"), test.stop)
			})
		})
	}
}

func checkType(t *testing.T, what string, err error, want *errorx.Type) {
	t.Helper()
	if (want == nil) != (err == nil) || (want != nil && !errorx.IsOfType(err, want)) {
		t.Errorf("%s: error %v, want type %v", what, err, want)
	}
}

// A caller sends a key of its own, crashes, and sends it again. If the client
// replaced FirstSent with the current time, an entry that took over the key from
// one that died would start the job a second time.
func TestFirstSentIsUnchanged(t *testing.T) {
	first := time.UnixMilli(1_700_000_000_123)
	for _, test := range []struct {
		job  Job
		want int64
	}{{Job{ID: "certificate-7", FirstSent: first}, 1_700_000_000_123}, {Job{ID: "certificate-7"}, 0}, {Job{}, 0}} {
		f := &fakeEntries{handlers: []handler{connectionReset, respondComplete(0, 1)}}
		if _, _, err := run(t, f, test.job); err != nil {
			t.Fatal(err)
		}
		for _, request := range f.requests {
			var sent jobs.SubmitRequest
			if err := json.Unmarshal([]byte(request.Body), &sent); err != nil {
				t.Fatal(err)
			}
			if sent.FirstSentUnixMillis != test.want {
				t.Errorf("job %+v: first sent %d, want %d", test.job, sent.FirstSentUnixMillis, test.want)
			}
		}
	}
}

func TestMisuse(t *testing.T) {
	for _, options := range []Options{{}, {Addresses: []string{"10.0.0.1:1"}}, {Addresses: []string{"http://10.0.0.1:1"}, Wait: time.Hour}} {
		if _, err := New(options); !errorx.IsOfType(err, Misuse) {
			t.Errorf("New(%+v): %v", options, err)
		}
	}
	c, _ := New(Options{Addresses: []string{"http://10.0.0.1:1"}})
	for _, job := range []Job{{}, {Contract: "c", Kind: "k"}, {Contract: "c", Kind: "k", Tasks: make([]jobs.Task, jobs.MaxTasks+1)},
		{Contract: "c", Kind: "k", ID: "x", Tasks: []jobs.Task{{Payload: make([]byte, jobs.MaxBody)}}}} {
		if _, err := c.Submit(context.Background(), job); !errorx.IsOfType(err, Misuse) {
			t.Errorf("job of %d tasks: %v", len(job.Tasks), err)
		}
	}
}
