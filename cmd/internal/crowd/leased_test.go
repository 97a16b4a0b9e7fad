//go:build crowd

package crowd

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

const (
	mb = 1 << 20
	// memoryMB is the memory of the machines of leased sites, and manyDescriptors more than any
	// crowd takes.
	memoryMB        = 96
	manyDescriptors = 8192
	// agentMemoryMB is the memory of the machines of agents, which hold less.
	agentMemoryMB = 64
	// fewDescriptors is the limit of the processes that face clients which only hold connections,
	// and of them maxDescriptors may be taken: the others are for links, the store and files.
	fewDescriptors = 256
	maxDescriptors = 224
	// callers and holders are the clients that send much, and that only hold connections.
	callers = 600
	holders = 400
)

var (
	ample  = limits{memoryMB: memoryMB, descriptors: manyDescriptors}
	scarce = limits{memoryMB: memoryMB, descriptors: fewDescriptors}
)

const submitPath = "/stamps/5c0e7a21d94b36f8"

// endures plays a crowd against a process of a site. The process must live, within its memory and
// descriptors, and what is asked of it afterwards must be answered.
func (s *site) endures(p *process, memory int64, descriptors int, c crowd, afterwards func() bool) {
	s.t.Helper()
	c.gather(s.t)
	s.waitUntil("an ordinary request to be answered", func() bool { return !p.alive() || afterwards() })
	s.waitUntil("an ordinary job to be answered", func() bool { return !p.alive() || s.job() })
	if !p.alive() {
		s.t.Errorf("%s has ended", p.name)
	}
	usedMemory, usedDescriptors := p.peak()
	s.t.Logf("%s: %d MB, %d descriptors", p.name, usedMemory/mb, usedDescriptors)
	if usedMemory > memory {
		s.t.Errorf("%s held %d MB, more than %d MB", p.name, usedMemory/mb, memory/mb)
	}
	if usedDescriptors > descriptors {
		s.t.Errorf("%s had %d descriptors, more than %d", p.name, usedDescriptors, descriptors)
	}
}

// callersEndure plays a crowd against a leased entry's port for callers.
func callersEndure(t *testing.T, clients int, l limits, deaf bool, send func(net.Conn) error) {
	t.Helper()
	s := newLeasedSite(t, l)
	descriptors := manyDescriptors
	if l == scarce {
		descriptors = maxDescriptors
	}
	s.endures(s.entry, memoryMB*mb, descriptors, crowd{clients: clients, address: s.entry.address(callersPort), send: send, deaf: deaf}, s.job)
}

// Bodies that stop short of their end, sent at once, must not exhaust the memory.
func TestBodiesShortOfTheirEnd(t *testing.T) {
	callersEndure(t, callers, ample, false, text(header("POST", submitPath, contentLength(bodyBytes))+"\r\n"+strings.Repeat(" ", bodyBytes-1)))
}

// Bodies that stop short of their end, sent piece by piece, must not exhaust the memory.
func TestBodiesInPiecesShortOfTheirEnd(t *testing.T) {
	const piece = 4096
	callersEndure(t, callers, ample, false, repeated(header("POST", submitPath, contentLength(bodyBytes))+"\r\n", strings.Repeat(" ", piece), bodyBytes/piece-1, 1))
}

// Chunked bodies without a last chunk must not exhaust the memory.
func TestLargeChunksWithoutAnEnd(t *testing.T) {
	const chunk = 16384
	callersEndure(t, callers, ample, false, repeated(header("POST", submitPath, chunked)+"\r\n", "4000\r\n"+strings.Repeat(" ", chunk)+"\r\n", bodyBytes/chunk-1, 0))
}

// Bodies in chunks of one byte without a last chunk must not exhaust the memory.
func TestSmallChunksWithoutAnEnd(t *testing.T) {
	const batch = 1000
	callersEndure(t, callers, ample, false, repeated(header("POST", submitPath, chunked)+"\r\n", strings.Repeat("1\r\n \r\n", batch), 200000/batch, 0))
}

