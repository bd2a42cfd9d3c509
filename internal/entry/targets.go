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
	targetTimeout = 10 * time.Second
	maxEvents     = 1024
	maxKnown      = 8192
	maxNameLength = 128
)

// AnnounceRequest is the body by which a target announces itself.
type AnnounceRequest struct {
	Session  string     `json:"session"`
	Capacity quota.Room `json:"capacity"`
	Slots    int        `json:"slots"`
	Rack     string     `json:"rack"`
	Domain   string     `json:"domain"`
}

// PollRequest is the body of a target's poll.
type PollRequest struct {
	Session string        `json:"session"`
	Known   []wire.Known  `json:"known"`
	Wait    note.Duration `json:"wait"`
}

// PollResponse grants the lease and brings orders.
type PollResponse struct {
	// LeaseMillis counts in milliseconds from when the poll was sent.
	LeaseMillis int64            `json:"lease-ms"`
	Orders      []wire.Order     `json:"orders,omitempty"`
	Settled     []ledger.Attempt `json:"settled,omitempty"`
}

// ReportRequest is the body of a target's report.
type ReportRequest struct {
	Session string         `json:"session"`
	Events  []ledger.Event `json:"events"`
}

// ReportResponse tells that the events are kept for good.
type ReportResponse struct {
	Late int `json:"late"`
}

// LeaveRequest is the body by which a target leaves.
type LeaveRequest struct {
	Session string `json:"session"`
	Done    bool   `json:"done"`
}

// LeaveResponse tells what still runs.
type LeaveResponse struct {
	Running int `json:"running"`
}

type targets struct {
	*guard
}

// Targets returns the handler for targets. An empty token lets anyone who
// reaches the listener be a target.
func Targets(backend Backend, limits Limits, token string) http.Handler {
	t := &targets{guard: newGuard("targets", backend, limits)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/targets/{target}/announce", t.announce)
	mux.HandleFunc("POST /v1/targets/{target}/poll", t.poll)
	mux.HandleFunc("POST /v1/targets/{target}/report", t.report)
	mux.HandleFunc("POST /v1/targets/{target}/leave", t.leave)
	mux.HandleFunc("/", notFound)
	return t.wrap(withToken(token, mux))
}

// withToken lets requests through that show the token.
func withToken(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	wanted := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shown := sha256.Sum256([]byte(bearer(r)))
		if subtle.ConstantTimeCompare(wanted[:], shown[:]) != 1 {
			writeFault(w, wire.Newf(wire.CodeKey, "the token of this listener is needed"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (t *targets) announce(w http.ResponseWriter, r *http.Request) {
	var body AnnounceRequest
	if fault := t.readBody(w, r, &body); fault != nil {
		writeFault(w, fault)
		return
	}
	if fault := checkNames(r.PathValue("target"), body.Session, body.Rack, body.Domain); fault != nil {
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
	writePoll(w, reply, fault)
}

func checkNames(names ...string) *wire.Fault {
	for _, name := range names {
		if len(name) > maxNameLength {
			return wire.Newf(wire.CodeBadRequest, fmt.Sprintf("name of more than %d bytes", maxNameLength))
		}
	}
	return nil
}

func writePoll(w http.ResponseWriter, reply wire.PollReply, fault *wire.Fault) {
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

func (t *targets) poll(w http.ResponseWriter, r *http.Request) {
	var body PollRequest
	if fault := t.readBody(w, r, &body); fault != nil {
		writeFault(w, fault)
		return
	}
	if len(body.Known) > maxKnown || body.Wait < 0 {
		writeFault(w, wire.Newf(wire.CodeBadRequest, "too many known attempts, or a negative wait"))
		return
	}
	reply, fault := t.backend.Poll(r.Context(), wire.PollArgs{
		Target:  r.PathValue("target"),
		Session: body.Session,
		Known:   body.Known,
		Wait:    min(time.Duration(body.Wait), maxWait),
	})
	writePoll(w, reply, fault)
}

func (t *targets) report(w http.ResponseWriter, r *http.Request) {
	var body ReportRequest
	if fault := t.readBody(w, r, &body); fault != nil {
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
	writeJSON(w, http.StatusOK, ReportResponse{Late: reply.Late})
}

// checkEvents refuses a report whose answers are not whole.
func checkEvents(events []ledger.Event) *wire.Fault {
	if len(events) > maxEvents {
		return wire.Newf(wire.CodeBadRequest, fmt.Sprintf("more than %d events", maxEvents))
	}
	for i, event := range events {
		switch event.Kind {
		case ledger.EventHeld, ledger.EventStarted, ledger.EventStopped, ledger.EventFenced:
		case ledger.EventFinished:
			sum := sha256.Sum256(event.Output)
			if event.Checksum != hex.EncodeToString(sum[:]) {
				return wire.Newf(wire.CodeBadRequest, fmt.Sprintf("events[%d]: output and checksum differ", i))
			}
		default:
			return wire.Newf(wire.CodeBadRequest, fmt.Sprintf("events[%d]: unknown kind %q", i, event.Kind))
		}
		if len(event.Output) > ledger.DefaultBounds().MaxOutput {
			return wire.Newf(wire.CodeBadRequest, fmt.Sprintf("events[%d]: output is too large", i))
		}
	}
	return nil
}

func (t *targets) leave(w http.ResponseWriter, r *http.Request) {
	var body LeaveRequest
	if fault := t.readBody(w, r, &body); fault != nil {
		writeFault(w, fault)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), targetTimeout)
	defer cancel()
	reply, fault := t.backend.Leave(ctx, wire.LeaveArgs{
		Target:  r.PathValue("target"),
		Session: body.Session,
		Done:    body.Done,
	})
	if fault != nil {
		writeFault(w, fault)
		return
	}
	writeJSON(w, http.StatusOK, LeaveResponse{Running: reply.Running})
}
