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
	// randomBytes is the size in bytes of a random cell name or replica ID.
	randomBytes = 8
)

// ErrLocked is returned when another process uses the data folder.
var ErrLocked = errors.New("data folder is in use")

// Identity identifies the cell and the replica that a data folder belongs to.
type Identity struct {
	Cell string  `json:"cell"`
	ID   raft.ID `json:"id"`
}

// FolderLock is an exclusive lock that keeps two processes from using the same
// data folder.
type FolderLock struct {
	file *os.File
}

// LockFolder locks the data folder, which it creates if needed. It fails with
// ErrLocked if another process holds the lock.
func LockFolder(dir string) (*FolderLock, error) {
	if err := os.MkdirAll(dir, folderPerm); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	file, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, errors.Wrap(ErrLocked, dir)
	}
	return &FolderLock{file: file}, nil
}

// Release releases the lock.
func (l *FolderLock) Release() {
	_ = l.file.Close()
}

// ReadIdentity returns the identity stored in the folder, or nil if there is
// none.
func ReadIdentity(dir string) (*Identity, error) {
	data, err := os.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read identity")
	}
	var id Identity
	if err := json.Unmarshal(data, &id); err != nil {
		return nil, errors.Wrap(err, "decode identity")
	}
	return &id, nil
}

// WriteIdentity replaces the identity file atomically and syncs it to disk.
func WriteIdentity(dir string, id Identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	tempPath := filepath.Join(dir, identityFile+".new")
	file, err := os.OpenFile(tempPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
	if err != nil {
		return errors.Wrap(err, "create identity file")
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write(data); err != nil {
		return errors.Wrap(err, "write identity")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync identity")
	}
	if err := os.Rename(tempPath, filepath.Join(dir, identityFile)); err != nil {
		return errors.Wrap(err, "rename identity")
	}
	return syncDir(dir)
}

func syncDir(dir string) error {
	file, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer func() { _ = file.Close() }()
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync folder")
	}
	return nil
}

// NewIdentity returns the identity of a new replica of the cell. If cell is
// empty, it also generates the name of a new cell.
func NewIdentity(cell string) (Identity, error) {
	var random [randomBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return Identity{}, errors.Wrap(err, "generate identity")
	}
	id := raft.ID(binary.BigEndian.Uint64(random[:]) | 1)
	if cell != "" {
		return Identity{
			Cell: cell,
			ID:   id,
		}, nil
	}
	if _, err := rand.Read(random[:]); err != nil {
		return Identity{}, errors.Wrap(err, "generate identity")
	}
	return Identity{
		Cell: hex.EncodeToString(random[:]),
		ID:   id,
	}, nil
}
