package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
)

const problemType = "application/problem+json"

// problem is the body of an RFC 9457 problem response.
type problem struct {
	Type       string       `json:"type"`
	Title      string       `json:"title"`
	Status     int          `json:"status"`
	Code       wire.Code    `json:"code"`
	Detail     string       `json:"detail,omitempty"`
	Faults     []note.Fault `json:"faults,omitempty"`
	ActiveNote uint64       `json:"note-in-force,omitempty"`
	Digest     string       `json:"note-digest,omitempty"`
	// RetryAfter is in milliseconds, because the Retry-After header is limited
	// to whole seconds.
	RetryAfter int64 `json:"retry-after-ms,omitempty"`
}

// httpStatus maps a fault code to an HTTP status.
func httpStatus(code wire.Code) int {
	switch code {
	case wire.CodeBadRequest, wire.CodeRequestIDTooOld, wire.CodePastDeadline:
		return http.StatusBadRequest
	case wire.CodeInvalidKey:
		return http.StatusUnauthorized
	case wire.CodePermission:
		return http.StatusForbidden
	case wire.CodeNotFound:
		return http.StatusNotFound
	case wire.CodeRequestIDReused, wire.CodeNoteConflict, wire.CodeNoteGap, wire.CodeSessionLive, wire.CodeMembership:
		return http.StatusConflict
	case wire.CodeSessionGone:
		return http.StatusGone
	case wire.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case wire.CodeInvalidNote:
		return http.StatusUnprocessableEntity
	case wire.CodeQueueFull, wire.CodeOverload, wire.CodeBusy:
		return http.StatusTooManyRequests
	case wire.CodeInternal:
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}

func writeFault(w http.ResponseWriter, fault *wire.Fault) {
	status := httpStatus(fault.Code)
	if fault.Code == wire.CodeInvalidKey {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if fault.RetryAfter > 0 {
		seconds := int64((fault.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeProblem(w, problem{
		Type:       "about:blank",
		Title:      http.StatusText(status),
		Status:     status,
		Code:       fault.Code,
		Detail:     fault.Detail,
		Faults:     fault.NoteErrors,
		ActiveNote: fault.NoteInForce,
		Digest:     fault.Digest,
		RetryAfter: fault.RetryAfter.Milliseconds(),
	})
}

func writeProblem(w http.ResponseWriter, p problem) {
	w.Header().Set("Content-Type", problemType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		writeFault(w, wire.NewFault(wire.CodeInternal, err.Error()))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