// Bodies whose decoded steps take far more memory than their text must not exhaust the memory.
func TestBodiesOfManySteps(t *testing.T) {
	body := `{"steps":[{}` + strings.Repeat(",{}", 87000) + `]}`
	callersEndure(t, 100, ample, false, text(header("POST", submitPath, contentLength(len(body)))+"\r\n"+body))
}

// Steps that depend on long lists of steps must not exhaust the memory.
func TestBodiesOfManyDependencies(t *testing.T) {
	body := `{"steps":[{"after":[0` + strings.Repeat(",0", 130000) + `]}]}`
	callersEndure(t, callers, ample, false, text(header("POST", submitPath, contentLength(len(body)))+"\r\n"+body))
}

// Jobs with as many tasks as a job may have must not exhaust the memory.
func TestJobsOfManyTasks(t *testing.T) {
	const body = `{"specification":"x","best_effort":true,"steps":[{"count":4096,"cpu":1,"task_memory_mb":1,"estimated_ms":1}]}`
	callersEndure(t, callers, ample, false, func(c net.Conn) error {
		// Each client has a job of its own.
		path := fmt.Sprintf("/stamps/%016x", 1<<32+c.LocalAddr().(*net.TCPAddr).Port)
		return text(header("POST", path, contentLength(len(body))) + "\r\n" + body)(c)
	})
}

// Headers of many small fields that stop short of their end must not exhaust the memory.
func TestHeadersShortOfTheirEnd(t *testing.T) {
	callersEndure(t, callers, ample, false, text(header("POST", submitPath)+fields(15000)))
}

// Headers of many small fields before a body that never ends must not exhaust the memory.
func TestLargeHeadersBeforeEndlessBodies(t *testing.T) {
	callersEndure(t, callers, ample, false, text(header("POST", submitPath, contentLength(1000))+fields(15000)+"\r\n"))
}

// Large requests that are refused, by clients that read no response, must not exhaust the memory.
func TestUnreadRefusals(t *testing.T) {
	body := `{"steps":` + strings.Repeat("1", bodyBytes-10) + `}`
	callersEndure(t, callers, ample, true, text(header("POST", submitPath, contentLength(len(body)))+"\r\n"+body))
}

// Requests sent without end by clients that read no response must not exhaust the memory.
func TestUnreadResponses(t *testing.T) {
	callersEndure(t, callers, ample, true, repeated("", strings.Repeat(header("GET", submitPath)+"\r\n", 100), 1000, 0))
}

// Requests sent behind one that is in progress must not exhaust the memory.
func TestRequestsBehindOneInProgress(t *testing.T) {
	const job = `{"specification":"x","best_effort":true,"steps":[{"count":8,"cpu":4000,"task_memory_mb":900,"estimated_ms":4000}]}`
	callersEndure(t, callers, ample, true, repeated(header("POST", submitPath, contentLength(len(job)))+"\r\n"+job, strings.Repeat(" ", 16384), 1000, 0))
}

// Bodies without an end for a queue that doesn't exist must not take all descriptors.
func TestEndlessBodiesForNoQueue(t *testing.T) {
	callersEndure(t, holders, scarce, false, repeated(header("POST", "/unknown/5c0e7a21d94b36f8", chunked)+"\r\n", "1\r\n \r\n", 4000, 1))
}

// Bodies without an end of requests that need none must not take all descriptors.
func TestEndlessBodiesOfDeletes(t *testing.T) {
	callersEndure(t, holders, scarce, false, repeated(header("DELETE", submitPath, chunked)+"\r\n", "1\r\n \r\n", 4000, 1))
}

// Connections that are kept after an answer must not take all descriptors.
func TestConnectionsKeptAfterAnAnswer(t *testing.T) {
	callersEndure(t, holders, scarce, false, text(header("GET", "/stamps/")+"\r\n"))
}

// Connections on which nothing is sent must not take all descriptors.
func TestConnectionsWithoutARequest(t *testing.T) {
	callersEndure(t, holders, scarce, false, text(""))
}

