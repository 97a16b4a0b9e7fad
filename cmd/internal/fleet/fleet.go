// Package fleet finds the live processes through the operators' port of any of
// them, and asks them in parallel. A process that doesn't answer is named, with
// the reason: in a fault, what is missing matters as much as what is there.
package fleet

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
)

// Defaults of Options.
const (
	DefaultTimeout  = 3 * time.Second
	DefaultParallel = 64
)

// Roles in status responses.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// maxResponseBytes bounds one process's answer: the largest time line, and the
// status of an entry with many agents.
const maxResponseBytes = 64 << 20

var (
	errorNamespace = errorx.NewNamespace("fleet")
	// ErrNobody means that none of the addresses answered.
	ErrNobody = errorNamespace.NewType("nobody_answers")
	errNoPort = errorNamespace.NewType("no_operators_address")
)

// Client asks one process.
type Client = papayahoistv1connect.OperatorServiceClient

// Process is one process of the system.
type Process struct {
	Name          string
	Role          string
	Incarnation   string
	Worker        string
	FailureDomain string
	// Address of its operators' port.
	Address string
}

// Failure is a process that did not answer. A process of which only the
// address is known has no name.
type Failure struct {
	Process Process
	Err     error
}

// Reason is the error in a line's length.
func (f Failure) Reason() string {
	var rpc *connect.Error
	if errors.As(f.Err, &rpc) {
		return rpc.Code().String() + ": " + rpc.Message()
	}
	return f.Err.Error()
}

// Title names the process for people.
func (p Process) Title() string {
	if p.Name == "" {
		return "process at " + p.Address
	}
	return p.Name
}

// Options of Discover.
type Options struct {
	// Addresses of operators' ports, "ip:port"; one live entry is enough.
	Addresses []string
	// Dial makes a client; nil dials plain HTTP.
	Dial func(address string) Client
	// Timeout bounds each request, Parallel the requests at a time; zero takes
	// the default.
	Timeout  time.Duration
	Parallel int
}

// Fleet is what was found.
type Fleet struct {
	options Options
	// Statuses are the answers of entries, by name.
	Statuses []*pb.StatusResponse
	// Processes are entries and agents, entries first, by name. Those that
	// failed are among them if their address is known.
	Processes []Process
	// Failures are the entries that did not answer, and the processes without a
	// known address.
	Failures []Failure
}

// DialHTTP returns a Dial function on an HTTP client.
func DialHTTP(client *http.Client, scheme string) func(string) Client {
	return func(address string) Client {
		return papayahoistv1connect.NewOperatorServiceClient(client, scheme+"://"+address,
			connect.WithReadMaxBytes(maxResponseBytes))
	}
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = DialHTTP(http.DefaultClient, "http")
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Parallel <= 0 {
		o.Parallel = DefaultParallel
	}
	return o
}

// Discover asks the addresses, then every entry that their answers name, until
// no new one turns up. It returns ErrNobody if nothing answers.
func Discover(ctx context.Context, o Options) (*Fleet, error) {
	d := discovery{fleet: &Fleet{options: o.withDefaults()}, asked: map[string]bool{}, known: map[string]Process{}}
	round := make([]Process, 0, len(o.Addresses))
	for _, address := range o.Addresses {
		round = append(round, Process{Address: address})
	}
	for len(round) > 0 {
		round = d.ask(ctx, round)
	}
	if len(d.answered) == 0 {
		return nil, ErrNobody.New("none of %s answers: %s",
			strings.Join(o.Addresses, ", "), reasons(d.fleet.Failures))
	}
	d.finish()
	return d.fleet, nil
}

func reasons(failures []Failure) string {
	lines := make([]string, 0, len(failures))
	for _, f := range failures {
		lines = append(lines, f.Reason())
	}
	return strings.Join(lines, "; ")
}

type discovery struct {
	fleet    *Fleet
	asked    map[string]bool // by address
	answered []Process
	known    map[string]Process // by name
}

