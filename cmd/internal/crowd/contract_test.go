//go:build crowd

package crowd

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// contractMemory is what a node may use for control.
const contractMemory = 256 * mb

var (
	ampleContract  = limits{descriptors: manyDescriptors}
	scarceContract = limits{descriptors: fewDescriptors}
)

// Submissions that stop short of their end must not exhaust the memory.
func TestSubmissionsShortOfTheirEnd(t *testing.T) {
	const size = 8 << 20
	s := newContractSite(t, ampleContract)
	s.endures(s.entry, contractMemory, manyDescriptors, crowd{clients: 60, address: s.entry.address(callersPort), send: text(header("POST", "/v1/jobs", contentLength(size)) + "\r\n" + `{"contract":"` + strings.Repeat("x", size-14))}, s.job)
}

// Submissions whose decoded tasks take far more memory than their text must not exhaust the
// memory.
func TestSubmissionsOfManyTasks(t *testing.T) {
	body := `{"contract":"reports","tasks":[{}` + strings.Repeat(",{}", 2700000) + `]}`
	s := newContractSite(t, ampleContract)
	s.endures(s.entry, contractMemory, manyDescriptors, crowd{clients: 20, address: s.entry.address(callersPort), send: text(header("POST", "/v1/jobs", contentLength(len(body))) + "\r\n" + body)}, s.job)
}

// Connections kept by callers must not take all descriptors.
func TestConnectionsOfContractCallers(t *testing.T) {
	s := newContractSite(t, scarceContract)
	s.endures(s.entry, contractMemory, maxDescriptors, crowd{clients: holders, address: s.entry.address(callersPort), send: text(header("GET", "/v1/home") + "\r\n")}, answered(s.entry.address(callersPort), "/v1/home"))
}

// Bodies without an end of requests that need none must not take all descriptors.
func TestEndlessBodiesOfContractCallers(t *testing.T) {
	s := newContractSite(t, scarceContract)
	s.endures(s.entry, contractMemory, maxDescriptors, crowd{clients: holders, address: s.entry.address(callersPort), send: repeated(header("DELETE", "/v1/jobs/x", chunked)+"\r\n", "1\r\n \r\n", 4000, 1)}, s.job)
}

// Connections kept at the operators' port must not take all descriptors.
func TestConnectionsAtOperatorsPort(t *testing.T) {
	s := newContractSite(t, scarceContract)
	s.endures(s.entry, contractMemory, maxDescriptors, crowd{clients: holders, address: s.entry.address(metricsPort), send: text(header("GET", "/healthz") + "\r\n")}, answered(s.entry.address(metricsPort), "/healthz"))
}

// nodesMessage is a message between processes that stops short of its end.
func nodesMessage(path string) string {
	const size = 15 << 20
	return header("POST", path, protobuf, contentLength(size)) + "\r\n" + strings.Repeat("\x00", size-1)
}

// Messages without an end at an entry's port for processes must not exhaust the memory.
func TestMessagesAtEntrysNodesPort(t *testing.T) {
	s := newContractSite(t, ampleContract)
	s.endures(s.entry, contractMemory, manyDescriptors, crowd{clients: 40, address: s.entry.address(nodesPort), send: text(nodesMessage("/papayahoist.v1.EntryService/Forward"))}, s.job)
}

// Connections kept at an agent's port for processes must not take all descriptors.
func TestConnectionsAtAgentsNodesPort(t *testing.T) {
	s := newContractSite(t, scarceContract)
	s.endures(s.agent, contractMemory, maxDescriptors, crowd{clients: holders, address: s.agent.address(nodesPort), send: text(header("GET", "/") + "\r\n")}, s.job)
}

// Bodies without an end on many streams of HTTP/2 connections must not exhaust the memory.
func TestEndlessBodiesOnSharedConnections(t *testing.T) {
	const streams, size = 50, mb
	s := newContractSite(t, ampleContract)
	c := crowd{clients: 10, address: s.entry.address(callersPort), connect: func(t *testing.T, address string) {
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: &protocols}
		defer transport.CloseIdleConnections()
		client := http.Client{Transport: transport}
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				body, rest := io.Pipe()
				defer rest.Close()
				go func() {
					_, _ = io.WriteString(rest, `{"contract":"`+strings.Repeat("x", size))
					<-t.Context().Done()
					_ = rest.CloseWithError(io.ErrUnexpectedEOF)
				}()
				if resp, err := client.Post("http://"+address+"/v1/jobs", "application/json", body); err == nil {
					_ = resp.Body.Close()
				}
			})
		}
		wg.Wait()
	}}
	s.endures(s.entry, contractMemory, manyDescriptors, c, s.job)
}
