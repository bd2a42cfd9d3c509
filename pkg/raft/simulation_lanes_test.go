package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	// simOverdue is after how long without delivery a message is sent again.
	simOverdue = 10 * time.Millisecond
	// simRetransmission is how long a lost packet holds up its lane, which is half of
	// the election timeout as on the platform.
	simRetransmission = simElectionTimeout / 2
	// simLanesPerLink is the number of lanes from one replica to another.
	simLanesPerLink = 4
)

// simLink is the state of the lanes from one replica to another.
type simLink struct {
	// heldUntil is the time before which nothing more arrives over a lane.
	heldUntil [simLanesPerLink]time.Duration
	// current is the lane for messages without entries, and for those with entries.
	current [2]int
}

// simLanes delays messages as a transport does that has several ordered connections to
// each replica over links that lose packets: messages with and without entries overtake
// each other, and some are sent again on another connection and arrive twice.
type simLanes struct {
	// losses is the number of messages of 100 that hold up their lane.
	losses int
	links  map[[2]ID]*simLink
}

func newSimLanes(losses int) *simLanes {
	return &simLanes{
		losses: losses,
		links:  map[[2]ID]*simLink{},
	}
}

// send returns the deliveries of the message.
func (l *simLanes) send(m Message, now time.Duration, choices choiceSource) []delayedMessage {
	key := [2]ID{m.From, m.To}
	link := l.links[key]
	if link == nil {
		link = &simLink{current: [2]int{0, 1}}
		l.links[key] = link
	}
	class := min(len(m.Entries), 1)
	sent := now
	var deliveries []delayedMessage
	for range simLanesPerLink {
		at := l.sendOver(link, class, sent, choices)
		deliveries = append(deliveries, delayedMessage{
			at:      at,
			message: m,
		})
		// Some are not sent again, because the allowance has been used up.
		if at-sent <= simOverdue || choices.pick(10) == 0 {
			break
		}
		sent += simOverdue
		link.current[class] = (link.current[class] + 1) % simLanesPerLink
	}
	return deliveries
}

// sendOver returns when a message that is sent over the current lane arrives.
func (l *simLanes) sendOver(link *simLink, class int, sent time.Duration, choices choiceSource) time.Duration {
	lane := &link.heldUntil[link.current[class]]
	at := sent + time.Duration(1+choices.pick(3))*time.Millisecond
	for hold := simRetransmission; choices.pick(100) < l.losses; hold *= 2 {
		at += hold
	}
	*lane = max(*lane, at)
	return *lane
}

// Messages that overtake each other or arrive twice, because they went over several
// connections, must not break what the log promises.
func TestSimulationOverLanes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.IntRange(1, simulationSteps).Draw(rt, "steps")
		choices := randomChoices{rand.New(rand.NewPCG(seed, 4))}
		s := newSimGroup(choices, faultNone, []int{3, 5, 7}[choices.pick(3)])
		s.lanes = newSimLanes(choices.pick(3) * 10)
		if err := s.run(steps); err != nil {
			rt.Fatalf("seed %d, %d steps: %s", seed, steps, err)
		}
	})
}

// runOverLanes runs three replicas under a steady load, without other faults than lost
// packets, and returns the numbers of elections and commits of the leader.
func runOverLanes(t *testing.T, seed uint64) (elections int, commits uint64) {
	choices := randomChoices{rand.New(rand.NewPCG(seed, 5))}
	s := newSimGroup(choices, faultNone, 3)
	qt.Assert(t, s.advance(400*time.Millisecond), qt.IsNil)
	before := s.electionCount
	s.lanes = newSimLanes(5)
	for range 1500 {
		s.propose(s.replicas[1])
		qt.Assert(t, s.advance(2*time.Millisecond), qt.IsNil)
	}
	for _, r := range s.replicas {
		commits = max(commits, r.core.commit)
	}
	return s.electionCount - before, commits
}

// A heartbeat that overtook the entries before it was rejected. The leader then went
// back to probing and sent everything again, so that a lossy link carried little else.
func TestOvertakingHeartbeatsDoNotStopCommits(t *testing.T) {
	elections, fewest := 0, uint64(1500)
	for seed := range uint64(20) {
		lost, commits := runOverLanes(t, seed)
		elections += lost
		fewest = min(fewest, commits)
	}
	t.Logf("%d elections, at least %d commits", elections, fewest)
	qt.Check(t, elections, qt.Equals, 0)
	qt.Check(t, fewest > 1400, qt.IsTrue)
}
