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

// step is what becomes of one request.
type step func(f *fake, r *http.Request) (*http.Response, error)

// seen is one request as the fake saw it.
type seen struct {
	Method, ID, Body string
	At               time.Duration
}

// fake plays entries on virtual time: each request meets the next step, and the
// last step again when they run out.
type fake struct {
	start time.Time
	home  string
	steps []step
	seen  []seen
}

func (f *fake) RoundTrip(r *http.Request) (*http.Response, error) {
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
	f.seen = append(f.seen, seen{r.Method, id, body, time.Since(f.start)})
	next := f.steps[min(len(f.seen), len(f.steps))-1]
	return next(f, r)
}

func (f *fake) reply(status int, body any) *http.Response {
	text, _ := json.Marshal(body)
	return f.text(status, string(text))
}

func (f *fake) text(status int, body string) *http.Response {
	return &http.Response{
		StatusCode: status,
		Header:     http.Header{jobs.HeaderHome: {f.home}},
		Body:       io.NopCloser(strings.NewReader(body)),
	}
}

func (f *fake) id() string { return f.seen[len(f.seen)-1].ID }

func results(tasks ...uint32) []jobs.Result {
	var all []jobs.Result
	for _, task := range tasks {
		all = append(all, jobs.Result{Task: task, Body: []byte{byte(task)}})
	}
	return all
}

func complete(tasks ...uint32) step {
	return func(f *fake, _ *http.Request) (*http.Response, error) {
		return f.reply(http.StatusOK, jobs.Response{ID: f.id(), State: jobs.StateComplete, Results: results(tasks...)}), nil
	}
}

func otherJob(f *fake, _ *http.Request) (*http.Response, error) {
	return f.reply(http.StatusOK, jobs.Response{ID: "other", State: jobs.StateComplete, Results: results(0, 1)}), nil
}