// ask gets the status of a round of processes and returns the entries that
// were not known before.
func (d *discovery) ask(ctx context.Context, round []Process) []Process {
	round = slices.DeleteFunc(round, func(p Process) bool {
		seen := d.asked[p.Address]
		d.asked[p.Address] = true
		return seen
	})
	var mu sync.Mutex
	var next []Process
	d.fleet.each(ctx, round, func(ctx context.Context, p Process, c Client) {
		response, err := c.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			d.fleet.Failures = append(d.fleet.Failures, Failure{p, err})
			return
		}
		next = append(next, d.add(response.Msg, p.Address)...)
	})
	return next
}

// add takes in an answer and returns the entries that it names.
func (d *discovery) add(r *pb.StatusResponse, address string) []Process {
	self := Process{Name: r.Process, Role: r.Role, Incarnation: r.Incarnation, Worker: r.Worker,
		FailureDomain: r.FailureDomain, Address: address}
	again := slices.ContainsFunc(d.answered, func(p Process) bool {
		return p.Name == self.Name && p.Incarnation == self.Incarnation
	})
	if !again {
		d.answered = append(d.answered, self)
		if r.Role == RoleEntry {
			d.fleet.Statuses = append(d.fleet.Statuses, r)
		}
	}
	d.known[self.Name] = self
	for _, a := range r.Agents {
		if h := a.Hello; h != nil {
			d.learn(Process{Name: h.Agent, Role: RoleAgent, Incarnation: h.Incarnation, Worker: h.Worker,
				FailureDomain: h.FailureDomain, Address: h.OperatorAddress})
		}
	}
	var entries []Process
	for _, peer := range r.Peers {
		p := Process{Name: peer.Entry, Role: RoleEntry, Incarnation: peer.Incarnation,
			FailureDomain: peer.FailureDomain, Address: peer.OperatorAddress}
		d.learn(p)
		if p.Address != "" {
			entries = append(entries, p)
		}
	}
	return entries
}

// learn keeps the first description that has an address.
func (d *discovery) learn(p Process) {
	if old, ok := d.known[p.Name]; !ok || old.Address == "" {
		d.known[p.Name] = p
	}
}

func (d *discovery) finish() {
	f := d.fleet
	for _, p := range d.known {
		if p.Address == "" {
			f.Failures = append(f.Failures, Failure{p, errNoPort.New("its operators' address is not known")})
			continue
		}
		f.Processes = append(f.Processes, p)
	}
	slices.SortFunc(f.Processes, compare)
	slices.SortFunc(f.Failures, func(a, b Failure) int { return compare(a.Process, b.Process) })
	slices.SortFunc(f.Statuses, func(a, b *pb.StatusResponse) int { return CompareNames(a.Process, b.Process) })
}

// compare puts entries before agents.
func compare(a, b Process) int {
	return cmp.Or(-cmp.Compare(a.Role, b.Role), CompareNames(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
}

// CompareNames orders names as people do: agent-2 before agent-10.
func CompareNames(a, b string) int {
	stemA, numberA := splitNumber(a)
	stemB, numberB := splitNumber(b)
	if stemA != stemB {
		return cmp.Compare(a, b)
	}
	return cmp.Or(cmp.Compare(len(numberA), len(numberB)), cmp.Compare(numberA, numberB))
}

// splitNumber cuts off the digits at the end of a name, without leading zeros.
func splitNumber(name string) (stem, number string) {
	stem = strings.TrimRight(name, "0123456789")
	return stem, strings.TrimLeft(name[len(stem):], "0")
}

// Each calls ask for every process, several at a time, each with its own
// timeout, and returns when all calls have. Calls run on different goroutines.
func (f *Fleet) Each(ctx context.Context, ask func(context.Context, Process, Client)) {
	f.each(ctx, f.Processes, ask)
}

func (f *Fleet) each(ctx context.Context, processes []Process, ask func(context.Context, Process, Client)) {
	var group errgroup.Group
	group.SetLimit(f.options.Parallel)
	for _, p := range processes {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, f.options.Timeout)
			defer cancel()
			ask(ctx, p, f.options.Dial(p.Address))
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
}

// AgentOf returns the name of the agent beside a worker; a name that is no
// worker's is returned as it is.
func (f *Fleet) AgentOf(worker string) string {
	for _, p := range f.Processes {
		if p.Role == RoleAgent && p.Worker == worker {
			return p.Name
		}
	}
	return worker
}
