package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	freezeTime  = 3500 * time.Millisecond
	cancelAfter = 3000 * time.Millisecond // from the begin of the freeze
)

// caseCancel cancels a job at one entry while the entry that holds it stands still for some seconds.
func caseCancel(s *site, trouble bool) (int, error) {
	d, err := deploy(s, false)
	if err != nil {
		return couldNot, err
	}
	const id = "5c0e7a21d94b36f8"
	// Five steps of one task each, 1.5 s long.
	steps := []map[string]any{step(1, 1000, 1500)}
	for i := range 4 {
		steps = append(steps, step(1, 1000, 1500, "after", []int{i}))
	}
	answered := make(chan result, 1)
	go func() {
		answered <- s.call(http.MethodPost, d.entries[0].callers, id, job("1500 x", steps...), 20*time.Second)
	}()
	time.Sleep(700 * time.Millisecond)
	if len(s.runEvents()) == 0 {
		return couldNot, fmt.Errorf("the job has not begun")
	}
	if trouble {
		d.entries[0].signal(syscall.SIGSTOP)
		go func() {
			time.Sleep(freezeTime)
			d.entries[0].signal(syscall.SIGCONT)
		}()
	}
	time.Sleep(cancelAfter)
	ack := s.call(http.MethodDelete, d.entries[1].callers, id, nil, 5*time.Second)
	if ack.status/100 != 2 && ack.status != http.StatusGone {
		return couldNot, fmt.Errorf("the cancel has no ack")
	}
	select {
	case <-answered:
		time.Sleep(time.Second)
	case <-time.After(15 * time.Second):
	}
	code := held
	for _, e := range s.runEvents() {
		if e.what == "start" && e.at.Sub(ack.at) > cancelBound {
			s.logf("BROKEN: %s run %d is started %v after the ack of the cancel", e.task, e.run, e.at.Sub(ack.at).Round(time.Millisecond))
			code = broken
		}
	}
	return code, nil
}
