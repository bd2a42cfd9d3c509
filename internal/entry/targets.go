package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

const (
	// targetTimeout bounds the handling of a target's request, except a poll.
	targetTimeout = 10 * time.Second
	// maxEvents bounds the events of one report, and maxKnownAttempts the
	// attempts of one poll.
	maxEvents        = 1024
	maxKnownAttempts = 8192
	// maxNameLength is in bytes.
	maxNameLength = 128
)

// AnnounceRequest is the request body with which a target opens a session.
type AnnounceRequest struct {
	Session  string          `json:"session"`
	Capacity quota.Resources `json:"capacity"`
	Slots    int             `json:"slots"`
	Rack     string          `json:"rack"`
	Domain   string          `json:"domain"`
}

// PollRequest is the request body of a target's poll.
type PollRequest struct {
	Session  string               `json:"session"`
	Attempts []wire.AttemptStatus `json:"known"`
	Wait     note.Duration        `json:"wait"`
}

// PollResponse renews the target's lease and delivers orders.
type PollResponse struct {
	// LeaseMillis is the lease duration in milliseconds, counted from the time
	// at which the target sent the poll.
	LeaseMillis int64        `json:"lease-ms"`
	Orders      []wire.Order `json:"orders,omitempty"`
	// Settled lists the attempts of the poll that the session no longer owns.
	// The target may forget them.
	Settled []ledger.Attempt `json:"settled,omitempty"`
}

// ReportRequest is the request body with which a target reports events.
type ReportRequest struct {
	Session string         `json:"session"`
	Events  []ledger.Event `json:"events"`
}

// ReportResponse acknowledges that the events are stored durably.
type ReportResponse struct {
	// Late counts the events of attempts that the session no longer owns.
	Late int `json:"late"`
}

// LeaveRequest is the request body with which a target leaves.
type LeaveRequest struct {
	Session string `json:"session"`
	// EndSession ends the session of a target on which nothing runs.
	EndSession bool `json:"done"`
}

// LeaveResponse holds the number of tasks that still run on the target.
type LeaveResponse struct {
	Running int `json:"running"`
}

type targetsHandler struct {
	*baseHandler
}

// NewTargetsHandler returns the handler of the targets' API. If the token is
// empty, targets are not authenticated.
func NewTargetsHandler(backend Backend, limits Limits, token string, opts ...Option) http.Handler {
	t := &targetsHandler{baseHandler: newBaseHandler("targets", backend, limits, opts)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/targets/{target}/announce", t.announce)
	mux.HandleFunc("POST /v1/targets/{target}/poll", t.poll)
	mux.HandleFunc("POST /v1/targets/{target}/report", t.report)
	mux.HandleFunc("POST /v1/targets/{target}/leave", t.leave)
	mux.HandleFunc("/", notFound)
	return t.wrap(requireToken(token, mux))
}

// requireToken rejects requests that do not carry the token. An empty token
// disables the check.
func requireToken(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(bearerToken(r)))
		if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			writeFault(w, wire.NewFault(wire.CodeInvalidKey, "the token of this listener is needed"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (t *targetsHandler) announce(w http.ResponseWriter, r *http.Request) {
	var body AnnounceRequest
	if fault := t.decodeBody(w, r, &body); fault != nil {
		writeFault(w, fault)
		return
	}
	if fault := checkNameLengths(r.PathValue("target"), body.Session, body.Rack, body.Domain); fault != nil {
		writeFault(w, fault)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), targetTimeout)
	defer cancel()
	reply, fault := t.backend.Announce(ctx, wire.AnnounceArgs{Announce: ledger.Announce{
		Target:   r.PathValue("target"),
		Session:  body.Session,
		Capacity: body.Capacity,
		Slots:    body.Slots,
		Rack:     body.Rack,
		Domain:   body.Domain,
	}})
	writePollResponse(w, reply, fault)
}

func checkNameLengths(names ...string) *wire.Fault {
	for _, name := range names {
		if len(name) > maxNameLength {
			return wire.NewFault(wire.CodeBadRequest, fmt.Sprintf("name of more than %d bytes", maxNameLength))
		}
	}
	return nil
}

func writePollResponse(w http.ResponseWriter, reply wire.PollReply, fault *wire.Fault) {
	if fault != nil {
		writeFault(w, fault)
		return
	}
	writeJSON(w, http.StatusOK, PollResponse{
		LeaseMillis: reply.TTL.Milliseconds(),
		Orders:      reply.Orders,
		Settled:     reply.Settled,
	})
}

func (t *targetsHandler) poll(w http.ResponseWriter, r *http.Request) {
	var body PollRequest
	if fault := t.decodeBody(w, r, &body); fault != nil {
		writeFault(w, fault)
		return
	}
	if len(body.Attempts) > maxKnownAttempts || body.Wait < 0 {
		writeFault(w, wire.NewFault(wire.CodeBadRequest, "too many known attempts, or a negative wait"))
		return
	}
	reply, fault := t.backend.Poll(r.Context(), wire.PollArgs{
		Target:   r.PathValue("target"),
		Session:  body.Session,
		Attempts: body.Attempts,
		Wait:     min(time.Duration(body.Wait), maxWait),
	})
	writePollResponse(w, reply, fault)
}

func (t *targetsHandler) report(w http.ResponseWriter, r *http.Request) {
	var body ReportRequest
	if fault := t.decodeBody(w, r, &body); fault != nil {
		writeFault(w, fault)
		return
	}
	if fault := checkEvents(body.Events); fault != nil {
		writeFault(w, fault)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), targetTimeout)
	defer cancel()
	reply, fault := t.backend.Report(ctx, wire.ReportArgs{Report: ledger.Report{
		Target:  r.PathValue("target"),
		Session: body.Session,
		Events:  body.Events,
	}})
	if fault != nil {
		writeFault(w, fault)
		return
	}
	writeJSON(w, http.StatusOK, ReportResponse{Late: reply.StaleEvents})
}

// checkEvents rejects too many events, events of an unknown kind, and output that
// is corrupt or too large.
func checkEvents(events []ledger.Event) *wire.Fault {
	if len(events) > maxEvents {
		return wire.NewFault(wire.CodeBadRequest, fmt.Sprintf("more than %d events", maxEvents))
	}
	for i, event := range events {
		switch event.Kind {
		case ledger.EventHeld, ledger.EventStarted, ledger.EventStopped, ledger.EventFenced:
		case ledger.EventFinished:
			sum := sha256.Sum256(event.Output)
			if event.Checksum != hex.EncodeToString(sum[:]) {
				return wire.NewFault(wire.CodeBadRequest, fmt.Sprintf("events[%d]: output and checksum differ", i))
			}
		default:
			return wire.NewFault(wire.CodeBadRequest, fmt.Sprintf("events[%d]: unknown kind %q", i, event.Kind))
		}
		if len(event.Output) > ledger.DefaultLimits().MaxOutput {
			return wire.NewFault(wire.CodeBadRequest, fmt.Sprintf("events[%d]: output is too large", i))
		}
	}
	return nil
}

func (t *targetsHandler) leave(w http.ResponseWriter, r *http.Request) {
	var body LeaveRequest
	if fault := t.decodeBody(w, r, &body); fault != nil {
		writeFault(w, fault)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), targetTimeout)
	defer cancel()
	reply, fault := t.backend.Leave(ctx, wire.LeaveArgs{
		Target:     r.PathValue("target"),
		Session:    body.Session,
		EndSession: body.EndSession,
	})
	if fault != nil {
		writeFault(w, fault)
		return
	}
	writeJSON(w, http.StatusOK, LeaveResponse{Running: reply.Running})
}
