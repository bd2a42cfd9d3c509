// Package load runs a workload on a cell over real HTTP with simulated targets.
// It reports the answers that callers received and what the targets ran.
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

// Workload is a fleet of targets and the jobs submitted to it.
type Workload struct {
	Fleet []FleetGroup `toml:"fleet"`
	Jobs  []JobGroup   `toml:"jobs"`
}

// FleetGroup is a group of identical workers.
type FleetGroup struct {
	Prefix    string          `toml:"prefix"`
	Workers   int             `toml:"workers"`
	Slots     int             `toml:"slots"`
	RackSize  int             `toml:"rack-size"`
	Domains   []string        `toml:"domains"`
	Resources quota.Resources `toml:"room"`
}

// JobGroup is a group of identical jobs, submitted at a fixed interval.
type JobGroup struct {
	Service    string        `toml:"service"`
	Jobs       int           `toml:"jobs"`
	FirstAt    note.Duration `toml:"at"`
	Interval   note.Duration `toml:"every"`
	Tasks      int           `toml:"tasks"`
	Idempotent bool          `toml:"idempotent"`
	RunTime    note.Duration `toml:"run-time"`
	// StartWithin is the time after which a job is no longer worth starting. Zero
	// means no limit.
	StartWithin note.Duration `toml:"start-within"`
	Forever     bool          `toml:"forever"`
	// CancelAt is the time since the start of the run at which jobs are
	// cancelled. Zero means never.
	CancelAt  note.Duration   `toml:"cancel-at"`
	Resources quota.Resources `toml:"room"`
	// Expect lists the valid outcomes. If it is empty, all are valid.
	Expect []string `toml:"expect"`
}

// SampleNote returns the release note of the sample workload.
func SampleNote() (note.Note, error) {
	var n note.Note
	err := decode(sampleNote, &n)
	return n, err
}

// SampleWorkload returns the workload that is embedded in the program.
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
		return errors.Wrap(err, "decode TOML")
	}
	return nil
}

// Targets returns the configurations of the fleet's simulated targets.
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
				Capacity: group.Resources,
				Slots:    group.Slots,
			})
		}
	}
	return targets
}

// TotalResources returns the resources of the whole fleet.
func (w Workload) TotalResources() quota.Resources {
	var total quota.Resources
	for _, group := range w.Fleet {
		total = total.Add(group.Resources.Times(group.Workers))
	}
	return total
}

// scheduledJob is one job and its submission time, relative to the start of the
// run.
type scheduledJob struct {
	group  JobGroup
	offset time.Duration
}

// schedule returns all jobs, group by group.
func (w Workload) schedule() []scheduledJob {
	var jobs []scheduledJob
	for _, group := range w.Jobs {
		for i := range group.Jobs {
			jobs = append(jobs, scheduledJob{
				group:  group,
				offset: time.Duration(group.FirstAt) + time.Duration(i)*time.Duration(group.Interval),
			})
		}
	}
	return jobs
}
