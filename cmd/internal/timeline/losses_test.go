package timeline

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const answers = `
frontend-1 {"time":"2026-03-01T03:12:01.050Z","msg":"job_answered","queue":"stamps","outcome":"not run","reason":"no workers known"}
frontend-1 {"time":"2026-03-01T03:12:01.900Z","msg":"job_answered","queue":"stamps","outcome":"completed","elapsed_ms":100,"objective_ms":380}
frontend-1 {"time":"2026-03-01T03:12:02.100Z","msg":"job_answered","queue":"stamps","outcome":"completed","elapsed_ms":600,"objective_ms":380}
frontend-1 {"time":"2026-03-01T03:12:02.200Z","msg":"job_answered","queue":"checks","outcome":"not run","reason":"no workers known"}
frontend-1 {"time":"2026-03-01T03:12:02.300Z","msg":"run_ended","queue":"checks","outcome":"done"}
cut off {"time":"2026-03-
`

func TestReadLossesCountsBySecondQueueAndReason(t *testing.T) {
	got, err := ReadLosses(map[string]io.Reader{"log": strings.NewReader(answers)}, Filter{})
	if err != nil {
		t.Fatal(err)
	}
	second := func(s int) time.Time { return time.Date(2026, 3, 1, 3, 12, s, 0, time.UTC) }
	want := &Losses{
		Answered: 4,
		ByReason: map[string]int{"not run: no workers known": 2, "late": 1},
		ByQueue:  map[string]int{"stamps": 2, "checks": 1},
		Rows: []Loss{
			{second(1), "stamps", "late", 1}, // it arrived in this second
			{second(1), "stamps", "not run: no workers known", 1},
			{second(2), "checks", "not run: no workers known", 1},
		},
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("losses (-want +got):\n%s", d)
	}
	var text strings.Builder
	if err := WriteLosses(&text, got); err != nil || !strings.Contains(text.String(), "3 of 4 jobs not completed") ||
		!strings.Contains(text.String(), "03:12:02  checks  1     not run: no workers known") {
		t.Errorf("%v\n%s", err, text.String())
	}
	one, err := ReadLosses(map[string]io.Reader{"log": strings.NewReader(answers)}, Filter{Contract: "stamps", From: second(2)})
	if err != nil || one.Answered != 0 {
		t.Errorf("%+v, %v, want no stamps job that arrived later", one, err)
	}
}
