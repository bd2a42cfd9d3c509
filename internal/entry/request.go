package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/wire"
)

const maxWait = 60 * time.Second

// guard bounds the requests that are open at once and counts the answers.
type guard struct {
	listener string
	backend  Backend
	limits   Limits
	open     chan struct{}
}

func newGuard(listener string, backend Backend, limits Limits) *guard {
	return &guard{
		listener: listener,
		backend:  backend,
		limits:   limits,
		open:     make(chan struct{}, limits.Requests),
	}
}

func (g *guard) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &statusRecorder{
			ResponseWriter: w,
			status:         http.StatusOK,
		}
		select {
		case g.open <- struct{}{}:
			defer func() { <-g.open }()
			g.boundBody(w, r)
			r.Body = http.MaxBytesReader(recorder, r.Body, g.limits.BodyBytes)
			next.ServeHTTP(recorder, r)
		default:
			fault := wire.Newf(wire.CodeBusy, "too many requests are open")
			fault.RetryAfter = time.Second
			writeFault(recorder, fault)
		}
		status := strings.TrimSpace(http.StatusText(recorder.status))
		g.backend.Meter().Requests.WithLabelValues(g.listener, status).Inc()
	})
}

// boundBody sets the time by which a body must have come, whether it is read
// or not: what is left of it is read when the answer has been written. A
// request without a body may wait for its answer beyond that.
func (g *guard) boundBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.limits.Body))
	}
}

type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader notes the status.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController the connection.
func (r *statusRecorder) Unwrap() http.ResponseWriter {
	return r.ResponseWriter
}

// readBody reads a whole JSON body of known fields within the limits.
func (g *guard) readBody(w http.ResponseWriter, r *http.Request, into any) *wire.Fault {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.Header().Set("Connection", "close")
		return bodyFault(err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return wire.Newf(wire.CodeBadRequest, "body: "+err.Error())
	}
	if decoder.More() {
		return wire.Newf(wire.CodeBadRequest, "body: more than one JSON value")
	}
	return nil
}

func bodyFault(err error) *wire.Fault {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return wire.Newf(wire.CodeBadRequest, "body: larger than the limit")
	}
	return wire.Newf(wire.CodeBadRequest, "body: not received whole in time")
}

// waitOf reads the wait parameter, which defaults to none.
func waitOf(r *http.Request) (time.Duration, *wire.Fault) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, wire.Newf(wire.CodeBadRequest, "wait: is not a duration from 0s to 60s")
	}
	return wait, nil
}

// bearer returns the credential of the Authorization header, or "".
func bearer(r *http.Request) string {
	scheme, credential, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(credential)
}