func running(f *fake, r *http.Request) (*http.Response, error) {
	select {
	case <-time.After(DefaultWait):
		return f.reply(http.StatusAccepted, jobs.Response{ID: f.id(), State: jobs.StateRunning}), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func refuse(status int, e jobs.Error) step {
	return func(f *fake, _ *http.Request) (*http.Response, error) { return f.reply(status, e), nil }
}

// posted answers like next if the whole job was sent, and knows nothing otherwise.
func posted(next step) step {
	return func(f *fake, r *http.Request) (*http.Response, error) {
		if r.Method != http.MethodPost {
			return f.reply(http.StatusNotFound, jobs.Error{Code: jobs.CodeTaskFailed, Outcome: jobs.OutcomeFailed}), nil
		}
		return next(f, r)
	}
}

func status(code int, body string) step {
	return func(f *fake, _ *http.Request) (*http.Response, error) { return f.text(code, body), nil }
}

func noConnection(*fake, *http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
}

func reset(*fake, *http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "read", Err: errors.New("reset")}
}

func silent(_ *fake, r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

func cut(f *fake, _ *http.Request) (*http.Response, error) {
	response := f.text(http.StatusOK, "")
	response.Body = io.NopCloser(io.MultiReader(strings.NewReader(`{"id":`), brokenReader{}))
	return response, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// moved answers like next, from an entry with another incarnation.
func moved(next step) step {
	return func(f *fake, r *http.Request) (*http.Response, error) {
		f.home = "home-2"
		return next(f, r)
	}
}

var (
	homeSilent  = jobs.Error{Code: jobs.CodeHomeLost, Message: "home is silent", Outcome: jobs.OutcomeUnknown, RetryAfterMillis: 100}
	leaving     = jobs.Error{Code: jobs.CodeLeaving, Outcome: jobs.OutcomeNotRun, RetryAfterMillis: 1000}
	homeLost    = jobs.Error{Code: jobs.CodeHomeLost, Outcome: jobs.OutcomeNotRun, Message: "home is gone"}
	rateLimited = jobs.Error{Code: jobs.CodeRateLimited, Outcome: jobs.OutcomeNotRun, Message: "later", RetryAfterMillis: 400}
)

// run submits a job of two tasks to f and returns when it ended, on virtual time.
func run(t *testing.T, f *fake, job Job) (answer *Answer, took time.Duration, err error) {
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

// A request or its answer is lost on the way, the connection goes silent, the
// entry behind the balancer changes. The caller's job must be sent again, and
// each time as the very same job: another id or body would let its tasks start
// twice, and a stamp would be on two certificates.
func TestSubmitSurvivesFaults(t *testing.T) {
	refusedWithoutProof := jobs.Error{Code: jobs.CodeUnavailable, Message: "home unreachable", Outcome: jobs.OutcomeUnknown, RetryAfterMillis: 100}
	tests := []struct {
		name     string
		steps    []step
		requests int
		// At least and at most this long.
		least, most time.Duration
	}{
		{"no fault", []step{complete(0, 1)}, 1, 0, 0},
		{"results out of order", []step{complete(1, 0)}, 1, 0, 0},
		{"answer lost", []step{reset, complete(0, 1)}, 2, 0, backoffBase},
		{"connection silent", []step{silent, complete(0, 1)}, 2, DefaultWait + DefaultSilence, DefaultWait + DefaultSilence + backoffBase},
		{"body cut", []step{cut, complete(0, 1)}, 2, 0, backoffBase},
		{"result missing", []step{complete(0), complete(0, 1)}, 2, 0, backoffBase},
		{"result twice", []step{complete(0, 0), complete(0, 1)}, 2, 0, backoffBase},
		{"result of no task", []step{complete(0, 7), complete(0, 1)}, 2, 0, backoffBase},
		{"another job's answer", []step{otherJob, complete(0, 1)}, 2, 0, backoffBase},
		{"balancer's error page", []step{status(http.StatusBadGateway, "<html>"), complete(0, 1)}, 2, 0, backoffBase},
		{"home changed after a lost answer", []step{reset, moved(reset), moved(complete(0, 1))}, 3, 0, 3 * backoffBase},
		{"home unreachable for a while", []step{refuse(503, refusedWithoutProof), complete(0, 1)}, 2, 100 * time.Millisecond, 150 * time.Millisecond},
		{"long job", []step{running, running, complete(0, 1)}, 3, 2 * DefaultWait, 2 * DefaultWait},
		{"long job, then silence", []step{running, silent, complete(0, 1)}, 3, 2*DefaultWait + DefaultSilence, 2*DefaultWait + DefaultSilence + backoffBase},
		{"accepted, then its home lost", []step{running, refuse(502, homeSilent), posted(complete(0, 1))}, 3, DefaultWait + 100*time.Millisecond, DefaultWait + 150*time.Millisecond},
		{"accepted, then forgotten", []step{running, refuse(404, jobs.Error{Code: jobs.CodeNotFound}), complete(0, 1)}, 3, DefaultWait, DefaultWait + backoffBase},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &fake{steps: test.steps}
			answer, took, err := run(t, f, Job{Timeout: 20 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			want := &Answer{ID: f.seen[0].ID, Results: results(0, 1)}
			if diff := cmp.Diff(want, answer); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			checkOneJob(t, f.seen)
			if len(f.seen) != test.requests || took < test.least || took > test.most {
				t.Errorf("%d requests in %s, want %d in %s to %s", len(f.seen), took, test.requests, test.least, test.most)
			}
		})
	}
}

// An entry refuses a job for a while. "Not run" stays true for its id, whatever
// request is still on its way, so the caller's next attempt takes a new one. With
// an id of the caller's own there is no next attempt.
func TestRefusedForAWhile(t *testing.T) {
	f := &fake{steps: []step{refuse(429, rateLimited), complete(0, 1)}}
	answer, took, err := run(t, f, Job{Timeout: 20 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if len(f.seen) != 2 || f.seen[0].ID == f.seen[1].ID {
		t.Fatalf("requests %+v, want two under different ids", f.seen)
	}
	want := &Answer{ID: f.seen[1].ID, Results: results(0, 1)}
	if diff := cmp.Diff(want, answer); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	checkOneJob(t, f.seen[1:])
	if took < 400*time.Millisecond || took > 450*time.Millisecond {
		t.Errorf("took %s, want 400 ms as the entry said", took)
	}

	// The second attempt has only what is left of the caller's time: beyond it, its
	// outcome would be unknown to a caller who has gone.
	if first, second := timeoutOfBody(t, f.seen[0].Body), timeoutOfBody(t, f.seen[1].Body); second > first-400 {
		t.Errorf("timeouts of %d and then %d ms, want the time passed taken off", first, second)
	}

	f = &fake{steps: []step{refuse(429, rateLimited), complete(0, 1)}}
	if _, _, err = run(t, f, Job{ID: "home-1.mine"}); !errorx.IsOfType(err, NotRun) || len(f.seen) != 1 {
		t.Errorf("%d requests and error %v, want one and not run", len(f.seen), err)
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

// checkOneJob checks that every request was about the same job, and every
// submission the same to the byte.
func checkOneJob(t *testing.T, all []seen) {
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

// The home died before the job reached it, so no entry may start the job any
// more under its id. When that is proven, or when nothing was ever sent, the
// client takes another id by itself and the caller just gets the answer. When
// the caller keeps the id, it alone may decide.
func TestSubmitTakesAnotherHome(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{"home proven gone", []step{moved(refuse(410, homeLost)), complete(0, 1)}},
		{"home leaving", []step{refuse(503, leaving), moved(complete(0, 1))}},
		{"no connection", []step{noConnection, moved(complete(0, 1))}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &fake{steps: test.steps}
			if _, _, err := run(t, f, Job{Timeout: time.Second}); err != nil {
				t.Fatal(err)
			}
			if f.seen[0].ID == f.seen[1].ID {
				t.Errorf("both requests have id %q", f.seen[0].ID)
			}
		})
	}
	f := &fake{steps: []step{moved(refuse(410, homeLost))}}
	_, _, err := run(t, f, Job{ID: "home-1.kept", Timeout: time.Second})
	if !errorx.IsOfType(err, NotRun) || len(f.seen) != 1 {
		t.Errorf("kept id: error %v after %d requests, want not run after one", err, len(f.seen))
	}
}

// A job can't be served. The caller must be told no more than is known: a stamp
// said not to have run is printed again, and "not run" after an unanswered
// request would put two certificates on one serial.
func TestSubmitSaysWhatIsKnown(t *testing.T) {
	failed := jobs.Error{Code: jobs.CodeTaskFailed, Outcome: jobs.OutcomeFailed, RetryAfterMillis: 10}
	tests := []struct {
		name  string
		steps []step
		kind  *errorx.Type
		code  jobs.Code
	}{
		{"refused", []step{refuse(422, jobs.Error{Code: jobs.CodeDoesNotFit, Outcome: jobs.OutcomeNotRun})}, NotRun, jobs.CodeDoesNotFit},
		{"id of another job", []step{refuse(409, jobs.Error{Code: jobs.CodeConflict, Outcome: jobs.OutcomeNotRun})}, OutcomeUnknown, jobs.CodeConflict},
		{"failed", []step{refuse(500, failed)}, Failed, jobs.CodeTaskFailed},
		{"home died", []step{refuse(410, jobs.Error{Code: jobs.CodeHomeLost, Outcome: jobs.OutcomeUnknown})}, OutcomeUnknown, jobs.CodeHomeLost},
		{"error without an outcome", []step{refuse(500, jobs.Error{Code: jobs.CodeUnavailable})}, OutcomeUnknown, jobs.CodeUnavailable},
		{"never connected", []step{noConnection}, NotRun, ""},
		{"never answered", []step{silent}, OutcomeUnknown, ""},
		{"refused to the end", []step{refuse(429, rateLimited)}, NotRun, jobs.CodeRateLimited},
		{"refused, then silent", []step{refuse(429, rateLimited), silent}, OutcomeUnknown, ""},
		{"reset, then no connection", []step{reset, noConnection}, OutcomeUnknown, ""},
		{"runs on", []step{running}, OutcomeUnknown, ""},
		{"half an answer to the end", []step{complete(0)}, OutcomeUnknown, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &fake{steps: test.steps}
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

// The entries stay unreachable while many jobs come. If each job were retried as
// often as its deadline allows, the entries would meet a multiple of the load
// when they are back; the budget keeps the retries to a share of the jobs.
func TestRetriesStayInBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{start: time.Now(), home: "home-1", steps: []step{status(http.StatusBadGateway, "")}}
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
		passed := time.Since(f.start).Seconds()
		most := submissions + budgetBurst + int(submissions*budgetPerJob+passed*budgetPerSecond)
		if len(f.seen) > most || len(f.seen) <= submissions {
			t.Errorf("%d requests for %d jobs in %.1f s, want some retries and at most %d", len(f.seen), submissions, passed, most)
		}
	})
}

// Over real sockets: the entry dies in the middle of an answer, and the next
// request finds another one.
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
		name string
		step step
		get  *errorx.Type // of Get's error; nil: none
		stop *errorx.Type // of Cancel's error
	}{
		{"complete", complete(0, 1), nil, nil},
		{"running", running, nil, nil},
		{"cancelled", refuse(409, jobs.Error{Code: jobs.CodeCancelled, Outcome: jobs.OutcomeFailed}), Failed, nil},
		{"unknown", refuse(404, jobs.Error{Code: jobs.CodeNotFound}), NotFound, NotFound},
		{"other job", otherJob, OutcomeUnknown, nil},
		{"silent", silent, OutcomeUnknown, OutcomeUnknown},
		{"no error body", status(502, "<html>"), OutcomeUnknown, OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake{start: time.Now(), home: "home-1", steps: []step{test.step}}
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

// A caller sends a key of its own, crashes, and sends it again. If the second
// sending claimed to be the first, an entry that took over the key from one that
// died would start the job again, and a stamp would be on two certificates.
func TestFirstSentIsTheCallers(t *testing.T) {
	first := time.UnixMilli(1_700_000_000_123)
	for _, test := range []struct {
		job  Job
		want int64
	}{{Job{ID: "certificate-7", FirstSent: first}, 1_700_000_000_123}, {Job{ID: "certificate-7"}, 0}, {Job{}, 0}} {
		f := &fake{steps: []step{reset, complete(0, 1)}}
		if _, _, err := run(t, f, test.job); err != nil {
			t.Fatal(err)
		}
		for _, request := range f.seen {
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
