package entry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/papayahoist/papayahoist/api/jobs"
)

// A list of tasks takes far more memory decoded than as text, so only as many may be decoded as
// tell that there are too many. All else must be decoded as before.
func TestDecodeSubmission(t *testing.T) {
	const form = `{"contract":"c","kind":"k","tasks":%s}%s`
	for name, c := range map[string]struct {
		tasks, end      string
		want            int
		trailing, fails bool
	}{
		"two":           {tasks: `[{"payload":"YQ=="},{"run_ms":5}]`, want: 2},
		"none":          {tasks: `[]`},
		"null":          {tasks: `null`},
		"too many":      {tasks: "[{}" + strings.Repeat(",{}", 5000) + "]", want: jobs.MaxTasks + 1},
		"unknown field": {tasks: `[{"paylod":"YQ=="}]`, fails: true},
		"no list":       {tasks: `{}`, fails: true},
		"cut off":       {tasks: `[{}`, fails: true},
		"more data":     {tasks: `[{}]`, end: "{}", want: 1, trailing: true},
	} {
		t.Run(name, func(t *testing.T) {
			in, trailing, err := decodeSubmission([]byte(fmt.Sprintf(form, c.tasks, c.end)))
			if c.fails != (err != nil) {
				t.Fatalf("error %v", err)
			}
			if err == nil && (len(in.Tasks) != c.want || trailing != c.trailing || in.Contract != "c" || in.Kind != "k") {
				t.Errorf("%d tasks, want %d; %+v, trailing %t", len(in.Tasks), c.want, in, trailing)
			}
		})
	}
}
