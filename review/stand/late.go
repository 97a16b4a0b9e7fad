package main

import (
	"fmt"
	"net/http"
	"time"
)

// caseLate cancels a job. Seconds after the ack, a request with the job's id arrives once more, at
// another entry.
func caseLate(s *site, trouble bool) (int, error) {
	d, err := deploy(s, false)
	if err != nil {
		return couldNot, err
	}
	const id = "5c0e7a21d94b36f8"
	body := job("400 x", step(4, 1000, 400), step(4, 1000, 400, "after", []int{0}))
	answered := make(chan result, 1)
	go func() {
		answered <- s.call(http.MethodPost, d.entries[0].callers, id, body, 1500*time.Millisecond)
	}()
	time.Sleep(200 * time.Millisecond)
	if len(s.runEvents()) == 0 {
		return couldNot, fmt.Errorf("the job has not begun")
	}
	ack := s.call(http.MethodDelete, d.entries[1].callers, id, nil, 1500*time.Millisecond)
	if ack.status/100 != 2 {
		return couldNot, fmt.Errorf("the cancel is not acknowledged with 2xx")
	}
	<-answered
	time.Sleep(time.Until(ack.at.Add(cancelBound + time.Second)))
	if trouble {
		s.logf("a request with the same id arrives again")
		s.call(http.MethodPost, d.entries[2].callers, id, body, 1500*time.Millisecond)
	}
	time.Sleep(time.Second)
	code := held
	for _, e := range s.runEvents() {
		if e.what == "start" && e.at.Sub(ack.at) > cancelBound {
			s.logf("BROKEN: %s run %d is started %v after the ack of the cancel", e.task, e.run, e.at.Sub(ack.at).Round(time.Millisecond))
			code = broken
		}
	}
	return code, nil
}
