package raft

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/walog"
)

// ErrStorage is returned if the storage fails or contains invalid data. It is a
// permanent error: the replica must stop.
var ErrStorage = errors.New("replica storage has failed")

// Storage is the durable storage of a replica. Each method that makes a change
// returns only after the change has been synced.
type Storage interface {
	// Load returns the persistent state and the content of the snapshot.
	Load() (PersistentState, []byte, error)
	// Persist stores the hard state and appends the entries. Stored entries
	// from the first new index on are replaced.
	Persist(hardState HardState, entries []Entry) error
	// SaveSnapshot replaces the snapshot with a newer one.
	SaveSnapshot(meta SnapshotMeta, state []byte) error
	// LoadSnapshot returns the newest snapshot and its content.
	LoadSnapshot() (SnapshotMeta, []byte, error)
	// ReplaceLog replaces the log with the given hard state and entries.
	ReplaceLog(hardState HardState, entries []Entry) error
}

type logRecord struct {
	HardState *HardState `cbor:"1,keyasint,omitempty"`
	Entry     *Entry     `cbor:"2,keyasint,omitempty"`
	// Reset replaces everything before it in the log.
	Reset *logReset `cbor:"3,keyasint,omitempty"`
}

// logReset holds the complete log at a compaction. It is stored as a single record
// so that it is either written completely or not at all if the power fails. Until
// it is synced, the older segments still exist; afterwards it does not matter which
// of them have been removed.
type logReset struct {
	HardState HardState `cbor:"1,keyasint"`
	Entries   []Entry   `cbor:"2,keyasint,omitempty"`
}

type snapshotFile struct {
	Meta  SnapshotMeta `cbor:"1,keyasint"`
	State []byte       `cbor:"2,keyasint"`
}

// DiskStorage is a Storage that uses a write-ahead log and a snapshot file in a
// directory.
type DiskStorage struct {
	dir       string
	log       *walog.Log
	persisted PersistentState
	state     []byte

	mu sync.Mutex
	// savedIndex is the index of the newest saved snapshot.
	savedIndex uint64
}

var _ Storage = (*DiskStorage)(nil)

// OpenDisk opens the storage in the directory and loads its contents. It returns
// ErrStorage if it fails.
func OpenDisk(dir string, opts ...walog.Option) (*DiskStorage, error) {
	s := &DiskStorage{dir: dir}
	meta, state, err := s.LoadSnapshot()
	if err != nil {
		return nil, err
	}
	s.persisted.Snapshot = meta
	s.state = state
	s.savedIndex = meta.Index
	var entries []Entry
	log, err := walog.Open(dir, func(record []byte) error {
		return s.replay(record, &entries)
	}, opts...)
	if err != nil {
		return nil, errors.Wrapf(ErrStorage, "open log: %s", err)
	}
	s.log = log
	if s.persisted.Entries, err = entriesAfter(meta, entries); err != nil {
		return nil, err
	}
	if len(s.persisted.Entries) > 0 || endsAt(meta, entries) {
		return s, nil
	}
	// The snapshot was installed and the log before it is still stored. It must not
	// stay in front of the entries that follow the snapshot.
	if err := s.ReplaceLog(s.persisted.HardState, nil); err != nil {
		return nil, err
	}
	return s, nil
}

// endsAt reports whether the stored entries, if there are any, end with the last entry
// of the snapshot.
func endsAt(meta SnapshotMeta, entries []Entry) bool {
	if len(entries) == 0 {
		return true
	}
	last := entries[len(entries)-1]
	return last.Index == meta.Index && last.Term == meta.Term
}

// replay applies a record of the write-ahead log to the persistent state and to the
// entries read so far.
func (s *DiskStorage) replay(record []byte, entries *[]Entry) error {
	var r logRecord
	if err := cbor.Unmarshal(record, &r); err != nil {
		return errors.Wrapf(ErrDecode, "log record: %s", err)
	}
	if r.Reset != nil {
		s.persisted.HardState = r.Reset.HardState
		*entries = r.Reset.Entries
	}
	if r.HardState != nil {
		s.persisted.HardState = *r.HardState
	}
	if r.Entry == nil {
		return nil
	}
	for n := len(*entries); n > 0 && (*entries)[n-1].Index >= r.Entry.Index; n-- {
		*entries = (*entries)[:n-1]
	}
	*entries = append(*entries, *r.Entry)
	return nil
}

