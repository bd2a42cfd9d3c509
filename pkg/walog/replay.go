package walog

import (
	"encoding/binary"
	"hash/crc32"
	"os"

	"github.com/go-faster/errors"
)

func replay(path string, last bool, visit func(record []byte) error) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read segment")
	}
	offset := 0
	for offset < len(data) {
		record, size := decode(data[offset:])
		if size == 0 {
			return cutTail(path, data, offset, last)
		}
		if err := visit(record); err != nil {
			return err
		}
		offset += size
	}
	return nil
}

// decode returns the first record of data and its size with the header. The
// size is zero when no whole and sound record is there.
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

// cutTail cuts a torn record off the end of the last segment, which Open then
// syncs. A damaged record with a sound one behind it was not torn by a crash.
func cutTail(path string, data []byte, offset int, last bool) error {
	if !last || followed(data[offset:]) {
		return errors.Wrapf(ErrCorrupt, "damaged record at byte %d", offset)
	}
	if err := os.Truncate(path, int64(offset)); err != nil {
		return errors.Wrap(err, "cut torn tail")
	}
	return nil
}

// syncFile makes what was written to the file last.
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

func followed(data []byte) bool {
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