// Large headers at the port for readiness checks must not exhaust the memory.
func TestHeadersAtReadyPort(t *testing.T) {
	s := newLeasedSite(t, ample)
	s.endures(s.entry, memoryMB*mb, manyDescriptors, crowd{clients: 20, address: s.entry.address(readyPort), send: text(header("GET", "/readiness") + fields(400000))},
		answered(s.entry.address(readyPort), "/papayahoist/readiness"))
}

// Connections kept at the port for readiness checks must not take all descriptors.
func TestConnectionsAtReadyPort(t *testing.T) {
	s := newLeasedSite(t, scarce)
	s.endures(s.entry, memoryMB*mb, maxDescriptors, crowd{clients: holders, address: s.entry.address(readyPort), send: text(header("GET", "/papayahoist/readiness") + "\r\n")},
		answered(s.entry.address(readyPort), "/papayahoist/readiness"))
}

// Connections kept at the port for metrics must not take all descriptors.
func TestConnectionsAtMetricsPort(t *testing.T) {
	s := newLeasedSite(t, scarce)
	s.endures(s.entry, memoryMB*mb, maxDescriptors, crowd{clients: holders, address: s.entry.address(metricsPort), send: text(header("GET", "/metrics") + "\r\n")},
		answered(s.entry.address(metricsPort), "/metrics"))
}

// Messages without an end at the port for agents and entries must not exhaust the memory.
func TestMessagesAtLeasedNodesPort(t *testing.T) {
	const message = 32 << 20
	s := newLeasedSite(t, ample)
	s.endures(s.entry, memoryMB*mb, manyDescriptors, crowd{clients: 20, address: s.entry.address(nodesPort), send: repeated(
		header("POST", "/papayahoist.v1.WorkService/Share", protobuf, contentLength(message+1))+"\r\n",
		strings.Repeat("\x00", mb), message/mb, 0)}, s.job)
}

// Connections kept at the port for agents and entries must not take all descriptors.
func TestConnectionsAtLeasedNodesPort(t *testing.T) {
	s := newLeasedSite(t, scarce)
	s.endures(s.entry, memoryMB*mb, maxDescriptors, crowd{clients: holders, address: s.entry.address(nodesPort), send: text(header("GET", "/") + "\r\n")}, s.job)
}

// reported returns a function that reports whether the agent handles a report.
func (s *site) reported() bool {
	status, _ := request(http.MethodDelete, s.agent.address(reportsPort), "/papayahoist/instances/unknown", "")
	return status == http.StatusOK
}

// Reports that stop short of their end must not exhaust an agent's memory.
func TestReportsShortOfTheirEnd(t *testing.T) {
	const size = 64 << 10
	s := newLeasedSite(t, limits{memoryMB: agentMemoryMB, descriptors: manyDescriptors})
	s.endures(s.agent, agentMemoryMB*mb, manyDescriptors, crowd{clients: callers, address: s.agent.address(reportsPort), send: text(header("PUT", "/papayahoist/instances/x", contentLength(size)) + "\r\n" + `{"service":"` + strings.Repeat("x", size-13))},
		s.reported)
}

// Large headers at an agent's port for reports must not exhaust its memory.
func TestHeadersAtReportsPort(t *testing.T) {
	s := newLeasedSite(t, ample)
	s.endures(s.agent, memoryMB*mb, manyDescriptors, crowd{clients: 20, address: s.agent.address(reportsPort), send: text(header("PUT", "/papayahoist/instances/x") + fields(400000))}, s.reported)
}

// Connections kept at an agent's port for reports must not take all of its descriptors.
func TestConnectionsAtReportsPort(t *testing.T) {
	s := newLeasedSite(t, scarce)
	s.endures(s.agent, memoryMB*mb, maxDescriptors, crowd{clients: holders, address: s.agent.address(reportsPort), send: repeated(header("PUT", "/papayahoist/instances/x", chunked)+"\r\n", "1\r\n \r\n", 4000, 1)}, s.reported)
}
