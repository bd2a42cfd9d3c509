package raft

import "time"

// ownObservationTimeouts is how many election timeouts a new leader waits for the
// replies of members itself before it counts the silence that the leader before it
// has seen.
const ownObservationTimeouts = 2

// Observation is what the leader observes of the other members.
type Observation struct {
	// Leading is how long the replica has led.
	Leading time.Duration
	// SinceLastReply is the time since the last reply of each other member. It goes on
	// counting across changes of the leader, as far as the leaders told each other.
	SinceLastReply map[ID]time.Duration
}

// Observe returns what the leader observes of the other members. It is only meaningful
// on the leader.
func (c *Core) Observe() Observation {
	o := Observation{
		Leading:        c.now - c.leaderSince,
		SinceLastReply: make(map[ID]time.Duration, len(c.progress)),
	}
	for id, pr := range c.progress {
		if id == c.cfg.ID {
			continue
		}
		o.SinceLastReply[id] = c.now - pr.lastReplyAt
		if o.Leading < ownObservationTimeouts*c.cfg.ElectionTimeout {
			o.SinceLastReply[id] = min(o.SinceLastReply[id], o.Leading)
		}
	}
	return o
}

// silentMembers returns the members that have not replied for an election timeout.
func (c *Core) silentMembers() []Silence {
	var silent []Silence
	for _, member := range c.membership.Members {
		pr := c.progress[member.ID]
		if member.ID == c.cfg.ID || pr == nil || c.now-pr.lastReplyAt < c.cfg.ElectionTimeout {
			continue
		}
		silent = append(silent, Silence{
			ID:  member.ID,
			For: c.now - pr.lastReplyAt,
		})
	}
	return silent
}

// recordSilence records what the leader says of the members in an append.
func (c *Core) recordSilence(m Message) {
	c.lastHeard = map[ID]time.Duration{m.From: c.now}
	for _, silence := range m.Silent {
		c.lastHeard[silence.ID] = c.now - silence.For
	}
}

// keepLastReplies keeps the times of the last replies when the leader steps down, for
// the case that it is elected again before it hears from another leader. The time since
// a quorum last replied is left out: the leader itself was cut off or suspended then.
func (c *Core) keepLastReplies() {
	cutOff := c.now - max(c.quorumAckTime(), c.leaderSince)
	c.lastHeard = make(map[ID]time.Duration, len(c.progress))
	for id, pr := range c.progress {
		c.lastHeard[id] = min(pr.lastReplyAt+cutOff, c.now)
	}
}

// advance sets the time. A step longer than an election timeout is a suspension of this
// replica, which says nothing about the others.
func (c *Core) advance(now time.Duration) {
	if gap := now - c.now; gap > c.cfg.ElectionTimeout {
		for id := range c.lastHeard {
			c.lastHeard[id] += gap
		}
	}
	c.now = now
}

// lastHeardFrom returns when the member was last heard from. A member that is not known
// to be silent counts as heard from now.
func (c *Core) lastHeardFrom(id ID) time.Duration {
	if at, ok := c.lastHeard[id]; ok {
		return min(at, c.now)
	}
	return c.now
}
