package timeline

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

// Given collected logs of an entry and an agent, the time line of one job must contain
// all its events in order, despite prefixed lines, lines of other jobs, and a
// truncated line.
func TestReadLogsOfOneJob(t *testing.T) {
	const entry = `  5.8 entry-1 {"time":"2026-05-23T14:56:11.900Z","msg":"job_answered","process":"entry-1","job":"a1179b44bd8bf09e","outcome":"unknown","reason":"an agent can't be reached","elapsed_ms":900.1}
{"time":"2026-05-23T14:56:11.000Z","msg":"task_ordered","process":"entry-1","job":"a1179b44bd8bf09e","queue":"q","task":"a1179b44bd8bf09e.0.0.3","run":1,"agent":"agent-4","reason":"has room","age_ms":3}
{"time":"2026-05-23T14:56:11.500Z","msg":"task_ordered","process":"entry-1","job":"ffff9b44bd8bf09e","task":"ffff9b44bd8bf09e.0.0.3","run":1}
{"time":"2026-05-23T14:56:11.6`
	const agent = `{"time":"2026-05-23T14:56:11.002Z","msg":"run_started","process":"agent-4","task":"a1179b44bd8bf09e.0.0.3","run":1,"entry":"entry-1"}`
	line, err := ReadLogs(map[string]io.Reader{"entry.log": strings.NewReader(entry), "agent.log": strings.NewReader(agent)},
		Filter{Job: "a1179b44bd8bf09e", Limit: 10})
	if err != nil {
		t.Fatal(err)
	}
	var kinds []string
	for _, e := range line.Events {
		kinds = append(kinds, e.Kind)
	}
	if got := strings.Join(kinds, " "); got != "task_ordered run_started job_answered" || len(line.Missing) != 1 {
		t.Errorf("events %s, missing %v", got, line.Missing)
	}
	var out bytes.Buffer
	if err := WriteText(&out, line); err != nil || !strings.Contains(out.String(), "an agent can't be reached") {
		t.Errorf("%v:\n%s", err, &out)
	}
}
