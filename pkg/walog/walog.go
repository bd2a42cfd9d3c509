// Package walog keeps records in a segmented write-ahead log on disk, and
// whole states in snapshot files.
//
// Each record carries its length and a CRC-32C. A record counts only once
// Sync has returned. A torn record at the very end of the last segment is
// what a crash in the middle of a write leaves, and is cut when the log is
// opened; any other damage is reported as ErrCorrupt.
package walog

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/go-faster/errors"
)

const (
	headerBytes      = 8
	defaultSegment   = 16 << 20
	segmentSuffix    = ".seg"
	folderPerm       = 0o700
	filePerm         = 0o600
	segmentNameWidth = 16
)

// MaxRecordBytes bounds one record.
const MaxRecordBytes = 64 << 20

// Errors that callers tell apart.
var (
	// ErrCorrupt is returned by Open when a record that had been written
	// whole no longer matches its checksum.
	ErrCorrupt = errors.New("write-ahead log is corrupt")
	// ErrFailed is returned after a write or a sync has failed. The state
	// of the file is then unknown, so the log takes nothing more.
	ErrFailed = errors.New("write-ahead log has failed")
	// ErrTooLarge is returned for a record above 64 MiB.
	ErrTooLarge = errors.New("record is too large")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// File is what the log needs of an open segment. Tests put faults in here.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Log is an append-only log of records. It is not safe for use by several
// goroutines at once.
type Log struct {
	dir      string
	segment  int64
	create   func(path string) (File, error)
	settle   func(path string) error
	segments []segment
	tail     File
	size     int64
	buffer   []byte
	failed   error
}

type segment struct {
	number uint64
	path   string
}

// Option changes how a log is opened.
type Option func(*Log)

// WithSegmentBytes sets the size in bytes above which a new segment starts.
func WithSegmentBytes(n int64) Option {
	return func(l *Log) { l.segment = n }
}

// WithCreate sets how a new segment file is made.
func WithCreate(create func(path string) (File, error)) Option {
	return func(l *Log) { l.create = create }
}

// WithSettle sets how a segment that an earlier process wrote is made to last.
func WithSettle(settle func(path string) error) Option {
	return func(l *Log) { l.settle = settle }
}

// Open reads the log in the folder, calling visit with each record in order,
// and returns it ready for appending to a new segment. The slice given to
// visit is only valid during the call. It fails with ErrCorrupt when a
// record other than a torn last one is damaged.
func Open(dir string, visit func(record []byte) error, opts ...Option) (*Log, error) {
	l := &Log{
		dir:     dir,
		segment: defaultSegment,
		create:  createFile,
		settle:  syncFile,
	}
	for _, opt := range opts {
		opt(l)
	}
	if err := os.MkdirAll(dir, folderPerm); err != nil {
		return nil, errors.Wrap(err, "make log folder")
	}
	if err := l.list(); err != nil {
		return nil, err
	}
	for i, s := range l.segments {
		if err := replay(s.path, i == len(l.segments)-1, visit); err != nil {
			return nil, errors.Wrapf(err, "read segment %s", filepath.Base(s.path))
		}
	}
	if err := l.settleLast(); err != nil {
		return nil, err
	}
	if err := l.rotate(); err != nil {
		return nil, err
	}
	return l, nil
}

// settleLast syncs the segment that was read last. An earlier process that was
// killed may have written to it without a sync; what has been read of it must
// not be lost with the power once records follow in the next segment.
func (l *Log) settleLast() error {
	if len(l.segments) == 0 {
		return nil
	}
	last := l.segments[len(l.segments)-1].path
	if err := l.settle(last); err != nil {
		return errors.Wrapf(err, "sync segment %s", filepath.Base(last))
	}
	return nil
}

func createFile(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, filePerm)
}

func (l *Log) list() error {
	names, err := filepath.Glob(filepath.Join(l.dir, "*"+segmentSuffix))
	if err != nil {
		return errors.Wrap(err, "list segments")
	}
	for _, name := range names {
		var number uint64
		if _, err := fmt.Sscanf(filepath.Base(name), "%d"+segmentSuffix, &number); err != nil {
			return errors.Wrapf(ErrCorrupt, "odd segment name %q", filepath.Base(name))
		}
		l.segments = append(l.segments, segment{
			number: number,
			path:   name,
		})
	}
	sort.Slice(l.segments, func(i, j int) bool {
		return l.segments[i].number < l.segments[j].number
	})
	return nil
}

// Append adds a record. It lasts only once Sync has returned.
func (l *Log) Append(record []byte) error {
	if l.failed != nil {
		return l.failed
	}
	if len(record) > MaxRecordBytes {
		return ErrTooLarge
	}
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[:4], uint32(len(record)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(record, castagnoli))
	l.buffer = append(l.buffer, header[:]...)
	l.buffer = append(l.buffer, record...)
	return nil
}

// Sync writes the records appended since the last Sync and makes them last.
// After an error the log stays failed.
func (l *Log) Sync() error {
	if l.failed != nil {
		return l.failed
	}
	if len(l.buffer) == 0 {
		return nil
	}
	if _, err := l.tail.Write(l.buffer); err != nil {
		return l.fail(err, "write")
	}
	if err := l.tail.Sync(); err != nil {
		return l.fail(err, "sync")
	}
	l.size += int64(len(l.buffer))
	l.buffer = l.buffer[:0]
	if l.size < l.segment {
		return nil
	}
	return l.rotate()
}

func (l *Log) fail(cause error, doing string) error {
	l.failed = errors.Wrapf(ErrFailed, "%s: %s", doing, cause)
	return l.failed
}

func (l *Log) rotate() error {
	if l.tail != nil {
		if err := l.tail.Close(); err != nil {
			return l.fail(err, "close segment")
		}
	}
	next := uint64(1)
	if n := len(l.segments); n > 0 {
		next = l.segments[n-1].number + 1
	}
	path := filepath.Join(l.dir, fmt.Sprintf("%0*d%s", segmentNameWidth, next, segmentSuffix))
	tail, err := l.create(path)
	if err != nil {
		return l.fail(err, "create segment")
	}
	if err := syncFolder(l.dir); err != nil {
		return l.fail(err, "sync folder")
	}
	l.tail = tail
	l.size = 0
	l.segments = append(l.segments, segment{
		number: next,
		path:   path,
	})
	return nil
}

// Compact starts a new segment whose first records are the given ones, syncs
// them, and then removes every older segment. The caller passes what it
// still needs of the old ones.
func (l *Log) Compact(keep [][]byte) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.rotate(); err != nil {
		return err
	}
	old := l.segments[:len(l.segments)-1]
	for _, record := range keep {
		if err := l.Append(record); err != nil {
			return err
		}
	}
	current := l.segments[len(l.segments)-1]
	if err := l.syncNoRotate(); err != nil {
		return err
	}
	for _, s := range old {
		if err := os.Remove(s.path); err != nil {
			return errors.Wrap(err, "remove old segment")
		}
	}
	l.segments = []segment{current}
	if err := syncFolder(l.dir); err != nil {
		return errors.Wrap(err, "sync folder")
	}
	return nil
}

func (l *Log) syncNoRotate() error {
	limit := l.segment
	l.segment = 1 << 62
	defer func() { l.segment = limit }()
	return l.Sync()
}

// Close closes the log. Records not synced are dropped.
func (l *Log) Close() error {
	if l.failed == nil {
		l.failed = errors.Wrap(ErrFailed, "closed")
	}
	if err := l.tail.Close(); err != nil {
		return errors.Wrap(err, "close segment")
	}
	return nil
}

func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}
