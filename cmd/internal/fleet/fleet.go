// Package fleet discovers the live processes through the operators' port of any of
// them, and queries them in parallel. Processes that don't answer are returned with
// the reason, so that missing data is never mistaken for an absence of events.
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

// maxResponseBytes is the maximum size of one process's response. It must hold the
// largest time line, and the status of an entry with many agents.
const maxResponseBytes = 64 << 20

var (
	errorNamespace = errorx.NewNamespace("fleet")
	// ErrNoAnswer means that none of the addresses answered.
	ErrNoAnswer  = errorNamespace.NewType("nobody_answers")
	errNoAddress = errorNamespace.NewType("no_operators_address")
)

// Client is the operators' client of one process.
type Client = papayahoistv1connect.OperatorServiceClient

// Process is one process of the system.
type Process struct {
	Name          string
	Role          string
	Incarnation   string
	Worker        string
	FailureDomain string
	// Address of the operators' port.
	Address string
}

// Failure is a process that did not answer. A process of which only the
// address is known has no name.
type Failure struct {
	Process Process
	Err     error
}

// Reason returns a short text of the error, for one line of output.
func (f Failure) Reason() string {
	var rpc *connect.Error
	if errors.As(f.Err, &rpc) {
		return rpc.Code().String() + ": " + rpc.Message()
	}
	return f.Err.Error()
}

// Title returns the display name of the process.
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
	// Dial creates a client for an address. If nil, plain HTTP is used.
	Dial func(address string) Client
	// Timeout is the timeout of each request, Parallel the maximum number of
	// concurrent requests. Zero values mean the defaults.
	Timeout  time.Duration
	Parallel int
}

// Fleet is the result of a discovery.
type Fleet struct {
	options Options
	// Statuses are the responses of the entries, sorted by name.
	Statuses []*pb.StatusResponse
	// Processes are the entries and agents, entries first, sorted by name. They
	// include those that failed if their address is known.
	Processes []Process
	// Failures are the entries that did not answer, and the processes without a
	// known address.
	Failures []Failure
}

// DialHTTP returns a Dial function that uses the HTTP client with the given scheme.
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

// Discover queries the addresses, then every entry named in the responses, until no
// new entry is found. It returns ErrNoAnswer if no process answers.
func Discover(ctx context.Context, o Options) (*Fleet, error) {
	d := discovery{fleet: &Fleet{options: o.withDefaults()}, queried: map[string]bool{}, known: map[string]Process{}}
	round := make([]Process, 0, len(o.Addresses))
	for _, address := range o.Addresses {
		round = append(round, Process{Address: address})
	}
	for len(round) > 0 {
		round = d.query(ctx, round)
	}
	if len(d.answered) == 0 {
		return nil, ErrNoAnswer.New("none of %s answers: %s",
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
	queried  map[string]bool // by address
	answered []Process
	known    map[string]Process // by name
}

// query requests the status of the processes that haven't been queried yet and
// returns the entries named in their responses.
func (d *discovery) query(ctx context.Context, round []Process) []Process {
	round = slices.DeleteFunc(round, func(p Process) bool {
		seen := d.queried[p.Address]
		d.queried[p.Address] = true
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

// add records a response and returns the entries named in it.
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
			d.addKnown(Process{Name: h.Agent, Role: RoleAgent, Incarnation: h.Incarnation, Worker: h.Worker,
				FailureDomain: h.FailureDomain, Address: h.OperatorAddress})
		}
	}
	var entries []Process
	for _, peer := range r.Peers {
		p := Process{Name: peer.Entry, Role: RoleEntry, Incarnation: peer.Incarnation,
			FailureDomain: peer.FailureDomain, Address: peer.OperatorAddress}
		d.addKnown(p)
		if p.Address != "" {
			entries = append(entries, p)
		}
	}
	return entries
}

// addKnown records a process unless a description with an address is already known.
func (d *discovery) addKnown(p Process) {
	if old, ok := d.known[p.Name]; !ok || old.Address == "" {
		d.known[p.Name] = p
	}
}

func (d *discovery) finish() {
	f := d.fleet
	for _, p := range d.known {
		if p.Address == "" {
			f.Failures = append(f.Failures, Failure{p, errNoAddress.New("its operators' address is not known")})
			continue
		}
		f.Processes = append(f.Processes, p)
	}
	slices.SortFunc(f.Processes, compare)
	slices.SortFunc(f.Failures, func(a, b Failure) int { return compare(a.Process, b.Process) })
	slices.SortFunc(f.Statuses, func(a, b *pb.StatusResponse) int { return CompareNames(a.Process, b.Process) })
}

// compare orders entries before agents, then by name and address.
func compare(a, b Process) int {
	return cmp.Or(-cmp.Compare(a.Role, b.Role), CompareNames(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
}

// CompareNames orders names naturally: agent-2 before agent-10.
func CompareNames(a, b string) int {
	stemA, numberA := splitNumber(a)
	stemB, numberB := splitNumber(b)
	if stemA != stemB {
		return cmp.Compare(a, b)
	}
	return cmp.Or(cmp.Compare(len(numberA), len(numberB)), cmp.Compare(numberA, numberB))
}

// splitNumber splits a name into its stem and the trailing digits, without leading
// zeros.
func splitNumber(name string) (stem, number string) {
	stem = strings.TrimRight(name, "0123456789")
	return stem, strings.TrimLeft(name[len(stem):], "0")
}

// Each calls ask for every process, concurrently and each with its own timeout, and
// returns when all calls have returned.
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

// AgentOf returns the name of the agent beside the worker, or the given name if
// there is no such worker.
func (f *Fleet) AgentOf(worker string) string {
	for _, p := range f.Processes {
		if p.Role == RoleAgent && p.Worker == worker {
			return p.Name
		}
	}
	return worker
}