// entriesAfter returns the entries that follow the snapshot. It drops all entries if
// the log conflicts with the snapshot.
func entriesAfter(meta SnapshotMeta, entries []Entry) ([]Entry, error) {
	for i, e := range entries {
		if e.Index == meta.Index && e.Term != meta.Term {
			return nil, nil
		}
		if i > 0 && e.Index != entries[i-1].Index+1 {
			return nil, errors.Wrapf(ErrStorage, "gap before entry %d", e.Index)
		}
		if e.Index == meta.Index+1 {
			return entries[i:], checkContiguous(entries[i:])
		}
	}
	if n := len(entries); n > 0 && entries[0].Index > meta.Index {
		return nil, errors.Wrapf(ErrStorage, "log starts at entry %d behind snapshot %d",
			entries[0].Index, meta.Index)
	}
	return nil, nil
}

// checkContiguous checks that the indexes of the entries have no gaps.
func checkContiguous(entries []Entry) error {
	for i := 1; i < len(entries); i++ {
		if entries[i].Index != entries[i-1].Index+1 {
			return errors.Wrapf(ErrStorage, "gap before entry %d", entries[i].Index)
		}
	}
	return nil
}

// Load returns the persistent state as of OpenDisk.
func (s *DiskStorage) Load() (PersistentState, []byte, error) {
	return s.persisted, s.state, nil
}

// Persist appends the hard state and the entries to the log and syncs it.
func (s *DiskStorage) Persist(hardState HardState, entries []Entry) error {
	if err := s.append(logRecord{HardState: &hardState}); err != nil {
		return err
	}
	for i := range entries {
		if err := s.append(logRecord{Entry: &entries[i]}); err != nil {
			return err
		}
	}
	if err := s.log.Sync(); err != nil {
		return errors.Wrapf(ErrStorage, "sync log: %s", err)
	}
	return nil
}

func (s *DiskStorage) append(r logRecord) error {
	data, err := cbor.Marshal(r)
	if err != nil {
		return errors.Wrapf(ErrStorage, "encode record: %s", err)
	}
	if err := s.log.Append(data); err != nil {
		return errors.Wrapf(ErrStorage, "append record: %s", err)
	}
	return nil
}

// SaveSnapshot saves the snapshot unless a newer one has been saved.
func (s *DiskStorage) SaveSnapshot(meta SnapshotMeta, state []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if meta.Index < s.savedIndex {
		return nil
	}
	data, err := cbor.Marshal(snapshotFile{
		Meta:  meta,
		State: state,
	})
	if err != nil {
		return errors.Wrapf(ErrStorage, "encode snapshot: %s", err)
	}
	if err := walog.SaveSnapshot(s.dir, data); err != nil {
		return errors.Wrapf(ErrStorage, "save snapshot: %s", err)
	}
	s.savedIndex = meta.Index
	return nil
}

// LoadSnapshot reads the newest snapshot. It returns zero metadata if there is none.
func (s *DiskStorage) LoadSnapshot() (SnapshotMeta, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, err := walog.LoadSnapshot(s.dir)
	if err != nil {
		return SnapshotMeta{}, nil, errors.Wrapf(ErrStorage, "load snapshot: %s", err)
	}
	if data == nil {
		return SnapshotMeta{}, nil, nil
	}
	return decodeSnapshot(data)
}

func decodeSnapshot(data []byte) (SnapshotMeta, []byte, error) {
	var file snapshotFile
	if err := cbor.Unmarshal(data, &file); err != nil {
		return SnapshotMeta{}, nil, errors.Wrapf(ErrStorage, "decode snapshot: %s", err)
	}
	return file.Meta, file.State, nil
}

// ReplaceLog compacts the log to a single record with the hard state and the
// entries. If that record would be too large, ReplaceLog only appends the hard
// state and keeps the existing log.
func (s *DiskStorage) ReplaceLog(hardState HardState, entries []Entry) error {
	data, err := cbor.Marshal(logRecord{
		Reset: &logReset{
			HardState: hardState,
			Entries:   entries,
		},
	})
	if err != nil {
		return errors.Wrapf(ErrStorage, "encode record: %s", err)
	}
	if len(data) > walog.MaxRecordBytes && len(entries) > 0 {
		return s.Persist(hardState, nil)
	}
	if err := s.log.Compact([][]byte{data}); err != nil {
		return errors.Wrapf(ErrStorage, "compact log: %s", err)
	}
	return nil
}

// Close closes the write-ahead log.
func (s *DiskStorage) Close() error {
	if err := s.log.Close(); err != nil {
		return errors.Wrap(err, "close storage")
	}
	return nil
}
