package walog

import (
	"encoding/binary"
	"hash/crc32"
	"os"

	"github.com/go-faster/errors"
)

// replay calls visit for each record of the segment file. A torn record at the
// end of the last segment is truncated.
func replay(path string, last bool, visit func(record []byte) error) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read segment")
	}
	offset := 0
	for offset < len(data) {
		record, size := decode(data[offset:])
		if size == 0 {
			return truncateTornTail(path, data, offset, last)
		}
		if err := visit(record); err != nil {
			return err
		}
		offset += size
	}
	return nil
}

// decode returns the first record of data and its size including the header.
// The size is zero if the record is incomplete or its checksum does not match.
func decode(data []byte) (record []byte, size int) {
	if len(data) < headerBytes {
		return nil, 0
	}
	length := int(binary.LittleEndian.Uint32(data[:4]))
	sum := binary.LittleEndian.Uint32(data[4:headerBytes])
	if length > MaxRecordBytes || headerBytes+length > len(data) {
		return nil, 0
	}
	record = data[headerBytes : headerBytes+length]
	if crc32.Checksum(record, castagnoli) != sum {
		return nil, 0
	}
	return record, headerBytes + length
}

// truncateTornTail truncates the last segment at a torn record; Open then syncs
// the segment. A damaged record followed by a valid one cannot have been torn by
// a crash and is reported as ErrCorrupt, as is any damage in an earlier segment.
func truncateTornTail(path string, data []byte, offset int, last bool) error {
	if !last || followedByRecord(data[offset:]) {
		return errors.Wrapf(ErrCorrupt, "damaged record at byte %d", offset)
	}
	if err := os.Truncate(path, int64(offset)); err != nil {
		return errors.Wrap(err, "cut torn tail")
	}
	return nil
}

// syncFile syncs a segment file written by an earlier process.
func syncFile(path string) error {
	f, err := os.OpenFile(path, os.O_WRONLY, filePerm)
	if err != nil {
		return errors.Wrap(err, "open segment to sync")
	}
	defer func() { _ = f.Close() }()
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	return nil
}

// followedByRecord reports whether the damaged record at the start of data is
// followed by a valid, non-empty record.
func followedByRecord(data []byte) bool {
	if len(data) < headerBytes {
		return false
	}
	length := int(binary.LittleEndian.Uint32(data[:4]))
	if length > MaxRecordBytes || headerBytes+length >= len(data) {
		return false
	}
	_, size := decode(data[headerBytes+length:])
	return size > headerBytes
}
