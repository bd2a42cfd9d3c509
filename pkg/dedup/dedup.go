// Package dedup gives request ids whose age can be read from the id itself,
// and the window in which a retry under the same id is recognised.
//
// A request id is a UUID of version 7 (RFC 9562): its first 48 bits are the
// Unix time in milliseconds. A store that keeps each id until the window has
// passed can forget it afterwards, since any later retry is refused by its
// age instead of being run a second time.
package dedup

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Errors returned by Window.Check and Time.
var (
	ErrBadID  = errors.New("request id is not a version 7 UUID")
	ErrTooOld = errors.New("request id is older than the retry window")
	ErrAhead  = errors.New("request id lies in the future")
)

// Window bounds the age of the request ids that are taken.
type Window struct {
	// Past is how long after its own time an id is still taken.
	Past time.Duration
	// Ahead is how far an id may lie ahead of the receiver's clock.
	Ahead time.Duration
}

// NewID returns a fresh request id. It fails only when the system's random
// source does.
func NewID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "make request id")
	}
	return id.String(), nil
}

// Time returns the time held in a request id, or ErrBadID.
func Time(id string) (time.Time, error) {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != 7 || parsed.String() != id {
		return time.Time{}, ErrBadID
	}
	ms := int64(0)
	for _, b := range parsed[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}

// Check returns nil when the id may be taken at the given time, and
// otherwise ErrBadID, ErrTooOld or ErrAhead.
func (w Window) Check(id string, now time.Time) error {
	made, err := Time(id)
	if err != nil {
		return err
	}
	if made.Before(now.Add(-w.Past)) {
		return ErrTooOld
	}
	if made.After(now.Add(w.Ahead)) {
		return ErrAhead
	}
	return nil
}

// Forgettable tells whether an id may be forgotten at the given time: every
// later retry of it fails Check.
func (w Window) Forgettable(id string, now time.Time) bool {
	made, err := Time(id)
	if err != nil {
		return true
	}
	return made.Add(w.Past).Before(now)
}
