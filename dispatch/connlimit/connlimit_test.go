package connlimit

import (
	"math/rand/v2"
	"testing"
)

func open(t *testing.T, table *Table, p *Port) *Conn {
	t.Helper()
	c, _ := table.Open(p)
	if c == nil {
		t.Fatal("refused")
	}
	return c
}

// receive records a whole request.
func receive(table *Table, c *Conn) {
	table.Begin(c)
	table.Received(c)
}

// A connection with one whole request must not protect others that never end.
func TestUnfinishedRequestBesideAWholeOne(t *testing.T) {
	table := New(Options{MaxBytes: 1000})
	p := &Port{Name: "callers", MaxConns: 1, ConnBytes: 1}
	table.AddPort(p)
	mixed := open(t, table, p)
	receive(table, mixed)
	table.Begin(mixed)
	if _, evicted := table.Open(p); len(evicted) != 1 || evicted[0] != mixed {
		t.Errorf("evicted %v, want the connection with an unfinished request", evicted)
	}
}

// At a port's limit, a connection that lingers must make room, not one with a whole request.
func TestLongestLingeringMakesRoom(t *testing.T) {
	table := New(Options{MaxBytes: 1000})
	p := &Port{Name: "callers", MaxConns: 3, ConnBytes: 1}
	table.AddPort(p)
	served, first, second := open(t, table, p), open(t, table, p), open(t, table, p)
	receive(table, served)
	receive(table, first)
	table.End(first, true)
	_, evicted := table.Open(p)
	if len(evicted) != 1 || evicted[0] != second {
		t.Errorf("evicted %v, want the connection that has lingered longest", evicted)
	}
	if p.Conns() != 3 {
		t.Errorf("%d connections, want 3", p.Conns())
	}
}

// If all connections have whole requests, a new one must be refused.
func TestWholeRequestsAreNotEvicted(t *testing.T) {
	table := New(Options{MaxBytes: 1000})
	p := &Port{Name: "callers", MaxConns: 2, ConnBytes: 1}
	table.AddPort(p)
	for range 2 {
		receive(table, open(t, table, p))
	}
	if c, evicted := table.Open(p); c != nil || len(evicted) > 0 {
		t.Errorf("connection %v, evicted %v; want neither", c, evicted)
	}
}

// The memory of all ports together must stay within the limit, whichever of them lets it grow.
func TestMemoryIsLimitedForAllPorts(t *testing.T) {
	table := New(Options{MaxBytes: 100})
	callers, nodes := &Port{Name: "callers", MaxConns: 9, ConnBytes: 10}, &Port{Name: "nodes", MaxConns: 9, ConnBytes: 10}
	table.AddPort(callers)
	table.AddPort(nodes)
	oldest, whole, growing := open(t, table, nodes), open(t, table, callers), open(t, table, callers)
	receive(table, whole)
	evicted, ok := table.Charge(growing, 75)
	if !ok || len(evicted) != 1 || evicted[0] != oldest {
		t.Errorf("evicted %v, %t; want the oldest", evicted, ok)
	}
	if evicted, ok = table.Charge(whole, 50); !ok || len(evicted) != 1 || evicted[0] != growing {
		t.Errorf("evicted %v, %t; want the one that still sends", evicted, ok)
	}
	if evicted, ok = table.Charge(whole, 50); ok || len(evicted) > 0 {
		t.Errorf("evicted %v, %t; want a refusal", evicted, ok)
	}
}

// Memory must be free again when connections and requests have ended, in any order.
func TestMemoryIsReleased(t *testing.T) {
	table := New(Options{MaxBytes: 100})
	p := &Port{Name: "callers", MaxConns: 9, ConnBytes: 10}
	table.AddPort(p)
	first, second := open(t, table, p), open(t, table, p)
	table.Charge(first, 50)
	table.Charge(second, 50)
	table.Close(first)
	table.Charge(first, -50)
	table.Charge(second, -50)
	table.Close(second)
	table.Close(second)
	if table.Used() != 0 || table.leaving != 0 || p.Conns() != 0 {
		t.Errorf("%d bytes, %d leaving, %d connections left", table.Used(), table.leaving, p.Conns())
	}
}

// Callers who hold all of their memory must not keep agents and readiness checks out.
func TestInternalPortsHaveAReserve(t *testing.T) {
	table := New(Options{MaxBytes: 100, ReserveBytes: 20})
	callers, nodes := &Port{Name: "callers", MaxConns: 9, ConnBytes: 10}, &Port{Name: "nodes", MaxConns: 9, ConnBytes: 10, Internal: true}
	table.AddPort(callers)
	table.AddPort(nodes)
	whole := open(t, table, callers)
	receive(table, whole)
	table.Charge(whole, 90)
	if c, _ := table.Open(callers); c != nil {
		t.Error("a caller was accepted without memory")
	}
	receive(table, open(t, table, nodes))
	receive(table, open(t, table, nodes))
	if c, _ := table.Open(nodes); c != nil {
		t.Error("the reserve is exceeded")
	}
}

// Whatever connections do, in any order, the sums must match what is open, no limit may be
// exceeded by what lingers, and everything must be free in the end.
func TestSumsMatch(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		table := New(Options{MaxBytes: 500, ReserveBytes: 50})
		ports := []*Port{{MaxConns: 10, ConnBytes: 10}, {MaxConns: 5, ConnBytes: 20, Internal: true}}
		for _, p := range ports {
			table.AddPort(p)
		}
		var conns []*Conn
		for range 500 {
			if len(conns) == 0 || random.IntN(4) == 0 {
				if c, _ := table.Open(ports[random.IntN(2)]); c != nil {
					conns = append(conns, c)
				}
				continue
			}
			i := random.IntN(len(conns))
			switch c := conns[i]; random.IntN(5) {
			case 0:
				table.Begin(c)
			case 1:
				if c.partial > 0 {
					table.Received(c)
				}
			case 2:
				if c.partial+c.whole > 0 {
					table.End(c, c.whole > 0)
				}
			case 3:
				table.Charge(c, random.Int64N(100))
			case 4:
				table.Close(c)
				if c.bytes == 0 {
					conns = append(conns[:i], conns[i+1:]...)
				}
			}
			checkSums(t, seed, table, ports, conns)
		}
		for _, c := range conns {
			table.Close(c)
			table.Charge(c, -c.bytes)
		}
		checkSums(t, seed, table, ports, nil)
	}
}

func checkSums(t *testing.T, seed uint64, table *Table, ports []*Port, conns []*Conn) {
	t.Helper()
	var used, leaving int64
	open := map[*Port]int{}
	for _, c := range conns {
		used += c.bytes
		if c.evicted {
			leaving += c.bytes
		}
		if !c.evicted && !c.closed {
			open[c.port]++
		}
		if lingers := !c.evicted && !c.closed && (c.partial > 0 || c.whole == 0); lingers != (c.place != nil) {
			t.Fatalf("seed %d: lingers %t", seed, !lingers)
		}
	}
	for i, p := range ports {
		if p.Conns() != open[p] || p.Conns() > p.MaxConns {
			t.Fatalf("seed %d: %d connections at port %d, %d are open", seed, p.Conns(), i, open[p])
		}
	}
	if table.Used() != used || table.leaving != leaving {
		t.Fatalf("seed %d: %d bytes, %d leaving; want %d and %d", seed, table.Used(), table.leaving, used, leaving)
	}
}
