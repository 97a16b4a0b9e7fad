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
	// uniqueBytes is the random part of a job id, 128 bits.
	uniqueBytes = 16
	// homeFresh is how long a token is used after its entry was heard. A job
	// whose home has died can be refused at best, so a client that was idle
	// asks who is there before it names a home.
	homeFresh = 5 * time.Second
)

// Options are a client's options.
type Options struct {
	// Addresses are base URLs of entries, or of the balancer in front of them,
	// such as "http://10.0.1.5:7400". The next one is tried after a fault.
	Addresses []string
	// Token is sent as the bearer token; empty: none.
	Token string
	// HTTPClient sends the requests; nil: one of the client's own.
	HTTPClient *http.Client
	// Wait is how long one request may wait for an answer at the entry;
	// zero: DefaultWait. At most jobs.MaxWait.
	Wait time.Duration
	// Silence is how long after Wait a connection may stay silent before it is
	// given up and the request is sent on a new one; zero: DefaultSilence.
	Silence time.Duration
}

// Client submits jobs.
type Client struct {
	http    *http.Client
	bases   []string
	token   string
	wait    time.Duration
	silence time.Duration
	budget  *budget

	// next picks the base; it moves on after a fault.
	next atomic.Uint64
	// home is the entry that answered last, nil before that and after a fault.
	home atomic.Pointer[home]
}

// home is what an entry said of itself.
type home struct {
	token string
	heard time.Time
}

// New returns a client. Errors are of type Misuse.
func New(options Options) (*Client, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	c := &Client{
		http:    options.HTTPClient,
		token:   options.Token,
		wait:    options.Wait,
		silence: options.Silence,
		budget:  newBudget(time.Now()),
	}
	for _, address := range options.Addresses {
		c.bases = append(c.bases, strings.TrimSuffix(address, "/"))
	}
	if c.http == nil {
		c.http = defaultHTTPClient()
	}
	c.wait = cmp.Or(c.wait, DefaultWait)
	c.silence = cmp.Or(c.silence, DefaultSilence)
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
		return Misuse.New("silence %s: want 0 or more", o.Silence)
	}
	return nil
}

// defaultHTTPClient keeps enough connections alive for a burst of jobs, and
// follows no redirect: a job goes to the entry that was asked, or nowhere.
func defaultHTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 64
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// NewID returns a job id that names the entry which answered last as its home.
// Errors are of type NotRun: no entry answered before ctx ended.
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
	if h := c.home.Load(); h != nil && time.Since(h.heard) < homeFresh {
		return h.token, nil
	}
	for attempt := 0; ; attempt++ {
		token, err := c.askHome(ctx)
		if err == nil {
			return token, nil
		}
		if pauseErr := c.pause(ctx, attempt, 0); pauseErr != nil {
			return "", NotRun.Wrap(err, "no entry named itself")
		}
	}
}

func (c *Client) askHome(ctx context.Context) (string, error) {
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
