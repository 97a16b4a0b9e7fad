package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
)

// Searches for jobs to cancel must not pile up: each has a call to every other entry.
func TestSearchesForCancelledJobsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peers{cancels: make(chan struct{}, maxCancels)}
		for range maxCancels {
			p.cancels <- struct{}{}
		}
		if known, ok := p.cancel(context.Background(), "stamps", "00000000000000aa"); known || ok {
			t.Errorf("known %t, ok %t; want neither", known, ok)
		}
	})
}
