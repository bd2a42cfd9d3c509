package group

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// TransferLeadership transfers the leadership to another voter if this instance
// is the leader.
func (h *Host) TransferLeadership(ctx context.Context) {
	if replica := h.replica.Load(); replica != nil {
		TransferLeadership(ctx, replica, h.cfg.HeartbeatInterval, h.cfg.ElectionTimeout, h.log)
	}
}

// TransferLeadership transfers the replica's leadership, if it is the leader,
// to the voter with the most recent reply. It returns when the transfer has
// completed, when there is no other voter, or when the context ends.
func TransferLeadership(
	ctx context.Context, replica *raft.Replica, heartbeat, election time.Duration, log *logrus.Logger,
) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	requestedAt := time.Time{}
	for replica.Status().Role == raft.RoleLeader {
		if time.Since(requestedAt) > 2*election {
			requestedAt = time.Now()
			if to := successor(ctx, replica); to != 0 {
				log.Infof("node: transferring leadership to replica %d", to)
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

// successor returns the other voter with the most recent reply, or 0 if there is
// none.
func successor(ctx context.Context, replica *raft.Replica) raft.ID {
	sinceLastReply := replica.Observe(ctx).SinceLastReply
	var best raft.ID
	for _, id := range replica.Status().Membership.Voters() {
		duration, ok := sinceLastReply[id]
		if !ok {
			continue
		}
		if best == 0 || duration < sinceLastReply[best] {
			best = id
		}
	}
	return best
}
