package operator

import (
	"time"

	"github.com/joomcode/errorx"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
)

// Errors of this package. Clients receive them as connect errors with the codes
// invalid_argument and resource_exhausted.
var (
	errorNamespace   = errorx.NewNamespace("operator")
	errInvalidFilter = errorNamespace.NewType("invalid_filter")
	errBusy          = errorNamespace.NewType("busy")
)

// filterOf validates a request and converts it to a filter of the ring.
func filterOf(r *pb.TimelineRequest) (event.Filter, error) {
	names := []struct{ field, value string }{
		{"job", r.Job}, {"contract", r.Contract}, {"worker", r.Worker},
	}
	for _, name := range names {
		if len(name.value) > maxNameLength {
			return event.Filter{}, errInvalidFilter.New("%s has %d bytes, at most %d are allowed",
				name.field, len(name.value), maxNameLength)
		}
	}
	if r.FromUnixMs < 0 || r.UntilUnixMs < 0 {
		return event.Filter{}, errInvalidFilter.New("from and until must not be negative")
	}
	if r.FromUnixMs > 0 && r.UntilUnixMs > 0 && r.FromUnixMs >= r.UntilUnixMs {
		return event.Filter{}, errInvalidFilter.New("from must lie before until")
	}
	filter := event.Filter{
		Job:      r.Job,
		Contract: r.Contract,
		Worker:   r.Worker,
		From:     timeOf(r.FromUnixMs),
		Until:    timeOf(r.UntilUnixMs),
		Limit:    MaxEvents,
	}
	if r.Limit > 0 && r.Limit < MaxEvents {
		filter.Limit = int(r.Limit)
	}
	return filter, nil
}

// timeOf converts Unix milliseconds. Zero gives the zero time, which is no bound in a
// filter.
func timeOf(unixMillis int64) time.Time {
	if unixMillis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(unixMillis)
}
