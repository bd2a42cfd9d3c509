package walog

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

const (
	snapshotMagic    = "jwsnap01"
	snapshotName     = "state.snap"
	snapshotTempName = "state.snap.new"
	// snapshotTrailerBytes is the size of the checksum at the end of the file.
	snapshotTrailerBytes = 4
)

// ErrSnapshotVersion is returned for a snapshot file with an unknown format
// version.
var ErrSnapshotVersion = errors.New("snapshot has an unknown version")

// SaveSnapshot atomically replaces the snapshot in the directory. It writes the
// state to a temporary file, syncs it, renames it over the old snapshot and syncs
// the directory.
func SaveSnapshot(dir string, state []byte) error {
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return errors.Wrap(err, "make snapshot folder")
	}
	tempPath := filepath.Join(dir, snapshotTempName)
	if err := writeSynced(tempPath, state); err != nil {
		return err
	}
	if err := os.Rename(tempPath, filepath.Join(dir, snapshotName)); err != nil {
		return errors.Wrap(err, "rename snapshot")
	}
	if err := syncDir(dir); err != nil {
		return errors.Wrap(err, "sync snapshot folder")
	}
	return nil
}

// writeSynced writes a snapshot file and syncs it.
func writeSynced(path string, state []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
	if err != nil {
		return errors.Wrap(err, "create snapshot")
	}
	defer func() { _ = f.Close() }()
	var trailer [snapshotTrailerBytes]byte
	binary.LittleEndian.PutUint32(trailer[:], crc32.Checksum(state, castagnoli))
	for _, part := range [][]byte{[]byte(snapshotMagic), state, trailer[:]} {
		if _, err := f.Write(part); err != nil {
			return errors.Wrap(err, "write snapshot")
		}
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync snapshot")
	}
	return nil
}

// LoadSnapshot returns the state in the directory's snapshot, or nil if there is
// no snapshot. It returns ErrSnapshotVersion for an unknown format version and
// ErrCorrupt for a damaged file.
func LoadSnapshot(dir string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(dir, snapshotName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read snapshot")
	}
	if len(data) < len(snapshotMagic)+snapshotTrailerBytes {
		return nil, errors.Wrap(ErrCorrupt, "snapshot is cut short")
	}
	if string(data[:len(snapshotMagic)]) != snapshotMagic {
		return nil, ErrSnapshotVersion
	}
	state := data[len(snapshotMagic) : len(data)-snapshotTrailerBytes]
	sum := binary.LittleEndian.Uint32(data[len(data)-snapshotTrailerBytes:])
	if crc32.Checksum(state, castagnoli) != sum {
		return nil, errors.Wrap(ErrCorrupt, "snapshot checksum")
	}
	return state, nil
}
