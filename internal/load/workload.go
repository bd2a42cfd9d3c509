// Package load drives a cell with a workload over real HTTP, with stand-in
// targets, and reports what callers were told and what targets saw.
package load

import (
	"bytes"
	_ "embed"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/jasmineward/jasmineward/internal/fake"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

//go:embed sample-note.toml
var sampleNote []byte

//go:embed sample-workload.toml
var sampleWorkload []byte

// Workload is a fleet and the jobs handed in to it.
type Workload struct {
	Fleet []FleetGroup `toml:"fleet"`
	Jobs  []JobGroup   `toml:"jobs"`
}

// FleetGroup is a number of like workers.
type FleetGroup struct {
	Prefix   string     `toml:"prefix"`
	Workers  int        `toml:"workers"`
	Slots    int        `toml:"slots"`
	RackSize int        `toml:"rack-size"`
	Domains  []string   `toml:"domains"`
	Room     quota.Room `toml:"room"`
}

// JobGroup is a number of like jobs, handed in one after the other.
type JobGroup struct {
	Service    string        `toml:"service"`
	Jobs       int           `toml:"jobs"`
	At         note.Duration `toml:"at"`
	Every      note.Duration `toml:"every"`
	Tasks      int           `toml:"tasks"`
	Idempotent bool          `toml:"idempotent"`
	RunTime    note.Duration `toml:"run-time"`
	// StartWithin is when a job is no longer worth starting; zero is never.
	StartWithin note.Duration `toml:"start-within"`
	Forever     bool          `toml:"forever"`
	// CancelAt is when jobs still going are cancelled; zero is never.
	CancelAt note.Duration `toml:"cancel-at"`
	Room     quota.Room    `toml:"room"`
	// Expect lists the outcomes that are right.
	Expect []string `toml:"expect"`
}

// SampleNote returns the release note of the sample workload.
func SampleNote() (note.Note, error) {
	var n note.Note
	err := decode(sampleNote, &n)
	return n, err
}

// SampleWorkload returns the workload that comes with the program.
func SampleWorkload() (Workload, error) {
	var w Workload
	err := decode(sampleWorkload, &w)
	return w, err
}

// ReadWorkload reads a workload from a file.
func ReadWorkload(path string) (Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, errors.Wrap(err, "read workload")
	}
	var w Workload
	err = decode(data, &w)
	return w, err
}

func decode(data []byte, into any) error {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}

// Targets returns the stand-in targets of the fleet.
func (w Workload) Targets() []fake.TargetConfig {
	var targets []fake.TargetConfig
	for _, group := range w.Fleet {
		for i := range group.Workers {
			domain := group.Domains[i%len(group.Domains)]
			rack := i / len(group.Domains) / max(group.RackSize, 1)
			targets = append(targets, fake.TargetConfig{
				ID:       fmt.Sprintf("%s-%d", group.Prefix, i+1),
				Domain:   domain,
				Rack:     fmt.Sprintf("%s-%s-%d", group.Prefix, domain, rack+1),
				Capacity: group.Room,
				Slots:    group.Slots,
			})
		}
	}
	return targets
}

// Total returns the room of the whole fleet.
func (w Workload) Total() quota.Room {
	var total quota.Room
	for _, group := range w.Fleet {
		total = total.Add(group.Room.Times(group.Workers))
	}
	return total
}

// planned is one job with the time at which it is handed in.
type planned struct {
	group JobGroup
	at    time.Duration
}

// plan returns every job in the order of time.
func (w Workload) plan() []planned {
	var all []planned
	for _, group := range w.Jobs {
		for i := range group.Jobs {
			all = append(all, planned{
				group: group,
				at:    time.Duration(group.At) + time.Duration(i)*time.Duration(group.Every),
			})
		}
	}
	return all
}
