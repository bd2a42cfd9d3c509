package node

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/peer"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

const logFolderName = "log"

// openDataFolder locks the data folder and starts its replica. If the folder has
// no identity, the replica is started later, once a cell has been found.
func (n *Node) openDataFolder() error {
	if n.cfg.DataFolder == "" {
		if n.cfg.FormCell {
			return ErrNoDataFolder
		}
		return nil
	}
	lock, err := group.LockFolder(n.cfg.DataFolder)
	if err != nil {
		return err
	}
	n.lock = lock
	known, err := group.ReadIdentity(n.cfg.DataFolder)
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

// formCell starts a new cell with this instance as its only voter. It fails if a
// peer already belongs to a cell.
func (n *Node) formCell() error {
	ctx, cancel := context.WithTimeout(n.ctx, time.Second)
	defer cancel()
	if hello := n.router.askPeers(ctx); hello != nil && hello.Cell != "" {
		return errors.Wrapf(ErrCellExists, "%s belongs to cell %s", hello.Name, hello.Cell)
	}
	id, err := group.NewIdentity("")
	if err != nil {
		return err
	}
	if err := n.startReplica(id, true); err != nil {
		return err
	}
	return nil
}

// startReplica opens the log and starts the replica. When forming a cell, it
// writes the identity after the log has been set up, so that an interrupted
// attempt starts over.
func (n *Node) startReplica(id group.Identity, form bool) error {
	dir := filepath.Join(n.cfg.DataFolder, logFolderName)
	if form {
		if err := os.RemoveAll(dir); err != nil {
			return errors.Wrap(err, "remove old log folder")
		}
	}
	storage, err := raft.OpenDisk(dir)
	if err != nil {
		return err
	}
	if form {
		if storage, err = group.BootstrapStorage(dir, storage, raft.Membership{Members: []raft.Member{n.selfMember(id.ID)}}); err != nil {
			return err
		}
	}
	if err := group.WriteIdentity(n.cfg.DataFolder, id); err != nil {
		return err
	}
	return n.runReplica(id, storage)
}

func (n *Node) selfMember(id raft.ID) raft.Member {
	return raft.Member{
		ID:      id,
		Name:    n.cfg.Name,
		Address: n.cfg.Advertise,
		Domain:  n.cfg.Domain,
	}
}

func (n *Node) runReplica(id group.Identity, storage *raft.DiskStorage) error {
	n.mu.Lock()
	n.identity = id
	n.storage = storage
	n.mu.Unlock()
	n.stateMachine = &stateMachine{node: n}
	n.ledger = ledger.New(n.cfg.Limits, ledger.WithObserver(n.stateMachine))
	n.transport = peer.NewRaftTransport(id.Cell, n.dialer, n.addressOf)
	replica, err := raft.NewReplica(raft.CoreConfig{
		ID:                id.ID,
		ElectionTimeout:   n.cfg.Timing.Election,
		HeartbeatInterval: n.cfg.Timing.Heartbeat,
		Seed:              uint64(id.ID),
	}, storage, n.transport, n.stateMachine)
	if err != nil {
		return err
	}
	n.replica.Store(replica)
	n.raftServer.SetReceiver(replica)
	n.goroutines.Go(func() { n.watchReplica(replica) })
	n.log.Infof("node: replica %d of cell %s started", id.ID, id.Cell)
	return nil
}

// addressOf returns the address of a replica, or "" if it is unknown.
func (n *Node) addressOf(id raft.ID) string {
	return n.router.AddressOf(n.replica.Load(), id)
}
