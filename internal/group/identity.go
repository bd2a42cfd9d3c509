package group

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	identityFile = "identity.json"
	lockFile     = "lock"
	folderPerm   = 0o700
	filePerm     = 0o600
	cellBytes    = 8
)

// ErrLocked is returned when another process uses the data folder.
var ErrLocked = errors.New("data folder is in use")

// Identity tells which cell and replica a data folder belongs to.
type Identity struct {
	Cell string  `json:"cell"`
	ID   raft.ID `json:"id"`
}

// FolderLock keeps two processes from sharing a data folder.
type FolderLock struct {
	file *os.File
}

// LockFolder takes the lock of the folder, which it makes if need be. It
// fails with ErrLocked.
func LockFolder(dir string) (*FolderLock, error) {
	if err := os.MkdirAll(dir, folderPerm); err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	file, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, errors.Wrap(err, "open lock")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, errors.Wrap(ErrLocked, dir)
	}
	return &FolderLock{file: file}, nil
}

// Release gives the lock back.
func (l *FolderLock) Release() {
	_ = l.file.Close()
}

// ReadIdentity returns the identity in the folder, or nil when there is none.
func ReadIdentity(dir string) (*Identity, error) {
	data, err := os.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read identity")
	}
	var known Identity
	if err := json.Unmarshal(data, &known); err != nil {
		return nil, errors.Wrap(err, "decode identity")
	}
	return &known, nil
}

// WriteIdentity writes and syncs the identity.
func WriteIdentity(dir string, id Identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	aside := filepath.Join(dir, identityFile+".new")
	file, err := os.OpenFile(aside, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
	if err != nil {
		return errors.Wrap(err, "create identity")
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write(data); err != nil {
		return errors.Wrap(err, "write identity")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync identity")
	}
	if err := os.Rename(aside, filepath.Join(dir, identityFile)); err != nil {
		return errors.Wrap(err, "rename identity")
	}
	return syncFolder(dir)
}

func syncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer func() { _ = folder.Close() }()
	if err := folder.Sync(); err != nil {
		return errors.Wrap(err, "sync folder")
	}
	return nil
}

// NewIdentity returns a fresh replica of the cell, or of a new cell.
func NewIdentity(cell string) (Identity, error) {
	var random [cellBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return Identity{}, errors.Wrap(err, "make identity")
	}
	id := raft.ID(binary.BigEndian.Uint64(random[:]) | 1)
	if cell != "" {
		return Identity{
			Cell: cell,
			ID:   id,
		}, nil
	}
	if _, err := rand.Read(random[:]); err != nil {
		return Identity{}, errors.Wrap(err, "make identity")
	}
	return Identity{
		Cell: hex.EncodeToString(random[:]),
		ID:   id,
	}, nil
}
