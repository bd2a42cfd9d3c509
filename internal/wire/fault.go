// Package wire holds the messages that the instances of a cell call each
// other with, and the typed faults that come back.
package wire

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/note"
)

// Code names a kind of fault. It is part of the interface to callers.
type Code string

// Codes. Those up to CodeUncertain say nothing about the request itself, and
// the same request may be sent again.
const (
	CodeNotLeader   Code = "not-leader"
	CodeUnavailable Code = "unavailable"
	CodeStale       Code = "configuration-stale"
	CodeUncertain   Code = "uncertain"

	CodeBusy        Code = "busy"
	CodeQueueFull   Code = "queue-full"
	CodeOverload    Code = "overload"
	CodeBadRequest  Code = "bad-request"
	CodeKey         Code = "key-not-in-force"
	CodePermission  Code = "not-permitted"
	CodeNotFound    Code = "not-found"
	CodeReused      Code = "request-id-reused"
	CodeTooOld      Code = "request-id-too-old"
	CodeDeadline    Code = "past-deadline"
	CodeConflict    Code = "note-conflict"
	CodeGap         Code = "note-gap"
	CodeFaults      Code = "note-faults"
	CodeSession     Code = "session-gone"
	CodeSessionLive Code = "session-live"
	CodeMembership  Code = "membership-not-allowed"
	CodeInternal    Code = "internal"
)

// Fault is an error that crosses from one instance to another, and from
// there to the caller.
type Fault struct {
	Code   Code   `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint,omitempty"`
	// Leader is the address of the leader, where it is known.
	Leader string `cbor:"3,keyasint,omitempty"`
	// RetryAfter is when to try again; zero is not said.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Notes lists what is wrong with a release note.
	Notes []note.Fault `cbor:"5,keyasint,omitempty"`
	// InForce and Digest tell which release note is in force.
	InForce uint64 `cbor:"6,keyasint,omitempty"`
	Digest  string `cbor:"7,keyasint,omitempty"`
}

// Error returns the code with the detail.
func (f *Fault) Error() string {
	if f.Detail == "" {
		return string(f.Code)
	}
	return string(f.Code) + ": " + f.Detail
}

// Retryable tells whether the fault is about the cell and not the request.
func (f *Fault) Retryable() bool {
	switch f.Code {
	case CodeNotLeader, CodeUnavailable, CodeStale, CodeUncertain:
		return true
	}
	return false
}

// Newf returns a fault with the code and detail.
func Newf(code Code, detail string) *Fault {
	return &Fault{
		Code:   code,
		Detail: detail,
	}
}

// Reply is what a call returns: a fault, or a value.
type Reply[V any] struct {
	Fault *Fault `cbor:"1,keyasint,omitempty"`
	Value V      `cbor:"2,keyasint,omitempty"`
}
