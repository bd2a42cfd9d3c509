package ledger

import (
	"math"
	"sort"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/note"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

// ErrVersion is returned for a snapshot of an unsupported version.
var ErrVersion = errors.New("ledger snapshot has an unknown version")

type snapshot struct {
	Version     int         `cbor:"1,keyasint"`
	Now         Millis      `cbor:"2,keyasint"`
	LastJobID   JobID       `cbor:"3,keyasint"`
	Config      *note.State `cbor:"4,keyasint"`
	Jobs        []*Job      `cbor:"5,keyasint"`
	Targets     []*Target   `cbor:"6,keyasint"`
	StaleEvents uint64      `cbor:"7,keyasint"`
}

// Snapshot returns a function that encodes the current state. Stored jobs and
// targets are immutable, so Snapshot copies only references, and the function
// may run while further commands are applied.
func (l *Ledger) Snapshot() func() ([]byte, error) {
	s := snapshot{
		Version:     snapshotVersion,
		Now:         l.now,
		LastJobID:   l.lastJobID,
		Config:      l.config.Load(),
		Targets:     l.Targets(),
		StaleEvents: l.staleEvents,
	}
	l.jobs.Range(func(_ JobID, j *Job) bool {
		s.Jobs = append(s.Jobs, j)
		return true
	})
	return func() ([]byte, error) {
		sort.Slice(s.Jobs, func(i, j int) bool { return s.Jobs[i].ID < s.Jobs[j].ID })
		data, err := cbor.Marshal(s)
		if err != nil {
			return data, errors.Wrap(err, "encode ledger")
		}
		return data, nil
	}
}

// Restore replaces the state with that of an encoded snapshot. Empty data gives
// an empty ledger. It fails with ErrDecode or ErrVersion.
func (l *Ledger) Restore(data []byte) error {
	if len(data) == 0 {
		l.reset()
		return nil
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	l.reset()
	l.now = s.Now
	l.lastJobID = s.LastJobID
	l.staleEvents = s.StaleEvents
	l.config.Store(s.Config)
	for _, target := range s.Targets {
		l.targets.Set(target.ID, target)
	}
	for _, job := range s.Jobs {
		l.restoreJob(job)
	}
	return nil
}

func decodeSnapshot(data []byte) (snapshot, error) {
	mode, err := cbor.DecOptions{
		MaxArrayElements: math.MaxInt32,
		MaxMapPairs:      math.MaxInt32,
	}.DecMode()
	if err != nil {
		return snapshot{}, errors.Wrap(err, "make decoder")
	}
	var s snapshot
	if err := mode.Unmarshal(data, &s); err != nil {
		return snapshot{}, errors.Wrapf(ErrDecode, "snapshot: %s", err)
	}
	if s.Version != snapshotVersion {
		return snapshot{}, errors.Wrapf(ErrVersion, "version %d", s.Version)
	}
	if s.Config == nil {
		return snapshot{}, errors.Wrap(ErrDecode, "snapshot lacks its configuration")
	}
	return s, nil
}

func (l *Ledger) restoreJob(job *Job) {
	l.jobs.Set(job.ID, job)
	l.requests.Set(job.Request, job.ID)
	if job.IsFinished() {
		l.finishedJobs++
		return
	}
	l.live[job.ID] = job
	l.updateUsage(nil, job)
}
