package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/dispatch/catchup"
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/platform/progress"
)

const (
	fetchDelay      = 100 * time.Millisecond
	fetchRetryDelay = 100 * time.Millisecond
	fetchMaxHold    = time.Second
	// fetchStall is the time without progress after which a fetch fails. Callers' requests
	// may fill the link for a part of it.
	fetchStall = 800 * time.Millisecond
	// maxTransfers bounds the fetches that an entry serves at a time, so that each of them
	// gets a fair part of a small link, and the entry's callers do, too.
	maxTransfers = 2
	// transferPiece is written within fetchStall, or the receiver counts as unresponsive.
	transferPiece = 16 << 10
)

func newVersionTracker() *catchup.Tracker {
	return catchup.New(catchup.Options{Delay: fetchDelay, MaxHold: fetchMaxHold, RetryDelay: fetchRetryDelay, Random: rand.Float64})
}

// startFetch starts the next fetch of the configuration, or the timer for it. The caller
// holds p.mu.
func (p *peers) startFetch() {
	if p.ctx == nil || p.ctx.Err() != nil {
		return
	}
	now := clock.Now()
	address, at := p.versions.Next(now, p.d.opts.StoreDelivering())
	switch {
	case address != "":
		go p.fetch(p.ctx, p.all[address])
	case !at.IsZero():
		p.fetchTimer.Reset(at.Sub(now))
	}
}

// fetch fetches the configuration from another entry if that has a newer one.
func (p *peers) fetch(ctx context.Context, x *peer) {
	ctx, call := progress.Start(ctx, progress.Limits{Response: fetchStall, Stall: fetchStall})
	defer call.End()
	began := clock.Now()
	resp, err := x.client.FetchConfiguration(ctx, connect.NewRequest(&pb.FetchConfigurationRequest{NewerThan: p.d.Configuration().GetVersion()}))
	p.d.opts.OnFetch(Transfer{Sent: call.Sent(), Received: call.Received(), Err: err})
	ok := err == nil && resp.Msg.Configuration != nil
	if ok {
		p.d.SetEvacuations(resp.Msg.Evacuations)
		p.d.SetConfiguration(resp.Msg.Configuration, x.address)
	} else {
		p.d.opts.Logger.Warn("configuration_not_fetched", "entry", x.address, "elapsed_ms", clock.Now().Sub(began).Milliseconds(),
			"transferred", call.String(), "err", progress.Cause(ctx, err))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions.Done(clock.Now(), ok)
	p.startFetch()
}

// FetchConfiguration serves another entry's fetch.
func (s *service) FetchConfiguration(_ context.Context, req *connect.Request[pb.FetchConfigurationRequest]) (*connect.Response[pb.FetchConfigurationResponse], error) {
	resp := &pb.FetchConfigurationResponse{Evacuations: s.d.Evacuations()}
	if c := s.d.Configuration(); c.GetVersion() > req.Msg.NewerThan {
		resp.Configuration = c
	}
	return connect.NewResponse(resp), nil
}

// limitTransfers returns a handler that serves at most maxTransfers fetches at a time, and
// ends one whose receiver makes no progress.
func limitTransfers(next http.Handler) http.Handler {
	slots := make(chan struct{}, maxTransfers)
	errors := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, papayahoistv1connect.WorkServiceFetchConfigurationProcedure) {
			next.ServeHTTP(w, r)
			return
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			next.ServeHTTP(&stallingWriter{w, http.NewResponseController(w)}, r)
		default:
			_ = errors.Write(w, r, connect.NewError(connect.CodeResourceExhausted, ErrLink.New("%d transfers in progress", maxTransfers)))
		}
	})
}

// stallingWriter fails when a piece of the response can't be written within fetchStall.
type stallingWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

func (w *stallingWriter) Write(b []byte) (written int, err error) {
	for len(b) > 0 && err == nil {
		if err = w.controller.SetWriteDeadline(time.Now().Add(fetchStall)); err != nil {
			return written, err
		}
		var n int
		n, err = w.ResponseWriter.Write(b[:min(transferPiece, len(b))])
		written += n
		b = b[n:]
	}
	return written, err
}

// Unwrap is for http.ResponseController.
func (w *stallingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
