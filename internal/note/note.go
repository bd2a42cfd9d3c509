// Package note implements release notes, the numbered sets of configuration
// changes that operators submit to a cluster. It validates notes and computes
// the configuration that results from applying them in order.
package note

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Op is the operation of a change.
type Op string

// Operations of a change.
const (
	OpAdd      Op = "add"
	OpChange   Op = "change"
	OpWithdraw Op = "withdraw"
)

// Kind is the kind of workload that a service accepts.
type Kind string

// Workload kinds. Each has its own placement policy.
const (
	KindService Kind = "service"
	KindBatch   Kind = "batch"
	KindGang    Kind = "gang"
)

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalText formats the duration like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the duration with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "read duration")
	}
	*d = Duration(parsed)
	return nil
}

// Note is a release note: a numbered set of configuration changes that is
// applied as a whole or not at all.
type Note struct {
	// Number is one more than the number of the last applied note.
	Number  uint64   `cbor:"1,keyasint"           json:"number"            toml:"number"`
	Comment string   `cbor:"2,keyasint,omitempty" json:"comment,omitempty" toml:"comment"`
	Changes []Change `cbor:"3,keyasint"           json:"changes"           toml:"changes"`
}

// Change is one change of a note. Exactly one of the pointers is set.
type Change struct {
	Op      Op       `cbor:"1,keyasint"           json:"op"                toml:"op"`
	Team    *Team    `cbor:"2,keyasint,omitempty" json:"team,omitempty"    toml:"team"`
	Service *Service `cbor:"3,keyasint,omitempty" json:"service,omitempty" toml:"service"`
	Key     *Key     `cbor:"4,keyasint,omitempty" json:"key,omitempty"     toml:"key"`
	Share   *Share   `cbor:"5,keyasint,omitempty" json:"share,omitempty"   toml:"share"`
	Limit   *Limit   `cbor:"6,keyasint,omitempty" json:"limit,omitempty"   toml:"limit"`
}

// Team is the owner of jobs. Share is its fair-share weight, by which teams
// are compared when the cluster is full. Limit bounds the resources of its
// running tasks.
type Team struct {
	Name  string          `cbor:"1,keyasint"           json:"name"            toml:"name"`
	Share float64         `cbor:"2,keyasint,omitempty" json:"share,omitempty" toml:"share"`
	Limit quota.Resources `cbor:"3,keyasint,omitempty" json:"limit"           toml:"limit"`
}

// Service is a named queue that jobs are submitted to.
type Service struct {
	Name string `cbor:"1,keyasint" json:"name" toml:"name"`
	Team string `cbor:"2,keyasint" json:"team" toml:"team"`
	Kind Kind   `cbor:"3,keyasint" json:"kind" toml:"kind"`
	// Open accepts jobs from any caller and charges them to the team.
	Open bool `cbor:"4,keyasint,omitempty" json:"open,omitempty" toml:"open"`
	// Urgent jobs may preempt preemptible ones.
	Urgent bool `cbor:"5,keyasint,omitempty" json:"urgent,omitempty" toml:"urgent"`
	// Preemptible jobs may be checkpointed and stopped to make room for
	// urgent ones.
	Preemptible bool `cbor:"6,keyasint,omitempty" json:"preemptible,omitempty" toml:"preemptible"`
	// MaxQueued bounds the jobs waiting in the queue; 0 means the default.
	MaxQueued int `cbor:"7,keyasint,omitempty" json:"max-queued,omitempty" toml:"max-queued"`
	// StartWithin is the default limit on the time between the admission of
	// a job and its start; 0 means no limit.
	StartWithin Duration `cbor:"8,keyasint,omitempty" json:"start-within,omitempty" toml:"start-within"`
}

// Key is an API key of a team. Only a digest of its secret is stored.
type Key struct {
	ID     string `cbor:"1,keyasint"           json:"id"               toml:"id"`
	Team   string `cbor:"2,keyasint,omitempty" json:"team,omitempty"   toml:"team"`
	Digest string `cbor:"3,keyasint,omitempty" json:"digest,omitempty" toml:"digest"`
	// StopRunning, valid only when a key is withdrawn, also stops the running
	// tasks of the jobs submitted with it.
	StopRunning bool `cbor:"4,keyasint,omitempty" json:"stop-running,omitempty" toml:"stop-running"`
}

// Share sets the fair-share weight of a team.
type Share struct {
	Team   string  `cbor:"1,keyasint"           json:"team"   toml:"team"`
	Weight float64 `cbor:"2,keyasint,omitempty" json:"weight" toml:"weight"`
}

// Limit sets the resource limit of a team.
type Limit struct {
	Team string          `cbor:"1,keyasint"           json:"team" toml:"team"`
	Room quota.Resources `cbor:"2,keyasint,omitempty" json:"room" toml:"room"`
}

// Digest returns the SHA-256 of the note's deterministic CBOR encoding, in
// hex.
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
