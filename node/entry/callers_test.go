package entry_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/node/entry"
)

// Malformed or unauthorized requests must be refused at once with a code and a
// message, and must start nothing.
func TestCallersRefused(t *testing.T) {
	digest := sha256.Sum256([]byte("secret"))
	contracts := map[string]*pb.Contract{
		"open":   {Name: "open", Waiting: 10, DefaultTimeoutMs: 1000},
		"locked": {Name: "locked", Waiting: 10, DefaultTimeoutMs: 1000, TokenSha256: hex.EncodeToString(digest[:])},
		"gone":   {Name: "gone", Deleted: true},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	e, err := entry.New(entry.Options{
		Hello:         &pb.EntryHello{Entry: "e1", Incarnation: entry.NewIncarnation()},
		CallersListen: "127.0.0.1:0", NodesListen: "127.0.0.1:0",
		Contract: func(name string) *pb.Contract { return contracts[name] },
		Peers:    func() []*pb.Peer { return nil },
		Logger:   slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	wg.Go(func() { _ = e.Run(ctx) })
	base := "http://" + e.CallersAddress()

	task := `"kind":"k","tasks":[{}]`
	tests := []struct {
		name, method, path, token, body string
		status                          int
		code                            jobs.Code
		outcome                         jobs.Outcome
	}{
		{"not JSON", "POST", jobs.PathJobs, "", `{`, http.StatusBadRequest, jobs.CodeBadRequest, jobs.OutcomeNotRun},
		{"unknown field", "POST", jobs.PathJobs, "", `{"contract":"open","wait":1,` + task + `}`, http.StatusBadRequest, jobs.CodeBadRequest, jobs.OutcomeNotRun},
		{"two values", "POST", jobs.PathJobs, "", `{"contract":"open",` + task + `}{}`, http.StatusBadRequest, jobs.CodeBadRequest, jobs.OutcomeNotRun},
		{"no contract", "POST", jobs.PathJobs, "", `{` + task + `}`, http.StatusBadRequest, jobs.CodeBadRequest, jobs.OutcomeNotRun},
		{"no tasks", "POST", jobs.PathJobs, "", `{"contract":"open","tasks":[]}`, http.StatusBadRequest, jobs.CodeBadRequest, jobs.OutcomeNotRun},
		{"too many tasks", "POST", jobs.PathJobs, "", `{"contract":"open","tasks":[{}` + strings.Repeat(",{}", jobs.MaxTasks) + `]}`, http.StatusBadRequest, jobs.CodeBadRequest, jobs.OutcomeNotRun},
		{"timeout too long", "POST", jobs.PathJobs, "", `{"contract":"open","timeout_ms":600001,` + task + `}`, http.StatusBadRequest, jobs.CodeBadRequest, jobs.OutcomeNotRun},
		{"bad id", "POST", jobs.PathJobs, "", `{"contract":"open","id":"a b",` + task + `}`, http.StatusBadRequest, jobs.CodeBadRequest, jobs.OutcomeNotRun},
		{"too large", "POST", jobs.PathJobs, "", `{"contract":"` + strings.Repeat("x", jobs.MaxBody) + `"}`, http.StatusRequestEntityTooLarge, jobs.CodeTooLarge, jobs.OutcomeNotRun},
		{"unknown contract", "POST", jobs.PathJobs, "", `{"contract":"none",` + task + `}`, http.StatusForbidden, jobs.CodeUnknownContract, jobs.OutcomeNotRun},
		{"deleted contract", "POST", jobs.PathJobs, "", `{"contract":"gone",` + task + `}`, http.StatusForbidden, jobs.CodeUnknownContract, jobs.OutcomeNotRun},
		{"no token", "POST", jobs.PathJobs, "", `{"contract":"locked",` + task + `}`, http.StatusUnauthorized, jobs.CodeUnauthorized, jobs.OutcomeNotRun},
		{"wrong token", "POST", jobs.PathJobs, "Bearer guess", `{"contract":"locked",` + task + `}`, http.StatusUnauthorized, jobs.CodeUnauthorized, jobs.OutcomeNotRun},
		{"digest for token", "POST", jobs.PathJobs, "Bearer " + hex.EncodeToString(digest[:]), `{"contract":"locked",` + task + `}`, http.StatusUnauthorized, jobs.CodeUnauthorized, jobs.OutcomeNotRun},
		{"own id without token", "POST", jobs.PathJobs, "", `{"id":"mine","contract":"locked",` + task + `}`, http.StatusUnauthorized, jobs.CodeUnauthorized, jobs.OutcomeUnknown},
		{"fetch without token", "GET", jobs.PathJobs + "/x?contract=locked", "", "", http.StatusUnauthorized, jobs.CodeUnauthorized, jobs.OutcomeUnknown},
		{"cancel without token", "DELETE", jobs.PathJobs + "/x?contract=locked", "", "", http.StatusUnauthorized, jobs.CodeUnauthorized, jobs.OutcomeUnknown},
		{"fetch without contract", "GET", jobs.PathJobs + "/x", "", "", http.StatusForbidden, jobs.CodeUnknownContract, jobs.OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			req, err := http.NewRequest(test.method, base+test.path, strings.NewReader(test.body))
			if err != nil {
				t.Fatal(err)
			}
			if test.token != "" {
				req.Header.Set("Authorization", test.token)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			var got jobs.Error
			if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != test.status || got.Code != test.code || got.Outcome != test.outcome || got.Message == "" {
				t.Errorf("got %d %+v, want %d %s, %s, with a message", resp.StatusCode, got, test.status, test.code, test.outcome)
			}
		})
	}
}
