// Package client talks to the HTTP side of a cell through any of its
// instances, and tries again under the same request id after a lost answer.
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
	maxAnswer    = 64 << 20
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = time.Second
)

// ErrUnreachable is returned when no instance answered in time.
var ErrUnreachable = errors.New("no instance answered")

// Problem is a problem detail that an instance answered with.
type Problem struct {
	Status     int          `json:"status"`
	Code       wire.Code    `json:"code"`
	Detail     string       `json:"detail"`
	Faults     []note.Fault `json:"faults"`
	InForce    uint64       `json:"note-in-force"`
	Digest     string       `json:"note-digest"`
	RetryAfter int64        `json:"retry-after-ms"`
}

// Error returns the code with the detail.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%d): %s", p.Code, p.Status, p.Detail)
}

// Retryable tells whether the problem is the cell's and passes.
func (p *Problem) Retryable() bool {
	return p.Status == http.StatusServiceUnavailable
}

// Busy tells whether the cell took too much on to look at the request.
func (p *Problem) Busy() bool {
	return p.Status == http.StatusTooManyRequests
}

// Client talks to one kind of listener on several instances.
type Client struct {
	bases      []string
	credential string
	http       *http.Client
	next       atomic.Uint64
}

// Option changes how a client talks.
type Option func(*Client)

// WithCredential sets the key or token shown with each request.
func WithCredential(credential string) Option {
	return func(c *Client) { c.credential = credential }
}

// WithHTTP sets the HTTP client to use.
func WithHTTP(h *http.Client) Option {
	return func(c *Client) { c.http = h }
}

// New returns a client of the instances at the base URLs.
func New(bases []string, opts ...Option) *Client {
	c := &Client{
		bases: append([]string(nil), bases...),
		http:  http.DefaultClient,
	}
	for _, opt := range opts {
		opt(c)
	}
	c.next.Store(rand.Uint64N(uint64(max(len(bases), 1))))
	return c
}

// Fork returns a client of the same instances that starts with one of its
// own, as another machine behind a balancer would.
func (c *Client) Fork() *Client {
	return New(c.bases, WithCredential(c.credential), WithHTTP(c.http))
}

// do sends a request to one instance after the other until one answers with
// something that is not a passing problem, or the context ends. Then it returns
// what an instance answered last, if any did.
func (c *Client) do(ctx context.Context, method, path string, body, into any) error {
	data, err := encode(body)
	if err != nil {
		return err
	}
	backoff := firstBackoff
	// answered is the newest answer of an instance that could not serve.
	var answered error
	for {
		base := c.bases[c.next.Load()%uint64(len(c.bases))]
		err := c.once(ctx, method, base+path, data, into)
		var p *Problem
		if err == nil || (errors.As(err, &p) && !p.Retryable()) {
			return err
		}
		switch {
		case p != nil:
			answered = err
		case ctx.Err() != nil && answered != nil:
			return answered
		}
		c.next.Add(1)
		if !pause(ctx, backoff) {
			return err
		}
		backoff = min(2*backoff, lastBackoff)
	}
}

func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	data, err := json.Marshal(body)
	if err != nil {
		return data, errors.Wrap(err, "encode request")
	}
	return data, nil
}

func pause(ctx context.Context, backoff time.Duration) bool {
	timer := time.NewTimer(backoff/2 + rand.N(backoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Client) once(ctx context.Context, method, address string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.credential != "" {
		request.Header.Set("Authorization", "Bearer "+c.credential)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(ErrUnreachable, "%s", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return errors.Wrapf(ErrUnreachable, "answer cut short: %s", err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return problemOf(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}

func problemOf(status int, data []byte) error {
	p := &Problem{}
	if err := json.Unmarshal(data, p); err != nil {
		p.Detail = string(data)
	}
	p.Status = status
	return p
}

// query builds the part of a URL behind the path.
func query(pairs ...string) string {
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

func waitText(wait time.Duration) string {
	if wait <= 0 {
		return ""
	}
	return wait.String()
}

func countText(n int) string {
	if n <= 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func boolText(b bool) string {
	if !b {
		return ""
	}
	return "true"
}
