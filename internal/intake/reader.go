package intake

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// Timing bounds the time in which a body must arrive.
type Timing struct {
	// Body is the time for a whole body. A second more is given for each Rate bytes
	// that have arrived, so that large bodies may take longer.
	Body time.Duration
	Rate int64
	// Stall is the longest time without any byte.
	Stall time.Duration
}

// DefaultTiming returns times that a client with a link of 1.5 Mbit/s, which stands
// still for a few seconds, does not exceed.
func DefaultTiming() Timing {
	return Timing{
		Body:  10 * time.Second,
		Rate:  128 << 10,
		Stall: 5 * time.Second,
	}
}

// Refusal is the reason for which a body was not received, and what the client is
// told.
type Refusal struct {
	Reason Reason
	// Status is the HTTP status.
	Status int
	// RetryAfter is zero if the same request will be refused again.
	RetryAfter time.Duration
}

// retryAfter is what a refused client is asked to wait. An evicted body releases its
// bytes at once, so a longer wait has no use.
const retryAfter = time.Second

func newRefusal(reason Reason) *Refusal {
	r := &Refusal{Reason: reason}
	switch reason {
	case ReasonTooLarge, ReasonDecoded:
		r.Status = http.StatusRequestEntityTooLarge
	case ReasonStalled, ReasonTimeout:
		r.Status = http.StatusRequestTimeout
	case ReasonBroken:
		r.Status = http.StatusBadRequest
	default:
		r.Status = http.StatusServiceUnavailable
		r.RetryAfter = retryAfter
	}
	return r
}

// Reader receives the bodies of one kind of request.
type Reader struct {
	gate    *Gate
	monitor *Monitor
	timing  Timing
	maxBody int64
	// cost returns the bytes that a request with the body needs until it is answered.
	cost func(data []byte) int64
}

