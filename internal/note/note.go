// Package note holds release notes: the versioned changes by which operators
// drive a cell, the checks made before one is accepted, and the
// configuration that the accepted notes add up to.
package note

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Op tells what a change does to the thing it names.
type Op string

// Operations of a change.
const (
	OpAdd      Op = "add"
	OpChange   Op = "change"
	OpWithdraw Op = "withdraw"
)

// Kind is the kind of work that a service takes.
type Kind string

// Kinds of work, each placed by its own policy.
const (
	KindService Kind = "service"
	KindBatch   Kind = "batch"
	KindGang    Kind = "gang"
)

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// MarshalText writes the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the duration as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "read duration")
	}
	*d = Duration(parsed)
	return nil
}

// Note is a release note.
type Note struct {
	// Number follows the number of the note in force.
	Number  uint64   `cbor:"1,keyasint"           json:"number"            toml:"number"`
	Comment string   `cbor:"2,keyasint,omitempty" json:"comment,omitempty" toml:"comment"`
	Changes []Change `cbor:"3,keyasint"           json:"changes"           toml:"changes"`
}

// Change is one change of a note. Exactly one of the things is set.
type Change struct {
	Op      Op       `cbor:"1,keyasint"           json:"op"                toml:"op"`
	Team    *Team    `cbor:"2,keyasint,omitempty" json:"team,omitempty"    toml:"team"`
	Service *Service `cbor:"3,keyasint,omitempty" json:"service,omitempty" toml:"service"`
	Key     *Key     `cbor:"4,keyasint,omitempty" json:"key,omitempty"     toml:"key"`
	Share   *Share   `cbor:"5,keyasint,omitempty" json:"share,omitempty"   toml:"share"`
	Limit   *Limit   `cbor:"6,keyasint,omitempty" json:"limit,omitempty"   toml:"limit"`
}

// Team is who work runs for. Its share weighs it against others when the
// fleet is full, and it never runs more than its limit.
type Team struct {
	Name  string     `cbor:"1,keyasint"           json:"name"            toml:"name"`
	Share float64    `cbor:"2,keyasint,omitempty" json:"share,omitempty" toml:"share"`
	Limit quota.Room `cbor:"3,keyasint,omitempty" json:"limit"           toml:"limit"`
}

// Service is a named queue that work is handed in to.
type Service struct {
	Name string `cbor:"1,keyasint" json:"name" toml:"name"`
	Team string `cbor:"2,keyasint" json:"team" toml:"team"`
	Kind Kind   `cbor:"3,keyasint" json:"kind" toml:"kind"`
	// Open lets anyone hand in work, which then runs for the team.
	Open bool `cbor:"4,keyasint,omitempty" json:"open,omitempty" toml:"open"`
	// Urgent work may take the room of preemptible work.
	Urgent bool `cbor:"5,keyasint,omitempty" json:"urgent,omitempty" toml:"urgent"`
	// Preemptible work may be checkpointed and stopped for urgent work.
	Preemptible bool `cbor:"6,keyasint,omitempty" json:"preemptible,omitempty" toml:"preemptible"`
	// MaxQueued bounds the jobs waiting in the queue; 0 takes the default.
	MaxQueued int `cbor:"7,keyasint,omitempty" json:"max-queued,omitempty" toml:"max-queued"`
	// StartWithin is the default time by which a job must have started.
	StartWithin Duration `cbor:"8,keyasint,omitempty" json:"start-within,omitempty" toml:"start-within"`
}

// Key is an API credential of a team. Only the digest of its secret is kept.
type Key struct {
	ID     string `cbor:"1,keyasint"           json:"id"               toml:"id"`
	Team   string `cbor:"2,keyasint,omitempty" json:"team,omitempty"   toml:"team"`
	Digest string `cbor:"3,keyasint,omitempty" json:"digest,omitempty" toml:"digest"`
	// StopRunning, on a withdrawn key, also stops its running work.
	StopRunning bool `cbor:"4,keyasint,omitempty" json:"stop-running,omitempty" toml:"stop-running"`
}

// Share sets the fair-share weight of a team.
type Share struct {
	Team   string  `cbor:"1,keyasint"           json:"team"   toml:"team"`
	Weight float64 `cbor:"2,keyasint,omitempty" json:"weight" toml:"weight"`
}

// Limit sets the upper limit of a team.
type Limit struct {
	Team string     `cbor:"1,keyasint"           json:"team" toml:"team"`
	Room quota.Room `cbor:"2,keyasint,omitempty" json:"room" toml:"room"`
}

// Digest returns the SHA-256 of the note's canonical encoding, in hex.
func (n Note) Digest() (string, error) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return "", errors.Wrap(err, "make note encoder")
	}
	data, err := mode.Marshal(n)
	if err != nil {
		return "", errors.Wrap(err, "encode note")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}
