package raft

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/walog"
)

// ErrStorage is returned when the replica's disk fails or holds what it
// should not. It is final: the replica must stop.
var ErrStorage = errors.New("replica storage has failed")

// Storage keeps what a replica must not forget. Each method returns only
// once its change is synced.
type Storage interface {
	// Load returns the synced state, and the snapshot's content.
	Load() (Restored, []byte, error)
	// Persist appends entries, replacing any from the first one's index on.
	Persist(hard HardState, entries []Entry) error
	// SaveSnapshot replaces the snapshot by a newer one.
	SaveSnapshot(meta SnapshotMeta, state []byte) error
	// LoadSnapshot returns the newest snapshot.
	LoadSnapshot() (SnapshotMeta, []byte, error)
	// Reset drops the log but for the entries given.
	Reset(hard HardState, entries []Entry) error
}

type logRecord struct {
	Hard  *HardState `cbor:"1,keyasint,omitempty"`
	Entry *Entry     `cbor:"2,keyasint,omitempty"`
	// Start is set where the log starts anew: what was read before is void.
	Start *logStart `cbor:"3,keyasint,omitempty"`
}

// logStart is the whole log at a compaction. It is one record, so that a loss
// of power leaves either all of it or nothing: until it is synced the older
// segments are there, and afterwards it does not matter which of them are.
type logStart struct {
	Hard    HardState `cbor:"1,keyasint"`
	Entries []Entry   `cbor:"2,keyasint,omitempty"`
}

type snapshotFile struct {
	Meta  SnapshotMeta `cbor:"1,keyasint"`
	State []byte       `cbor:"2,keyasint"`
}

// DiskStorage is a Storage on a write-ahead log in a folder.
type DiskStorage struct {
	dir      string
	log      *walog.Log
	restored Restored
	state    []byte

	mu    sync.Mutex
	saved uint64
}

var _ Storage = (*DiskStorage)(nil)

// OpenDisk opens the storage in the folder, or returns ErrStorage.
func OpenDisk(dir string, opts ...walog.Option) (*DiskStorage, error) {
	s := &DiskStorage{dir: dir}
	meta, state, err := s.LoadSnapshot()
	if err != nil {
		return nil, err
	}
	s.restored.Snapshot = meta
	s.state = state
	s.saved = meta.Index
	var entries []Entry
	log, err := walog.Open(dir, func(record []byte) error {
		return s.replay(record, &entries)
	}, opts...)
	if err != nil {
		return nil, errors.Wrapf(ErrStorage, "open log: %s", err)
	}
	s.log = log
	if s.restored.Entries, err = behind(meta, entries); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *DiskStorage) replay(record []byte, entries *[]Entry) error {
	var r logRecord
	if err := cbor.Unmarshal(record, &r); err != nil {
		return errors.Wrapf(ErrDecode, "log record: %s", err)
	}
	if r.Start != nil {
		s.restored.Hard = r.Start.Hard
		*entries = r.Start.Entries
	}
	if r.Hard != nil {
		s.restored.Hard = *r.Hard
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

// behind returns the entries that follow the snapshot. Entries that branched
// off before it are dropped.
func behind(meta SnapshotMeta, entries []Entry) ([]Entry, error) {
	for i, e := range entries {
		if e.Index == meta.Index && e.Term != meta.Term {
			return nil, nil
		}
		if i > 0 && e.Index != entries[i-1].Index+1 {
			return nil, errors.Wrapf(ErrStorage, "gap before entry %d", e.Index)
		}
		if e.Index == meta.Index+1 {
			return entries[i:], checkRun(entries[i:])
		}
	}
	if n := len(entries); n > 0 && entries[0].Index > meta.Index {
		return nil, errors.Wrapf(ErrStorage, "log starts at entry %d behind snapshot %d",
			entries[0].Index, meta.Index)
	}
	return nil, nil
}

func checkRun(entries []Entry) error {
	for i := 1; i < len(entries); i++ {
		if entries[i].Index != entries[i-1].Index+1 {
			return errors.Wrapf(ErrStorage, "gap before entry %d", entries[i].Index)
		}
	}
	return nil
}

// Load returns what was synced when the storage was opened.
func (s *DiskStorage) Load() (Restored, []byte, error) {
	return s.restored, s.state, nil
}

// Persist appends and syncs.
func (s *DiskStorage) Persist(hard HardState, entries []Entry) error {
	if err := s.append(logRecord{Hard: &hard}); err != nil {
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

// SaveSnapshot keeps the snapshot unless a newer one is there.
func (s *DiskStorage) SaveSnapshot(meta SnapshotMeta, state []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if meta.Index < s.saved {
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
	s.saved = meta.Index
	return nil
}

// LoadSnapshot reads the newest snapshot. Without one its meta is zero.
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

// Reset starts the log anew with the entries given. A log that is too large for
// one record stays as it is, with more than is needed.
func (s *DiskStorage) Reset(hard HardState, entries []Entry) error {
	data, err := cbor.Marshal(logRecord{
		Start: &logStart{
			Hard:    hard,
			Entries: entries,
		},
	})
	if err != nil {
		return errors.Wrapf(ErrStorage, "encode record: %s", err)
	}
	if len(data) > walog.MaxRecordBytes && len(entries) > 0 {
		return s.Persist(hard, nil)
	}
	if err := s.log.Compact([][]byte{data}); err != nil {
		return errors.Wrapf(ErrStorage, "compact log: %s", err)
	}
	return nil
}

// Close closes the log.
func (s *DiskStorage) Close() error {
	if err := s.log.Close(); err != nil {
		return errors.Wrap(err, "close storage")
	}
	return nil
}
