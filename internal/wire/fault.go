// Package wire defines the RPC messages that the instances of a cell exchange,
// and the typed faults that calls return.
package wire

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/note"
)

// Code identifies a kind of fault. It is part of the public API.
type Code string

// Fault codes. The codes up to CodeUncertain are not caused by the request, which
// may be retried unchanged.
const (
	CodeNotLeader          Code = "not-leader"
	CodeUnavailable        Code = "unavailable"
	CodeStaleConfiguration Code = "configuration-stale"
	CodeUncertain          Code = "uncertain"

	CodeBusy            Code = "busy"
	CodeQueueFull       Code = "queue-full"
	CodeOverload        Code = "overload"
	CodeBadRequest      Code = "bad-request"
	CodeInvalidKey      Code = "key-not-in-force"
	CodePermission      Code = "not-permitted"
	CodeNotFound        Code = "not-found"
	CodeRequestIDReused Code = "request-id-reused"
	CodeRequestIDTooOld Code = "request-id-too-old"
	CodePastDeadline    Code = "past-deadline"
	CodeNoteConflict    Code = "note-conflict"
	CodeNoteGap         Code = "note-gap"
	CodeInvalidNote     Code = "note-faults"
	CodeSessionGone     Code = "session-gone"
	CodeSessionLive     Code = "session-live"
	CodeMembership      Code = "membership-not-allowed"
	CodeTooLarge        Code = "too-large"
	CodeInternal        Code = "internal"
)

// Fault is an error that is returned over RPC between instances and reported to
// HTTP clients.
type Fault struct {
	Code   Code   `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint,omitempty"`
	// Leader is the address of the leader, if it is known.
	Leader string `cbor:"3,keyasint,omitempty"`
	// RetryAfter is the suggested delay before a retry; zero means unspecified.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// NoteErrors lists the errors of a rejected release note.
	NoteErrors []note.Fault `cbor:"5,keyasint,omitempty"`
	// NoteInForce and Digest are the number and digest of the active release
	// note.
	NoteInForce uint64 `cbor:"6,keyasint,omitempty"`
	Digest      string `cbor:"7,keyasint,omitempty"`
}

// Error returns the code with the detail.
func (f *Fault) Error() string {
	if f.Detail == "" {
		return string(f.Code)
	}
	return string(f.Code) + ": " + f.Detail
}

// Retryable reports whether the fault is caused by the state of the cell and not
// by the request.
func (f *Fault) Retryable() bool {
	switch f.Code {
	case CodeNotLeader, CodeUnavailable, CodeStaleConfiguration, CodeUncertain:
		return true
	}
	return false
}

// NewFault returns a fault with the given code and detail.
func NewFault(code Code, detail string) *Fault {
	return &Fault{
		Code:   code,
		Detail: detail,
	}
}

// Reply is the result of an RPC: either a fault or a value.
type Reply[V any] struct {
	Fault *Fault `cbor:"1,keyasint,omitempty"`
	Value V      `cbor:"2,keyasint,omitempty"`
}
