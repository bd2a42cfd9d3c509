// Package trace holds recorded workloads and replays them against a policy
// and the ledger, with time taken from the trace.
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

// Epoch is the time at which every trace starts.
var Epoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// Header is the first line of a trace file.
type Header struct {
	Name string `json:"name"`
	// LengthMillis is how long work is handed in, in milliseconds.
	LengthMillis int64      `json:"length-ms"`
	Fleet        []Workers  `json:"fleet"`
	Teams        []Team     `json:"teams"`
	Services     []Service  `json:"services"`
	Headroom     float64    `json:"headroom"`
	Total        quota.Room `json:"total"`
}

// Workers is a number of like workers.
type Workers struct {
	Prefix   string     `json:"prefix"`
	Count    int        `json:"count"`
	Slots    int        `json:"slots"`
	RackSize int        `json:"rack-size"`
	Domains  []string   `json:"domains"`
	Room     quota.Room `json:"room"`
}

// Team is a team of the trace.
type Team struct {
	Name  string     `json:"name"`
	Share float64    `json:"share"`
	Limit quota.Room `json:"limit"`
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

// Job is one job of the trace: a line of the file, as an array.
type Job struct {
	At      int64
	Service int
	Tasks   int
	Room    quota.Room
	// Run is the true run time, Declared what was declared; milliseconds.
	Run      int64
	Declared int64
}

// Trace is a recorded workload.
type Trace struct {
	Header
	Jobs []Job
}

// MarshalJSON writes the job as an array.
func (j Job) MarshalJSON() ([]byte, error) {
	return json.Marshal([8]int64{
		j.At, int64(j.Service), int64(j.Tasks),
		int64(j.Room.CPU), int64(j.Room.Memory), j.Room.Accelerators, j.Run, j.Declared,
	})
}

// UnmarshalJSON reads the job from an array.
func (j *Job) UnmarshalJSON(data []byte) error {
	var v [8]int64
	if err := json.Unmarshal(data, &v); err != nil {
		return errors.Wrap(err, "read job")
	}
	*j = Job{
		At:      v[0],
		Service: int(v[1]),
		Tasks:   int(v[2]),
		Room: quota.Room{
			CPU:          quota.MilliCPU(v[3]),
			Memory:       quota.MiB(v[4]),
			Accelerators: v[5],
		},
		Run:      v[6],
		Declared: v[7],
	}
	return nil
}

// Encode returns the trace as the content of a file.
func (t Trace) Encode() ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	if err := encoder.Encode(t.Header); err != nil {
		return nil, errors.Wrap(err, "write header")
	}
	for _, j := range t.Jobs {
		if err := encoder.Encode(j); err != nil {
			return nil, errors.Wrap(err, "write job")
		}
	}
	return out.Bytes(), nil
}

// Read reads a trace file.
func Read(path string) (Trace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Trace{}, errors.Wrap(err, "read trace")
	}
	return Decode(data)
}

// Decode reads the content of a trace file.
func Decode(data []byte) (Trace, error) {
	var t Trace
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, 1<<20)
	if !scanner.Scan() {
		return t, errors.New("trace is empty")
	}
	if err := json.Unmarshal(scanner.Bytes(), &t.Header); err != nil {
		return t, errors.Wrap(err, "read header")
	}
	for scanner.Scan() {
		var j Job
		if err := json.Unmarshal(scanner.Bytes(), &j); err != nil {
			return t, err
		}
		if j.Service < 0 || j.Service >= len(t.Services) || j.Tasks < 1 || j.Run < 0 {
			return t, errors.Errorf("job %d is malformed", len(t.Jobs))
		}
		t.Jobs = append(t.Jobs, j)
	}
	if err := scanner.Err(); err != nil {
		return t, errors.Wrap(err, "read trace")
	}
	return t, nil
}
