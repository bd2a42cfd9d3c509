// Package client calls the HTTP APIs of a cell through any of its instances. It
// retries under the same request id when a response is lost.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
)

const (
	maxResponseBytes = 64 << 20
	// The backoff doubles from minBackoff to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// ErrUnreachable is returned when no instance responded in time.
var ErrUnreachable = errors.New("no instance responded")

// Problem is an RFC 9457 problem response of an instance.
type Problem struct {
	Status     int          `json:"status"`
	Code       wire.Code    `json:"code"`
	Detail     string       `json:"detail"`
	Faults     []note.Fault `json:"faults"`
	ActiveNote uint64       `json:"note-in-force"`
	Digest     string       `json:"note-digest"`
	// RetryAfter is in milliseconds.
	RetryAfter int64 `json:"retry-after-ms"`
}

// Error returns the code with the detail.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%d): %s", p.Code, p.Status, p.Detail)
}

// Retryable reports whether the problem is a temporary failure of the cell.
func (p *Problem) Retryable() bool {
	return p.Status == http.StatusServiceUnavailable
}

// IsOverloaded reports whether the request was rejected because of too much
// load.
func (p *Problem) IsOverloaded() bool {
	return p.Status == http.StatusTooManyRequests
}

// Client calls one of the HTTP APIs on several instances.
type Client struct {
	baseURLs   []string
	credential string
	httpClient *http.Client
	nextBase   atomic.Uint64
}

// Option configures a Client.
type Option func(*Client)

// WithCredential sets the key or token that is sent with each request.
func WithCredential(credential string) Option {
	return func(c *Client) { c.credential = credential }
}

// WithHTTPClient sets the HTTP client to use.
func WithHTTPClient(h *http.Client) Option {
	return func(c *Client) { c.httpClient = h }
}

// New returns a client of the instances at the base URLs. It starts with a random
// one.
func New(baseURLs []string, opts ...Option) *Client {
	c := &Client{
		baseURLs:   append([]string(nil), baseURLs...),
		httpClient: http.DefaultClient,
	}
	for _, opt := range opts {
		opt(c)
	}
	c.nextBase.Store(rand.Uint64N(uint64(max(len(baseURLs), 1))))
	return c
}

// Clone returns a client of the same instances that picks its own instance to
// start with, like another machine behind a load balancer.
func (c *Client) Clone() *Client {
	return New(c.baseURLs, WithCredential(c.credential), WithHTTPClient(c.httpClient))
}

// doWithRetry sends a request to one instance after the other until one responds
// with a success or a permanent problem, or the context ends. In the latter case
// it returns the last problem that an instance responded with, if any.
func (c *Client) doWithRetry(ctx context.Context, method, path string, body, dst any) error {
	data, err := encodeBody(body)
	if err != nil {
		return err
	}
	backoff := minBackoff
	// lastProblem is the most recent retryable problem of an instance.
	var lastProblem error
	for {
		baseURL := c.baseURLs[c.nextBase.Load()%uint64(len(c.baseURLs))]
		err := c.send(ctx, method, baseURL+path, data, dst)
		var p *Problem
		if err == nil || (errors.As(err, &p) && !p.Retryable()) {
			return err
		}
		switch {
		case p != nil:
			lastProblem = err
		case ctx.Err() != nil && lastProblem != nil:
			return lastProblem
		}
		c.nextBase.Add(1)
		if !waitBackoff(ctx, backoff) {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	data, err := json.Marshal(body)
	if err != nil {
		return data, errors.Wrap(err, "encode request")
	}
	return data, nil
}

// waitBackoff waits for a random time between 0.5 and 1.5 times the backoff, and
// reports whether that time passed before the context ended.
func waitBackoff(ctx context.Context, backoff time.Duration) bool {
	timer := time.NewTimer(backoff/2 + rand.N(backoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Client) send(ctx context.Context, method, requestURL string, body []byte, dst any) error {
	request, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.credential != "" {
		request.Header.Set("Authorization", "Bearer "+c.credential)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return errors.Wrapf(ErrUnreachable, "%s", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(ErrUnreachable, "read response: %s", err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return newProblem(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, dst); err != nil {
		return errors.Wrap(err, "decode response")
	}
	return nil
}

func newProblem(status int, data []byte) error {
	p := &Problem{}
	if err := json.Unmarshal(data, p); err != nil {
		p.Detail = string(data)
	}
	p.Status = status
	return p
}

// queryString returns the query of a URL with a leading question mark, without
// the pairs that have an empty value.
func queryString(pairs ...string) string {
	values := url.Values{}
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			values.Set(pairs[i], pairs[i+1])
		}
	}
	if len(values) == 0 {
		return ""
	}
	return "?" + values.Encode()
}

// formatWait, formatCount and formatBool format a query parameter. They return ""
// for a parameter that is not set, which queryString leaves out.
func formatWait(wait time.Duration) string {
	if wait <= 0 {
		return ""
	}
	return wait.String()
}

func formatCount(n int) string {
	if n <= 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func formatBool(b bool) string {
	if !b {
		return ""
	}
	return "true"
}
