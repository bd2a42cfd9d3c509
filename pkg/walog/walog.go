// Package walog implements a segmented write-ahead log and an atomically
// replaced snapshot file.
//
// Each record is stored with its length and a CRC-32C checksum, and is durable
// once Sync has returned. A crash during a write can leave a torn record at the
// end of the last segment; Open truncates it. Any other damage is reported as
// ErrCorrupt.
package walog

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"math"
	"os"
	"path/filepath"
	"sort"

	"github.com/go-faster/errors"
)

const (
	// headerBytes is the size of a record's header: its length and its checksum.
	headerBytes         = 8
	defaultSegmentBytes = 16 << 20
	segmentSuffix       = ".seg"
	dirPerm             = 0o700
	filePerm            = 0o600
	// segmentNameWidth is the minimum number of digits in a segment file name.
	segmentNameWidth = 16
)

// MaxRecordBytes is the maximum size of a record.
const MaxRecordBytes = 64 << 20

// Errors returned by this package.
var (
	// ErrCorrupt is returned when a record or a snapshot that had been
	// written completely is damaged.
	ErrCorrupt = errors.New("write-ahead log is corrupt")
	// ErrFailed is returned once a write or a sync has failed. The contents
	// of the file are then unknown, so the log rejects every later operation.
	ErrFailed = errors.New("write-ahead log has failed")
	// ErrTooLarge is returned for a record larger than MaxRecordBytes.
	ErrTooLarge = errors.New("record is too large")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// File is an open segment file. Tests implement it to inject faults.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Log is an append-only log of records. It is not safe for concurrent use.
type Log struct {
	dir          string
	segmentBytes int64
	create       func(path string) (File, error)
	syncFile     func(path string) error
	segments     []segment
	tail         File
	tailBytes    int64
	buffer       []byte
	failed       error
}

type segment struct {
	number uint64
	path   string
}

// Option configures a Log.
type Option func(*Log)

// WithSegmentBytes sets the size in bytes at which a new segment is started.
func WithSegmentBytes(n int64) Option {
	return func(l *Log) { l.segmentBytes = n }
}

// WithCreate sets the function that creates a segment file.
func WithCreate(create func(path string) (File, error)) Option {
	return func(l *Log) { l.create = create }
}

// WithSyncFile sets the function that syncs a segment file written by an
// earlier process.
func WithSyncFile(sync func(path string) error) Option {
	return func(l *Log) { l.syncFile = sync }
}

// Open opens the log in the directory dir, which it creates if necessary. It
// calls visit for each record in order and starts a new segment for appending.
// The record passed to visit is only valid during the call. Open returns
// ErrCorrupt if a record other than a torn last one is damaged.
func Open(dir string, visit func(record []byte) error, opts ...Option) (*Log, error) {
	l := &Log{
		dir:          dir,
		segmentBytes: defaultSegmentBytes,
		create:       createFile,
		syncFile:     syncFile,
	}
	for _, opt := range opts {
		opt(l)
	}
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return nil, errors.Wrap(err, "make log folder")
	}
	if err := l.listSegments(); err != nil {
		return nil, err
	}
	for i, s := range l.segments {
		if err := replay(s.path, i == len(l.segments)-1, visit); err != nil {
			return nil, errors.Wrapf(err, "read segment %s", filepath.Base(s.path))
		}
	}
	if err := l.syncLastSegment(); err != nil {
		return nil, err
	}
	if err := l.rotate(); err != nil {
		return nil, err
	}
	return l, nil
}

// syncLastSegment syncs the last segment that was replayed. An earlier process
// that was killed may have written records to it without syncing them. If they
// were lost in a power failure after records had been appended to the next
// segment, the log would have a gap.
func (l *Log) syncLastSegment() error {
	if len(l.segments) == 0 {
		return nil
	}
	last := l.segments[len(l.segments)-1].path
	if err := l.syncFile(last); err != nil {
		return errors.Wrapf(err, "sync segment %s", filepath.Base(last))
	}
	return nil
}

func createFile(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, filePerm)
}

func (l *Log) listSegments() error {
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

// Append buffers a record. The record is durable once Sync has returned.
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

// Sync writes the buffered records to the current segment and syncs it. After an
// error the log cannot be used any more.
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
	l.tailBytes += int64(len(l.buffer))
	l.buffer = l.buffer[:0]
	if l.tailBytes < l.segmentBytes {
		return nil
	}
	return l.rotate()
}

func (l *Log) fail(cause error, operation string) error {
	l.failed = errors.Wrapf(ErrFailed, "%s: %s", operation, cause)
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
	if err := syncDir(l.dir); err != nil {
		return l.fail(err, "sync folder")
	}
	l.tail = tail
	l.tailBytes = 0
	l.segments = append(l.segments, segment{
		number: next,
		path:   path,
	})
	return nil
}

// Compact replaces the contents of the log with the given records. It writes
// them to a new segment and syncs it before it removes the older segments.
func (l *Log) Compact(records [][]byte) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.rotate(); err != nil {
		return err
	}
	old := l.segments[:len(l.segments)-1]
	for _, record := range records {
		if err := l.Append(record); err != nil {
			return err
		}
	}
	current := l.segments[len(l.segments)-1]
	if err := l.syncWithoutRotate(); err != nil {
		return err
	}
	for _, s := range old {
		if err := os.Remove(s.path); err != nil {
			return errors.Wrap(err, "remove old segment")
		}
	}
	l.segments = []segment{current}
	if err := syncDir(l.dir); err != nil {
		return errors.Wrap(err, "sync folder")
	}
	return nil
}

func (l *Log) syncWithoutRotate() error {
	limit := l.segmentBytes
	l.segmentBytes = math.MaxInt64
	defer func() { l.segmentBytes = limit }()
	return l.Sync()
}

// Close closes the log. Records that have not been synced are lost.
func (l *Log) Close() error {
	if l.failed == nil {
		l.failed = errors.Wrap(ErrFailed, "closed")
	}
	if err := l.tail.Close(); err != nil {
		return errors.Wrap(err, "close segment")
	}
	return nil
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}
