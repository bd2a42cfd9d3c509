package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/peer"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	identityFile = "identity.json"
	lockFile     = "lock"
	logFolder    = "log"
	folderPerm   = 0o700
	filePerm     = 0o600
	cellBytes    = 8
)

// ErrLocked is returned when another process uses the data folder.
var ErrLocked = errors.New("data folder is in use")

// identity tells which cell and replica a data folder belongs to.
type identity struct {
	Cell string  `json:"cell"`
	ID   raft.ID `json:"id"`
}

// folderLock keeps two processes from sharing a data folder.
type folderLock struct {
	file *os.File
}

func lockFolder(dir string) (*folderLock, error) {
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
	return &folderLock{file: file}, nil
}

func (l *folderLock) release() {
	_ = l.file.Close()
}

// openFolder opens the data folder and starts the replica in it. Without an
// identity in the folder the replica starts once a cell has been found.
func (n *Node) openFolder() error {
	if n.cfg.DataFolder == "" {
		if n.cfg.FormCell {
			return ErrNoFolder
		}
		return nil
	}
	lock, err := lockFolder(n.cfg.DataFolder)
	if err != nil {
		return err
	}
	n.lock = lock
	known, err := readIdentity(n.cfg.DataFolder)
	if err != nil {
		return err
	}
	switch {
	case known != nil:
		return n.startReplica(*known, false)
	case n.cfg.FormCell:
		return n.formCell()
	}
	return nil
}

func readIdentity(dir string) (*identity, error) {
	data, err := os.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read identity")
	}
	var known identity
	if err := json.Unmarshal(data, &known); err != nil {
		return nil, errors.Wrap(err, "decode identity")
	}
	return &known, nil
}

func writeIdentity(dir string, id identity) error {
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

// formCell starts a new cell of which this instance is the only voter. It
// refuses when a peer belongs to a cell already.
func (n *Node) formCell() error {
	ctx, cancel := context.WithTimeout(n.ctx, time.Second)
	defer cancel()
	if hello := n.router.askPeers(ctx); hello != nil && hello.Cell != "" {
		return errors.Wrapf(ErrFormed, "%s belongs to cell %s", hello.Name, hello.Cell)
	}
	id, err := newIdentity("")
	if err != nil {
		return err
	}
	if err := n.startReplica(id, true); err != nil {
		return err
	}
	return nil
}

// newIdentity returns a fresh replica of the cell, or of a new cell.
func newIdentity(cell string) (identity, error) {
	var random [cellBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return identity{}, errors.Wrap(err, "make identity")
	}
	id := raft.ID(binary.BigEndian.Uint64(random[:]) | 1)
	if cell != "" {
		return identity{
			Cell: cell,
			ID:   id,
		}, nil
	}
	if _, err := rand.Read(random[:]); err != nil {
		return identity{}, errors.Wrap(err, "make identity")
	}
	return identity{
		Cell: hex.EncodeToString(random[:]),
		ID:   id,
	}, nil
}

// startReplica opens the log and starts the replica. The identity is written
// last when a cell is formed, so that a half-formed one is formed anew.
func (n *Node) startReplica(id identity, form bool) error {
	dir := filepath.Join(n.cfg.DataFolder, logFolder)
	if form {
		if err := os.RemoveAll(dir); err != nil {
			return errors.Wrap(err, "clear log folder")
		}
	}
	storage, err := raft.OpenDisk(dir)
	if err != nil {
		return err
	}
	if form {
		if storage, err = n.bootstrap(dir, storage, id); err != nil {
			return err
		}
	}
	if err := writeIdentity(n.cfg.DataFolder, id); err != nil {
		return err
	}
	return n.runReplica(id, storage)
}

func (n *Node) bootstrap(dir string, storage *raft.DiskStorage, id identity) (*raft.DiskStorage, error) {
	first := raft.Bootstrap(n.member(id.ID))
	if err := storage.SaveSnapshot(first.Snapshot, nil); err != nil {
		return nil, err
	}
	if err := storage.Reset(first.Hard, nil); err != nil {
		return nil, err
	}
	if err := storage.Close(); err != nil {
		return nil, err
	}
	return raft.OpenDisk(dir)
}

func (n *Node) member(id raft.ID) raft.Member {
	return raft.Member{
		ID:      id,
		Name:    n.cfg.Name,
		Address: n.cfg.Advertise,
		Domain:  n.cfg.Domain,
	}
}

func (n *Node) runReplica(id identity, storage *raft.DiskStorage) error {
	n.mu.Lock()
	n.identity = id
	n.storage = storage
	n.mu.Unlock()
	n.machine = &machine{node: n}
	n.ledger = ledger.New(n.cfg.Bounds, ledger.WithObserver(n.machine))
	n.transport = peer.NewLogTransport(id.Cell, n.dialer, n.addressOf)
	replica, err := raft.NewReplica(raft.CoreConfig{
		ID:        id.ID,
		Election:  n.cfg.Timing.Election,
		Heartbeat: n.cfg.Timing.Heartbeat,
		Seed:      uint64(id.ID),
	}, storage, n.transport, n.machine)
	if err != nil {
		return err
	}
	n.replica.Store(replica)
	n.logServer.SetReceiver(replica)
	n.goRun(func() { n.watch(replica) })
	n.log.Infof("node: replica %d of cell %s started", id.ID, id.Cell)
	return nil
}

// addressOf returns where a replica is reached, or "".
func (n *Node) addressOf(id raft.ID) string {
	replica := n.replica.Load()
	if replica == nil {
		return ""
	}
	member, _ := replica.Status().Membership.Find(id)
	if member.Address == "" {
		member, _ = n.router.members().Find(id)
	}
	return member.Address
}
