package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/jasmineward/jasmineward/internal/intake"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// maxWait bounds the wait that a client may ask for.
const maxWait = 60 * time.Second

// baseHandler limits the concurrent requests of a listener and counts its
// responses by status.
type baseHandler struct {
	listener string
	backend  Backend
	limits   Limits
	reader   *intake.Reader
	inFlight chan struct{}
}

func newBaseHandler(listener string, backend Backend, limits Limits, opts []Option) *baseHandler {
	return &baseHandler{
		listener: listener,
		backend:  backend,
		limits:   limits,
		reader:   newOptions(opts).intake.orDefault(limits).newReader(listener, limits),
		inFlight: make(chan struct{}, limits.MaxRequests),
	}
}

// wrap returns a handler that applies the limits and counts the responses.
func (h *baseHandler) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &statusRecorder{
			ResponseWriter: w,
			status:         http.StatusOK,
		}
		select {
		case h.inFlight <- struct{}{}:
			defer func() { <-h.inFlight }()
			h.setBodyDeadline(w, r)
			next.ServeHTTP(recorder, r)
		default:
			fault := wire.NewFault(wire.CodeBusy, "too many requests are open")
			fault.RetryAfter = time.Second
			writeFault(recorder, fault)
		}
		status := strings.TrimSpace(http.StatusText(recorder.status))
		h.backend.Metrics().HTTPRequests.WithLabelValues(h.listener, status).Inc()
	})
}

// setBodyDeadline sets the deadline for receiving the body. It applies whether or
// not the handler reads the body, because the server reads the rest of it after
// writing the response. A request without a body gets no read deadline, as its
// response may take longer.
func (h *baseHandler) setBodyDeadline(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.limits.BodyTimeout))
	}
}

type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap makes the underlying writer available to http.ResponseController.
func (r *statusRecorder) Unwrap() http.ResponseWriter {
	return r.ResponseWriter
}

// decodeBody receives and decodes a body that must hold exactly one JSON value without
// unknown fields, within the size and time limits.
func (h *baseHandler) decodeBody(w http.ResponseWriter, r *http.Request, dst any) *wire.Fault {
	body, fault := h.receive(w, r, "")
	if fault != nil {
		return fault
	}
	defer body.Release()
	return decodeJSON(body.Data, dst)
}

func decodeJSON(data []byte, dst any) *wire.Fault {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(dst); err != nil {
		return wire.NewFault(wire.CodeBadRequest, "body: "+err.Error())
	}
	if decoder.More() {
		return wire.NewFault(wire.CodeBadRequest, "body: more than one JSON value")
	}
	return nil
}

// parseWait returns the value of the wait query parameter, or 0 if it is not set.
func parseWait(r *http.Request) (time.Duration, *wire.Fault) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, wire.NewFault(wire.CodeBadRequest, "wait: is not a duration from 0s to 60s")
	}
	return wait, nil
}

// bearerToken returns the bearer token of the Authorization header, or "".
func bearerToken(r *http.Request) string {
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
