package main

import (
	"fmt"
	"net/http"
	"time"
)

const evacuationBound = 5000 * time.Millisecond // evacuation_ms

// caseEvacuate has the operator evacuate two of three zones: with one change of the store, or, without
// trouble, with one after the other.
func caseEvacuate(s *site, trouble bool) (int, error) {
	d, err := deploy(s, false)
	if err != nil {
		return couldNot, err
	}
	zones := []string{zone(0), zone(1)}
	keys := []string{"op/evacuate/" + zones[0], "op/evacuate/" + zones[1]}
	body := job("100 x", step(22, 1000, 100))
	if r := s.call(http.MethodPost, d.entries[0].callers, "0000000000000001", body, 1500*time.Millisecond); r.status != http.StatusOK {
		return couldNot, fmt.Errorf("the first job is not served")
	}
	if trouble {
		s.store.putTogether(keys...)
		s.logf("operator: one transaction puts %v; it is acknowledged", keys)
	} else {
		for _, key := range keys {
			s.store.putTogether(key)
			s.logf("operator: a transaction puts %s; it is acknowledged", key)
		}
	}
	acked := time.Now()
	time.Sleep(evacuationBound + time.Second)
	for i := range 6 {
		s.call(http.MethodPost, d.entries[i%entryCount].callers, fmt.Sprintf("%016x", 16+i), body, 1500*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
	}
	code := held
	for _, e := range s.runEvents() {
		if e.what == "start" && e.at.Sub(acked) > evacuationBound && (e.worker.zone == zones[0] || e.worker.zone == zones[1]) {
			s.logf("BROKEN: %s run %d is started on %s in %s %v after the ack of the zone's evacuation", e.task, e.run, e.worker, e.worker.zone,
				e.at.Sub(acked).Round(time.Millisecond))
			code = broken
		}
	}
	return code, nil
}
