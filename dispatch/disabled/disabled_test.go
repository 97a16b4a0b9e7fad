package disabled

import (
	"testing"

	"github.com/joomcode/errorx"
)

func TestParse(t *testing.T) {
	for i, name := range Names() {
		if got, err := Parse([]string{name}); err != nil || got != 1<<i {
			t.Errorf("%s: %v, %v, want bit %d", name, got, err, i)
		}
	}
	if got, err := Parse([]string{"ahead", "late-work"}); err != nil || !got.Has(Backfill) || !got.Has(LateWork) || got.Has(Moves) {
		t.Errorf("%v, %v", got, err)
	}
	if _, err := Parse([]string{"tracing"}); !errorx.IsOfType(err, ErrUnknown) {
		t.Errorf("an unknown name: %v", err)
	}
	if 1<<len(names) != int(Speeds)<<1 {
		t.Error("names and features differ in number")
	}
}
