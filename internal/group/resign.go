package group

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// Resign hands the leadership over, if this instance has it.
func (h *Host) Resign(ctx context.Context) {
	if replica := h.replica.Load(); replica != nil {
		HandOver(ctx, replica, h.cfg.Heartbeat, h.cfg.Election, h.log)
	}
}

// HandOver gives the replica's leadership, if it has it, to the voter heard
// from last. It returns when that is done, when there is no other voter, or
// when the context ends.
func HandOver(
	ctx context.Context, replica *raft.Replica, heartbeat, election time.Duration, log *logrus.Logger,
) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	asked := time.Time{}
	for replica.Status().Role == raft.RoleLeader {
		if time.Since(asked) > 2*election {
			asked = time.Now()
			if to := successor(ctx, replica); to != 0 {
				log.Infof("node: handing leadership to %d", to)
				replica.Transfer(to)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if len(replica.Status().Membership.Voters()) == 1 {
			return
		}
	}
}

// successor returns the other voter that has been heard from last.
func successor(ctx context.Context, replica *raft.Replica) raft.ID {
	silent := replica.Silent(ctx)
	var best raft.ID
	for _, id := range replica.Status().Membership.Voters() {
		quiet, ok := silent[id]
		if !ok {
			continue
		}
		if best == 0 || quiet < silent[best] {
			best = id
		}
	}
	return best
}
