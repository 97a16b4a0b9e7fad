package client

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
)

// Defaults of Options.
const (
	DefaultWait    = 2 * time.Second
	DefaultSilence = time.Second
)

const (
	// uniqueBytes is the length of the random part of a job id (128 bits).
	uniqueBytes = 16
	// homeTokenTTL is how long a home token is used after its entry last responded.
	// A job whose home has died can only be refused, so a client that was idle
	// asks for the current home before it creates an id.
	homeTokenTTL = 5 * time.Second
)

// Options are a client's options.
type Options struct {
	// Addresses are base URLs of entries, or of the load balancer in front of
	// them, such as "http://10.0.1.5:7400". After a fault the next one is tried.
	Addresses []string
	// Token is sent as the bearer token; none if empty.
	Token string
	// HTTPClient sends the requests; nil selects a client with default settings.
	HTTPClient *http.Client
	// Wait is how long the entry may hold one request until the answer is there.
	// Zero means DefaultWait; the maximum is jobs.MaxWait.
	Wait time.Duration
	// Silence is how long beyond Wait a response may take before the
	// request is abandoned and sent on a new connection. Zero means
	// DefaultResponseTimeout.
	Silence time.Duration
}

// Client submits jobs.
type Client struct {
	http            *http.Client
	baseURLs        []string
	token           string
	wait            time.Duration
	responseTimeout time.Duration
	budget          *budget

	// next selects the base URL; it advances after a fault.
	next atomic.Uint64
	// home is the entry that responded last; nil before the first response and
	// after a fault.
	home atomic.Pointer[home]
}

// home is the home token of an entry and when it was last received.
type home struct {
	token      string
	receivedAt time.Time
}

// New returns a client. Errors are of type Misuse.
func New(options Options) (*Client, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	c := &Client{
		http:            options.HTTPClient,
		token:           options.Token,
		wait:            options.Wait,
		responseTimeout: options.Silence,
		budget:          newBudget(time.Now()),
	}
	for _, address := range options.Addresses {
		c.baseURLs = append(c.baseURLs, strings.TrimSuffix(address, "/"))
	}
	if c.http == nil {
		c.http = defaultHTTPClient()
	}
	c.wait = cmp.Or(c.wait, DefaultWait)
	c.responseTimeout = cmp.Or(c.responseTimeout, DefaultSilence)
	return c, nil
}

func (o Options) check() error {
	if len(o.Addresses) == 0 {
		return Misuse.New("no address")
	}
	for _, address := range o.Addresses {
		parsed, err := url.Parse(address)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return Misuse.New("address %q: want http://ip:port or https://ip:port", address)
		}
	}
	if o.Wait < 0 || o.Wait > jobs.MaxWait {
		return Misuse.New("wait %s: want 0 to %s", o.Wait, jobs.MaxWait)
	}
	if o.Silence < 0 {
		return Misuse.New("response timeout %s: want 0 or more", o.Silence)
	}
	return nil
}

// defaultHTTPClient keeps enough idle connections for a burst of jobs, and
// follows no redirects: a job goes only to the entry it was addressed to.
func defaultHTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 64
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// NewID returns a job id whose home is the entry that responded last. Errors
// are of type NotRun: no entry responded before ctx ended.
func (c *Client) NewID(ctx context.Context) (string, error) {
	token, err := c.homeToken(ctx)
	if err != nil {
		return "", err
	}
	var unique [uniqueBytes]byte
	rand.Read(unique[:]) // never fails
	return token + "." + base64.RawURLEncoding.EncodeToString(unique[:]), nil
}

func (c *Client) homeToken(ctx context.Context) (string, error) {
	if h := c.home.Load(); h != nil && time.Since(h.receivedAt) < homeTokenTTL {
		return h.token, nil
	}
	for attempt := 0; ; attempt++ {
		token, err := c.fetchHomeToken(ctx)
		if err == nil {
			return token, nil
		}
		if pauseErr := c.pause(ctx, attempt, 0); pauseErr != nil {
			return "", NotRun.Wrap(err, "no entry returned a home token")
		}
	}
}

func (c *Client) fetchHomeToken(ctx context.Context) (string, error) {
	reply, err := c.exchange(ctx, http.MethodGet, jobs.PathHome, nil, 0)
	if err != nil {
		return "", err
	}
	var body jobs.Home
	if reply.status != http.StatusOK || json.Unmarshal(reply.body, &body) != nil || body.Token == "" {
		return "", lost.New("status %d without a home token", reply.status)
	}
	return body.Token, nil
}
