package group

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// MemberWatch logs what the leader observes of the other members whenever it
// changes, and keeps it for the metrics.
type MemberWatch struct {
	log *logrus.Logger

	mu sync.Mutex
	// silent holds the members that do not respond.
	silent map[raft.ID]bool
	// voters counts the voters, and silentVoters those that do not respond.
	voters       int
	silentVoters int
	obstacle     Obstacle
	changeError  string
}

// NewMemberWatch returns a watch that has observed nothing yet.
func NewMemberWatch(log *logrus.Logger) *MemberWatch {
	return &MemberWatch{
		log:    log,
		silent: map[raft.ID]bool{},
	}
}

// RecordPlan compares the leader's view of the members with the one before. It logs
// members that stopped or resumed responding, and why an unresponsive voter stays.
func (w *MemberWatch) RecordPlan(plan VoterPlan) {
	w.mu.Lock()
	defer w.mu.Unlock()
	silent := map[raft.ID]bool{}
	w.voters, w.silentVoters = 0, 0
	for _, member := range plan.Status.Membership.Members {
		since := plan.silenceOf(member)
		if since >= responsiveWithin {
			silent[member.ID] = true
		}
		if member.Voter {
			w.voters++
			if silent[member.ID] {
				w.silentVoters++
			}
		}
		w.logTransition(member, since, silent[member.ID])
	}
	w.silent = silent
	obstacle := plan.Obstacle()
	if obstacle != w.obstacle && obstacle != "" {
		w.log.WithField("reason", obstacle).Warn("member: silent voter stays")
	}
	w.obstacle = obstacle
}

func (w *MemberWatch) logTransition(member raft.Member, since time.Duration, silent bool) {
	if silent == w.silent[member.ID] {
		return
	}
	entry := w.log.WithFields(logrus.Fields{
		"name":    member.Name,
		"address": member.Address,
		"voter":   member.Voter,
	})
	if silent {
		entry.WithField("since-ms", since.Milliseconds()).Warn("member: no reply")
		return
	}
	entry.Info("member: replies again")
}

// RecordChange logs the outcome of a membership change. An error that repeats is
// logged once.
func (w *MemberWatch) RecordChange(description string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.changeError = ""
		w.log.Infof("member: %s", description)
		return
	}
	if text := err.Error(); text != w.changeError {
		w.changeError = text
		w.log.WithError(err).WithField("change", description).Warn("member: membership change failed")
	}
}

// Reset forgets what was observed. It is called while this instance does not lead.
func (w *MemberWatch) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.silent)
	w.voters, w.silentVoters = 0, 0
	w.obstacle = ""
	w.changeError = ""
}

// Voters returns how many voters the group has and how many of them do not respond,
// as this leader sees them, or zeros on an instance that does not lead.
func (h *Host) Voters() (all, silent int) {
	h.members.mu.Lock()
	defer h.members.mu.Unlock()
	return h.members.voters, h.members.silentVoters
}