// NewReader returns a reader of bodies of at most maxBody bytes.
func NewReader(gate *Gate, monitor *Monitor, timing Timing, maxBody int64, opts ...ReaderOption) *Reader {
	r := &Reader{
		gate:    gate,
		monitor: monitor,
		timing:  timing,
		maxBody: maxBody,
		cost:    func(data []byte) int64 { return int64(cap(data)) },
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// ReaderOption changes a Reader.
type ReaderOption func(*Reader)

// WithCost sets the function that returns the bytes which a request with the body
// needs until it is answered. By default these are the bytes of the body.
func WithCost(cost func(data []byte) int64) ReaderOption {
	return func(r *Reader) { r.cost = cost }
}

// Body is a received body. Its reservation must be released.
type Body struct {
	Data   []byte
	ticket *Ticket
}

// Release ends the reservation of the body. It may be called again.
func (b *Body) Release() {
	if b.ticket != nil {
		b.ticket.Release()
	}
}

// ReleaseSmall ends the reservation of a body that does not count as large.
func (b *Body) ReleaseSmall() {
	if b.ticket != nil && !b.ticket.isLarge() {
		b.ticket.Release()
	}
}

// Read receives the body of a request. On a refusal, which is logged and counted, it
// sets the headers with which the connection is closed after the response; the
// caller writes the status.
func (r *Reader) Read(w http.ResponseWriter, req *http.Request, key string) (*Body, *Refusal) {
	client := Client{
		Address: addressOf(req),
		Key:     key,
	}
	body, reason := r.receive(w, req, client)
	if reason == "" {
		return body, nil
	}
	w.Header().Set("Connection", "close")
	r.monitor.refused(r.gate, client.Address, reason, time.Now())
	return nil, newRefusal(reason)
}

// addressOf returns the client's address without its port.
func addressOf(req *http.Request) string {
	host, _, err := net.SplitHostPort(req.RemoteAddr)
	if err != nil {
		return req.RemoteAddr
	}
	return host
}

func (r *Reader) receive(w http.ResponseWriter, req *http.Request, client Client) (*Body, Reason) {
	if req.ContentLength > r.maxBody {
		return nil, ReasonTooLarge
	}
	if req.Body == nil || req.Body == http.NoBody {
		return &Body{}, ""
	}
	controller := http.NewResponseController(w)
	now := time.Now()
	ticket, reason := r.gate.Open(client, now, func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
	if reason != "" {
		return nil, reason
	}
	a := &arrival{
		Reader:     r,
		ticket:     ticket,
		controller: controller,
		source:     req.Body,
		length:     announcedLength(req),
		started:    now,
	}
	reason = a.receive()
	if reason == "" {
		reason = ticket.Complete(int64(len(a.data)), r.cost(a.data), time.Now())
	}
	if reason != "" {
		ticket.Release()
		return nil, reason
	}
	_ = controller.SetReadDeadline(time.Time{})
	return &Body{
		Data:   a.data,
		ticket: ticket,
	}, ""
}

// announcedLength returns the length of the body, or -1 if it is not known.
func announcedLength(req *http.Request) int64 {
	if req.ContentLength > 0 {
		return req.ContentLength
	}
	return -1
}

// Sizes of the buffer for a body.
const (
	// firstBuffer holds an ordinary body.
	firstBuffer = 8 << 10
	// growthFactor is how much larger the next buffer is.
	growthFactor = 2
)

// arrival is a body that is being received.
type arrival struct {
	*Reader
	ticket     *Ticket
	controller *http.ResponseController
	source     io.Reader
	// length is the announced length, or -1.
	length  int64
	started time.Time
	data    []byte
	// renewed is when the read deadline was set, and whole whether it is the one of
	// the whole body.
	renewed time.Time
	whole   bool
}

// receive reads the body into a buffer that grows with what has arrived.
func (a *arrival) receive() Reason {
	for {
		if len(a.data) == cap(a.data) {
			if reason := a.grow(); reason != "" {
				return reason
			}
		}
		if reason := a.renewDeadline(); reason != "" {
			return reason
		}
		n, err := a.source.Read(a.data[len(a.data):cap(a.data)])
		a.data = a.data[:len(a.data)+n]
		switch {
		case int64(len(a.data)) > a.maxBody:
			return ReasonTooLarge
		case errors.Is(err, io.EOF) || a.length >= 0 && int64(len(a.data)) == a.length:
			return ""
		case err != nil:
			return a.failure(err)
		}
	}
}

// grow reserves and allocates a larger buffer. One byte over the limit shows that a
// body is too large.
func (a *arrival) grow() Reason {
	size := max(firstBuffer, growthFactor*int64(cap(a.data)))
	limit := a.maxBody + 1
	if a.length >= 0 {
		limit = a.length
	}
	size = min(size, limit)
	if reason := a.ticket.Grow(size, time.Now()); reason != "" {
		return reason
	}
	larger := make([]byte, len(a.data), size)
	copy(larger, a.data)
	a.data = larger
	return ""
}

// renewDeadline sets the deadline of the next read, unless that was done lately.
func (a *arrival) renewDeadline() Reason {
	now := time.Now()
	if now.Sub(a.renewed) < a.timing.Stall/4 {
		return ""
	}
	a.renewed = now
	end := a.started.Add(a.timing.Body)
	if a.timing.Rate > 0 {
		end = end.Add(time.Duration(int64(len(a.data)) * int64(time.Second) / a.timing.Rate))
	}
	stall := now.Add(a.timing.Stall)
	a.whole = end.Before(stall)
	if a.whole {
		stall = end
	}
	if !now.Before(stall) {
		return ReasonTimeout
	}
	_ = a.controller.SetReadDeadline(stall)
	// An eviction sets its deadline after it has marked the request. One that came
	// before this deadline is found here.
	if a.ticket.IsEvicted() {
		return ReasonEvicted
	}
	return ""
}

// failure returns the reason for an error of a read.
func (a *arrival) failure(err error) Reason {
	switch {
	case a.ticket.IsEvicted():
		return ReasonEvicted
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return ReasonBroken
	case a.whole:
		return ReasonTimeout
	}
	return ReasonStalled
}

// WithBodyDeadline returns a handler that bounds the time in which the body of a
// request arrives, also if next does not read it: the server reads the rest of it
// before it sends the response.
func WithBodyDeadline(timing Timing, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timing.Body))
		}
		next.ServeHTTP(w, r)
	})
}
