// Package trace generates workload traces and replays them in simulated time
// against a scheduling policy and the ledger.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Epoch is the start time of every trace.
var Epoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// Header is the first line of a trace file.
type Header struct {
	Name string `json:"name"`
	// DurationMillis is the period in which jobs are submitted, in
	// milliseconds.
	DurationMillis int64           `json:"length-ms"`
	Fleet          []WorkerGroup   `json:"fleet"`
	Teams          []Team          `json:"teams"`
	Services       []Service       `json:"services"`
	Headroom       float64         `json:"headroom"`
	Total          quota.Resources `json:"total"`
}

// WorkerGroup is a number of identical workers.
type WorkerGroup struct {
	Prefix    string          `json:"prefix"`
	Count     int             `json:"count"`
	Slots     int             `json:"slots"`
	RackSize  int             `json:"rack-size"`
	Domains   []string        `json:"domains"`
	Resources quota.Resources `json:"room"`
}

// Team is a team of the trace.
type Team struct {
	Name  string          `json:"name"`
	Share float64         `json:"share"`
	Limit quota.Resources `json:"limit"`
}

// Service is a service of the trace.
type Service struct {
	Name        string    `json:"name"`
	Team        string    `json:"team"`
	Kind        note.Kind `json:"kind"`
	Urgent      bool      `json:"urgent,omitempty"`
	Preemptible bool      `json:"preemptible,omitempty"`
	Idempotent  bool      `json:"idempotent,omitempty"`
}

// Job is one job of the trace. A trace file has one job per line, encoded as an
// array.
type Job struct {
	SubmitMillis int64
	// Service is an index into the services of the trace.
	Service   int
	Tasks     int
	Resources quota.Resources
	// RunMillis is the actual run time and DeclaredRunMillis the declared
	// one, in milliseconds.
	RunMillis         int64
	DeclaredRunMillis int64
}

// Trace is a workload: a fleet, its teams and services, and the jobs in the
// order of submission.
type Trace struct {
	Header
	Jobs []Job
}

// MarshalJSON encodes the job as an array.
func (j Job) MarshalJSON() ([]byte, error) {
	return json.Marshal([8]int64{
		j.SubmitMillis, int64(j.Service), int64(j.Tasks),
		int64(j.Resources.CPU), int64(j.Resources.Memory), j.Resources.Accelerators, j.RunMillis, j.DeclaredRunMillis,
	})
}

// UnmarshalJSON decodes the job from an array.
func (j *Job) UnmarshalJSON(data []byte) error {
	var values [8]int64
	if err := json.Unmarshal(data, &values); err != nil {
		return errors.Wrap(err, "decode job")
	}
	*j = Job{
		SubmitMillis: values[0],
		Service:      int(values[1]),
		Tasks:        int(values[2]),
		Resources: quota.Resources{
			CPU:          quota.MilliCPU(values[3]),
			Memory:       quota.MiB(values[4]),
			Accelerators: values[5],
		},
		RunMillis:         values[6],
		DeclaredRunMillis: values[7],
	}
	return nil
}

// Encode returns the trace in the format of a trace file.
func (t Trace) Encode() ([]byte, error) {
	var encoded bytes.Buffer
	encoder := json.NewEncoder(&encoded)
	if err := encoder.Encode(t.Header); err != nil {
		return nil, errors.Wrap(err, "encode header")
	}
	for _, j := range t.Jobs {
		if err := encoder.Encode(j); err != nil {
			return nil, errors.Wrap(err, "encode job")
		}
	}
	return encoded.Bytes(), nil
}

// Read reads a trace file.
func Read(path string) (Trace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Trace{}, errors.Wrap(err, "read trace")
	}
	return Decode(data)
}

// Decode parses the content of a trace file.
func Decode(data []byte) (Trace, error) {
	var t Trace
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, 1<<20)
	if !scanner.Scan() {
		return t, errors.New("trace file is empty")
	}
	if err := json.Unmarshal(scanner.Bytes(), &t.Header); err != nil {
		return t, errors.Wrap(err, "decode header")
	}
	for scanner.Scan() {
		var j Job
		if err := json.Unmarshal(scanner.Bytes(), &j); err != nil {
			return t, err
		}
		if j.Service < 0 || j.Service >= len(t.Services) || j.Tasks < 1 || j.RunMillis < 0 {
			return t, errors.Errorf("job %d has an invalid service, task count or run time", len(t.Jobs))
		}
		t.Jobs = append(t.Jobs, j)
	}
	if err := scanner.Err(); err != nil {
		return t, errors.Wrap(err, "read trace")
	}
	return t, nil
}
