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

// HTTP paths other than those of OperatorService.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
)

// Limits of one request.
const (
	// MaxEvents is the maximum number of events in a time line, and the default of
	// requests without a limit.
	MaxEvents = 20_000
	// maxRequestBytes is the maximum size of a request body; valid requests are
	// small.
	maxRequestBytes = 16 << 10
	// maxNameLength is the maximum length of a name in a filter, in bytes.
	maxNameLength = 256
	// maxConcurrentRequests limits concurrent time line requests, and likewise
	// concurrent /metrics requests. Each time line holds a copy of the events, and
	// agents have little memory.
	maxConcurrentRequests = 2
)

// StatusSource reports the status of the process. Status must be safe for concurrent
// use and must not block on peers or the platform. The caller owns the result.
type StatusSource interface {
	Status() *pb.StatusResponse
}

// Options configures the handler. Status is required.
type Options struct {
	Status StatusSource
	// Ring and Clock may be nil. Without Ring, time lines are empty.
	Ring  *event.Ring
	Clock *hlc.Clock
	// Incarnation and Role are included in time lines.
	Incarnation string
	Role        string
	// Ready returns nil if the process accepts new work, and otherwise the reason
	// why not. If Ready is nil, the process is always ready.
	Ready func() error
	// Gatherer is the source of /metrics; the default is
	// prometheus.DefaultGatherer.
	Gatherer prometheus.Gatherer
	// Requests counts requests by name and result; it may be nil.
	Requests *prometheus.CounterVec
	Logger   *slog.Logger
	// Now returns the wall clock time; the default is time.Now.
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
	s := &service{Options: o, timelines: make(chan struct{}, maxConcurrentRequests)}
	path, rpc := papayahoistv1connect.NewOperatorServiceHandler(s,
		connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(s.countRequests)))
	router := chi.NewRouter()
	router.Mount(path, rpc)
	router.Method(http.MethodGet, PathMetrics, promhttp.HandlerFor(o.Gatherer, promhttp.HandlerOpts{
		ErrorLog:            slog.NewLogLogger(o.Logger.Handler(), slog.LevelError),
		MaxRequestsInFlight: maxConcurrentRequests,
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
	_, _ = w.Write([]byte(text + "\n")) // the client may have disconnected
}

// Status implements OperatorService.
func (s *service) Status(_ context.Context, r *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	s.observeClock(r.Msg.Clock)
	response := s.Options.Status.Status()
	response.Clock = s.Clock.Now(s.Now())
	return connect.NewResponse(response), nil
}

// Timeline implements OperatorService.
func (s *service) Timeline(_ context.Context, r *connect.Request[pb.TimelineRequest]) (*connect.Response[pb.TimelineResponse], error) {
	s.observeClock(r.Msg.Clock)
	filter, err := filterOf(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	select {
	case s.timelines <- struct{}{}:
		defer func() { <-s.timelines }()
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy.New("%d time line requests are in progress; retry later", maxConcurrentRequests))
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

func (s *service) observeClock(remote uint64) { s.Clock.Observe(remote, s.Now()) }

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

// countRequests is an interceptor that counts requests by name and result.
func (s *service) countRequests(next connect.UnaryFunc) connect.UnaryFunc {
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
