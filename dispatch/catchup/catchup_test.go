package catchup

import (
	"testing"
	"time"
)

func TestBehind(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var c Tracker
	for _, s := range []struct {
		name       string
		change     func() time.Duration
		newest     uint64
		behind     time.Duration
		wasBehind  time.Duration
		comparedAt int
	}{
		{"first version", func() time.Duration { return c.SetOwn(at(0), 3) }, 3, 0, 0, 50},
		{"an older one elsewhere", func() time.Duration { c.SetOther(at(100), 2); return 0 }, 3, 0, 0, 150},
		{"a newer one elsewhere", func() time.Duration { c.SetOther(at(200), 5); return 0 }, 5, 100 * time.Millisecond, 0, 300},
		{"an even newer one", func() time.Duration { c.SetOther(at(400), 8); return 0 }, 8, 300 * time.Millisecond, 0, 500},
		{"one of them here", func() time.Duration { return c.SetOwn(at(600), 5) }, 8, 500 * time.Millisecond, 0, 700},
		{"the newest here", func() time.Duration { return c.SetOwn(at(900), 8) }, 8, 0, 700 * time.Millisecond, 1000},
		{"newer here than elsewhere", func() time.Duration { return c.SetOwn(at(1100), 9) }, 9, 0, 0, 1200},
	} {
		was := s.change()
		newest, behind := c.Newest(at(s.comparedAt))
		if newest != s.newest || behind != s.behind || was != s.wasBehind {
			t.Errorf("%s: newest %d, behind %v, was behind %v; want %d, %v, %v", s.name, newest, behind, was, s.newest, s.behind, s.wasBehind)
		}
	}
}
