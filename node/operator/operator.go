package operator

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/hlc"
)

// Paths beside those of OperatorService.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
)

// Limits of one request.
const (
	// MaxEvents bounds a time line; a request without a limit gets it too.
	MaxEvents = 20_000
	// maxRequestBytes bounds a request's body; all requests are small.
	maxRequestBytes = 16 << 10
	// maxNameLength bounds the names in a filter, in bytes.
	maxNameLength = 256
	// timelinesAtOnce bounds the time lines in the making: each holds a copy of
	// the events, and the memory of an agent is small.
	timelinesAtOnce = 2
)

// StatusSource is the process's own view. Status may be called from any
// goroutine and must not block on peers or the platform; the result is the
// caller's.
type StatusSource interface {
	Status() *pb.StatusResponse
}

// Options of the handler; Status must be set.
type Options struct {
	Status StatusSource
	// Ring and Clock may be nil: then the time line is empty.
	Ring  *event.Ring
	Clock *hlc.Clock
	// Incarnation and Role go into time lines.
	Incarnation string
	Role        string
	// Ready returns why the process takes no new work, or nil. A nil func is always ready.
	Ready func() error
	// Gatherer is read by /metrics; nil takes the default one.
	Gatherer prometheus.Gatherer
	// Requests counts requests by name and result; nil counts nothing.
	Requests *prometheus.CounterVec
	Logger   *slog.Logger
	// Now is the wall clock; nil takes time.Now.
	Now func() time.Time
}

// NewHandler returns the handler for the operators' port.
func NewHandler(o Options) http.Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Gatherer == nil {
		o.Gatherer = prometheus.DefaultGatherer
	}
	if o.Clock == nil {
		o.Clock = new(hlc.Clock)
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	s := &service{Options: o, timelines: make(chan struct{}, timelinesAtOnce)}
	path, rpc := papayahoistv1connect.NewOperatorServiceHandler(s,
		connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(s.count)))
	router := chi.NewRouter()
	router.Mount(path, rpc)
	router.Method(http.MethodGet, PathMetrics, promhttp.HandlerFor(o.Gatherer, promhttp.HandlerOpts{
		ErrorLog:            slog.NewLogLogger(o.Logger.Handler(), slog.LevelError),
		MaxRequestsInFlight: timelinesAtOnce,
	}))
	router.Get(PathHealth, func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	router.Get(PathReady, s.ready)
	return router
}

type service struct {
	Options
	timelines chan struct{}
}

func (s *service) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Ready != nil {
		if err := s.Ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
	}
	writeText(w, http.StatusOK, "ok")
}

func writeText(w http.ResponseWriter, code int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	_, _ = w.Write([]byte(text + "\n")) // a probe that hung up has its answer
}

// Status implements the RPC.
func (s *service) Status(_ context.Context, r *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	s.observe(r.Msg.Clock)
	response := s.Options.Status.Status()
	response.Clock = s.Clock.Now(s.Now())
	return connect.NewResponse(response), nil
}

// Timeline implements the RPC.
func (s *service) Timeline(_ context.Context, r *connect.Request[pb.TimelineRequest]) (*connect.Response[pb.TimelineResponse], error) {
	s.observe(r.Msg.Clock)
	filter, err := filterOf(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	select {
	case s.timelines <- struct{}{}:
		defer func() { <-s.timelines }()
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy.New("%d time lines are being made, ask again", timelinesAtOnce))
	}
	snapshot := s.Ring.Snapshot(filter)
	return connect.NewResponse(&pb.TimelineResponse{
		Clock:       s.Clock.Now(s.Now()),
		Process:     s.Ring.Process(),
		Worker:      s.Ring.Worker(),
		Incarnation: s.Incarnation,
		Role:        s.Role,
		Events:      encodeEvents(s.Ring.Process(), snapshot.Events),
		Overwritten: snapshot.Overwritten,
		OldestClock: snapshot.Oldest,
		Limited:     snapshot.Limited,
	}), nil
}

func (s *service) observe(remote uint64) { s.Clock.Observe(remote, s.Now()) }

func encodeEvents(process string, events []event.Event) []*pb.Event {
	encoded := make([]*pb.Event, 0, len(events))
	for _, e := range events {
		encoded = append(encoded, &pb.Event{
			Clock:    e.Clock,
			Process:  process,
			Kind:     e.Kind.String(),
			Job:      e.Job,
			Task:     e.Task,
			Contract: e.Contract,
			Peer:     e.Peer,
			Detail:   e.Detail,
			Value:    e.Value,
		})
	}
	return encoded
}

// count is an interceptor that counts requests by their name and result.
func (s *service) count(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		response, err := next(ctx, r)
		if s.Requests != nil {
			s.Requests.WithLabelValues(requestName(r.Spec().Procedure), resultName(err)).Inc()
		}
		return response, err
	}
}

func requestName(procedure string) string {
	if procedure == papayahoistv1connect.OperatorServiceTimelineProcedure {
		return "timeline"
	}
	return "status"
}

func resultName(err error) string {
	if err == nil {
		return "ok"
	}
	return connect.CodeOf(err).String()
}
