package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// A deployment like that of cadwaladr-lab: three entries, and eleven workers with an agent each.
const (
	entryCount  = 3
	workerCount = 11
	largeCPU    = 16000
	largeMemory = 32768
)

// Bounds of the site.
const (
	contactTime = 3000 * time.Millisecond // contact_ms
	cancelBound = 3000 * time.Millisecond // cancel_ms
	drainBound  = 2000 * time.Millisecond // drain_ms
)

// onlyKind is the kind of the first worker; all others are of otherKind.
const (
	onlyKind  = "b"
	otherKind = "a"
)

type deployment struct {
	entries []*proc
	agents  []*proc
	workers []*workerLife
	// first is the relay before the first entry's port for other processes; nil if there is none.
	first *relay
}

// deploy starts a deployment, with changes to its workers, and waits until it is calm.
func deploy(s *site, withRelay bool, change ...func(*workerLife)) (*deployment, error) {
	s.manifest(3, 30000)
	d := &deployment{}
	var nodes, seeds []string
	for range entryCount {
		nodes = append(nodes, s.address())
	}
	seeds = append(seeds, nodes...)
	if withRelay {
		seeds[0] = s.address()
		var err error
		if d.first, err = newRelay(seeds[0], nodes[0]); err != nil {
			return nil, err
		}
	}
	for i := range entryCount {
		d.entries = append(d.entries, s.newEntry(fmt.Sprintf("entry-%d", i+1), zone(i), nodes[i], seeds[i], seeds))
	}
	for i := range workerCount {
		kind := otherKind
		if i == 0 {
			kind = onlyKind
		}
		w := &workerLife{
			site: s, name: fmt.Sprintf("machine-%d", i+1), id: fmt.Sprintf("i-%d", i+1), service: "svc", zone: zone(i),
			labels: []string{kind, fmt.Sprintf("r%d-0", 1+i%entryCount)}, cpu: largeCPU, memory: largeMemory, address: s.address(),
		}
		for _, f := range change {
			f(w)
		}
		a := s.newAgent(fmt.Sprintf("agent-%d", i+1), zone(i), w.address, seeds)
		w.agent = a.reports
		d.agents, d.workers = append(d.agents, a), append(d.workers, w)
	}
	for _, p := range s.procs {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	for _, w := range d.workers {
		if err := w.start(); err != nil {
			return nil, err
		}
	}
	return d, s.awaitReady(d.entries...)
}

func zone(i int) string { return []string{"frame-hall", "chain-shed", "creep-room"}[i%entryCount] }

// runTimeOf reads the length of a run from its specification: "MILLISECONDS ...".
func runTimeOf(spec string) time.Duration {
	ms, _ := strconv.Atoi(strings.Fields(spec)[0])
	return time.Duration(ms) * time.Millisecond
}

// job is the body of a job that isn't kept.
func job(spec string, steps ...map[string]any) map[string]any {
	return map[string]any{"specification": spec, "best_effort": true, "steps": steps}
}

// step is a step of a job, with further fields in pairs of name and value.
func step(count, cpu int, estimatedMs int, more ...any) map[string]any {
	m := map[string]any{"count": count, "cpu": cpu, "task_memory_mb": 64, "estimated_ms": estimatedMs}
	for i := 0; i+1 < len(more); i += 2 {
		m[more[i].(string)] = more[i+1]
	}
	return m
}
