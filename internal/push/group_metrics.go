package push

import (
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

// Names of the metrics that tell of the group. They are needed most when nothing else is
// served.
const (
	metricLeading      = "jasmineward_leading"
	metricLeaderSilent = "jasmineward_leader_silent_seconds"
	metricRaftTerm     = "jasmineward_raft_term"
	metricRaftCommit   = "jasmineward_raft_commit_index"
	metricRaftLast     = "jasmineward_raft_last_index"
	metricMayVote      = "jasmineward_may_vote"
	metricVoters       = "jasmineward_voters"
	metricVotersSilent = "jasmineward_voters_silent"
)

// groupMetrics are the metrics that come first in a response.
var groupMetrics = []string{
	metricLeading,
	metricLeaderSilent,
	metricMayVote,
	metricVoters,
	metricVotersSilent,
	metricRaftTerm,
	metricRaftCommit,
	metricRaftLast,
}

// addGroupGauges registers the gauges that tell of the group.
func (s *Scheduler) addGroupGauges(host *group.Host) {
	s.AddGauge(metricVoters, "Voters of the group; zero on an instance that does not lead.",
		func() float64 { all, _ := host.Voters(); return float64(all) })
	s.AddGauge(metricVotersSilent, "Voters that have not replied to this leader for a second.",
		func() float64 { _, silent := host.Voters(); return float64(silent) })
	s.AddGauge(metricLeaderSilent, "Time since the leader last replied to this instance; zero on the leader.",
		func() float64 { return host.LeaderSilence().Seconds() })
	replicaGauge := func(name, help string, value func(raft.Status) float64) {
		s.AddGauge(name, help, func() float64 {
			replica := host.Replica()
			if replica == nil {
				return 0
			}
			return value(replica.Status())
		})
	}
	replicaGauge(metricRaftTerm, "Term of the replica; zero without one.",
		func(status raft.Status) float64 { return float64(status.Term) })
	replicaGauge(metricRaftCommit, "Index of the last entry that the replica knows to be committed.",
		func(status raft.Status) float64 { return float64(status.Commit) })
	replicaGauge(metricRaftLast, "Index of the last entry of the replica.",
		func(status raft.Status) float64 { return float64(status.Last) })
	replicaGauge(metricMayVote, "1 if the replica is a voter as far as it knows.",
		func(status raft.Status) float64 {
			if member, ok := status.Membership.Find(status.ID); ok && member.Voter {
				return 1
			}
			return 0
		})
}
