// Package dedup provides time-ordered request ids and the window in which a
// retry with the same id can be deduplicated.
//
// A request id is a version 7 UUID (RFC 9562), whose first 48 bits are the Unix
// time in milliseconds. A store keeps each id until its window has passed and
// can then delete it, because a later retry is rejected by its age and cannot
// be executed a second time.
package dedup

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Errors returned by Window.Check and Time.
var (
	ErrInvalidID = errors.New("request id is not a version 7 UUID")
	ErrTooOld    = errors.New("request id is older than the retry window")
	ErrInFuture  = errors.New("request id timestamp is in the future")
)

// Window limits the age of accepted request ids.
type Window struct {
	// MaxAge is the maximum age of an id.
	MaxAge time.Duration
	// MaxClockSkew is the maximum time by which an id may lie ahead of the
	// receiver's clock.
	MaxClockSkew time.Duration
}

// NewID returns a new request id. It fails only if the system's random source
// fails.
func NewID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "generate request id")
	}
	return id.String(), nil
}

// Time returns the timestamp of a request id, or ErrInvalidID.
func Time(id string) (time.Time, error) {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != 7 || parsed.String() != id {
		return time.Time{}, ErrInvalidID
	}
	millis := int64(0)
	for _, b := range parsed[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), nil
}

// Check returns nil if the id is acceptable at time now, and ErrInvalidID,
// ErrTooOld or ErrInFuture otherwise.
func (w Window) Check(id string, now time.Time) error {
	created, err := Time(id)
	if err != nil {
		return err
	}
	if created.Before(now.Add(-w.MaxAge)) {
		return ErrTooOld
	}
	if created.After(now.Add(w.MaxClockSkew)) {
		return ErrInFuture
	}
	return nil
}

// IsExpired reports whether an id can be deleted at time now, because Check
// rejects every later retry that uses it.
func (w Window) IsExpired(id string, now time.Time) bool {
	created, err := Time(id)
	if err != nil {
		return true
	}
	return created.Add(w.MaxAge).Before(now)
}
