package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/papayahoist/papayahoist/api/jobs"
)

// submission is the body of a submission, with a list of tasks that is decoded only as far as a
// job may have tasks.
type submission struct {
	jobs.SubmitRequest
	Tasks boundedTasks `json:"tasks"`
}

// boundedTasks holds at most one task more than a job may have. A decoded task takes many times
// the memory of its text.
type boundedTasks []jobs.Task

// UnmarshalJSON implements json.Unmarshaler.
func (t *boundedTasks) UnmarshalJSON(text []byte) error {
	*t = nil
	if len(text) == 0 || text[0] != '[' {
		// Null is an empty list, and anything else an error.
		var none []struct{}
		return json.Unmarshal(text, &none)
	}
	d := newStrictDecoder(text)
	if _, err := d.Token(); err != nil {
		return err
	}
	for d.More() && len(*t) <= jobs.MaxTasks {
		var task jobs.Task
		if err := d.Decode(&task); err != nil {
			return err
		}
		*t = append(*t, task)
	}
	return nil
}

// newStrictDecoder returns a decoder that refuses unknown fields.
func newStrictDecoder(text []byte) *json.Decoder {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	return d
}

// decodeSubmission decodes the body of a submission, and reports whether data follows it.
func decodeSubmission(text []byte) (in *jobs.SubmitRequest, trailing bool, err error) {
	var s submission
	d := newStrictDecoder(text)
	if err := d.Decode(&s); err != nil {
		return nil, false, err
	}
	_, err = d.Token()
	s.SubmitRequest.Tasks = s.Tasks
	return &s.SubmitRequest, !errors.Is(err, io.EOF), nil
}
