package node

import (
	"context"
	"fmt"
	"hash/fnv"
	"sort"
	"sync/atomic"
	"time"

	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	// maxFeedWait bounds how long the leader delays its reply to an instance
	// whose configuration is current.
	maxFeedWait = time.Second
	// minFeedInterval is the minimum time between two replies to one instance,
	// so that notes in quick succession are delivered in batches.
	minFeedInterval = 100 * time.Millisecond
	// instanceTimeout is the time without a feed request after which the
	// leader no longer counts an instance as live.
	instanceTimeout = 5 * time.Second
)

// configView is a configuration and the time at which it was known to be current.
type configView struct {
	state *note.State
	// asOf is when the request was sent whose reply confirmed the state.
	asOf time.Time
}

// configFollower keeps the configuration of an instance up to date and tracks
// its age. Updates come only from a leader that holds its leader lease.
type configFollower struct {
	node *Node
	view atomic.Pointer[configView]
}

func newConfigFollower(n *Node) *configFollower {
	return &configFollower{node: n}
}

func (f *configFollower) run() {
	for f.node.ctx.Err() == nil {
		if !f.fetch() {
			group.SleepContext(f.node.ctx, minBackoff)
		}
	}
}

// fetch requests an update from the leader and reports whether it got a usable
// reply.
func (f *configFollower) fetch() bool {
	sent := time.Now()
	args := &wire.FeedArgs{
		Name:           f.node.cfg.Name,
		Address:        f.node.cfg.Advertise,
		Domain:         f.node.cfg.Domain,
		Wait:           maxFeedWait,
		MembershipHash: membershipHash(f.node.router.Membership()),
	}
	current := f.view.Load()
	if current != nil {
		args.NoteNumber = current.state.Number
		args.Digest = current.state.Digest
	}
	ctx, cancel := context.WithTimeout(f.node.ctx, maxFeedWait+callMargin)
	defer cancel()
	service := &rpcService{node: f.node}
	reply, fault := callLeader(ctx, f.node.router, wire.MethodFeed, args, maxFeedWait, service.Feed)
	if fault != nil {
		f.node.metrics.ConfigFresh.Set(0)
		return false
	}
	f.node.router.SetMembership(reply.Membership)
	return f.applyReply(current, reply, sent)
}

// applyReply advances to the configuration in the reply, and never goes back to
// an older one. It reports whether the reply was usable.
func (f *configFollower) applyReply(current *configView, reply wire.FeedReply, sent time.Time) bool {
	var state *note.State
	if current != nil {
		state = current.state
	}
	if reply.State != nil && (state == nil || reply.State.Number >= state.Number) {
		state = reply.State
	}
	if state == nil {
		return false
	}
	for _, n := range reply.Notes {
		next, err := state.Apply(n)
		if err != nil {
			f.node.log.Warnf("note: cannot apply the feed, requesting the whole state: %s", err)
			f.view.Store(nil)
			return false
		}
		state = next
	}
	f.view.Store(&configView{
		state: state,
		asOf:  sent,
	})
	f.node.metrics.ReleaseNote.Set(float64(state.Number))
	f.node.metrics.ConfigFresh.Set(1)
	return true
}

// Config returns the configuration in force on this instance, and whether it is
// fresh enough to admit work.
func (n *Node) Config() (*note.State, bool) {
	v := n.configFollower.view.Load()
	if v == nil {
		return nil, false
	}
	return v.state, time.Since(v.asOf) < n.cfg.Timing.MaxConfigAge
}

// Feed returns the notes after the one that the caller has.
func (s *rpcService) Feed(args *wire.FeedArgs, reply *wire.Reply[wire.FeedReply]) error {
	leader, fault := s.node.activeLeader()
	if fault == nil {
		reply.Value, fault = leader.feed(*args)
	}
	reply.Fault = fault
	return nil
}

func (l *leader) feed(args wire.FeedArgs) (wire.FeedReply, *wire.Fault) {
	delay := l.recordInstance(args)
	timer := time.NewTimer(min(max(args.Wait, 0), maxFeedWait))
	defer timer.Stop()
	for {
		notified := l.noteNotifier.notified()
		state := l.node.ledger.Config()
		if state.Number != args.NoteNumber || state.Digest != args.Digest || args.NoteNumber == 0 {
			l.delayReply(delay)
			return l.configUpdate(args)
		}
		if l.isDraining() {
			return wire.FeedReply{}, l.node.notLeaderFault()
		}
		select {
		case <-notified:
		case <-timer.C:
			return l.configUpdate(args)
		case <-l.ctx.Done():
			return wire.FeedReply{}, l.node.notLeaderFault()
		}
	}
}

// recordInstance records a feed request, and returns how long the next update
// to that instance must be delayed.
func (l *leader) recordInstance(args wire.FeedArgs) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	last := l.instances[args.Name].lastSeen
	l.instances[args.Name] = instanceRecord{
		status: wire.InstanceStatus{
			Name:       args.Name,
			Domain:     args.Domain,
			NoteNumber: args.NoteNumber,
		},
		lastSeen: now,
	}
	return minFeedInterval - now.Sub(last)
}

func (l *leader) delayReply(delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.ctx.Done():
	}
}

// configUpdate returns the notes after the caller's, or the whole state if those
// notes are no longer kept.
func (l *leader) configUpdate(args wire.FeedArgs) (wire.FeedReply, *wire.Fault) {
	state := l.node.ledger.Config()
	reply := wire.FeedReply{}
	if members := l.node.replica.Load().Status().Membership; membershipHash(members) != args.MembershipHash {
		reply.Membership = members
	}
	if args.Digest != state.Digest || args.NoteNumber == 0 {
		l.mu.Lock()
		reply.Notes = l.notesAfter(args.NoteNumber, state.Number)
		l.mu.Unlock()
		if reply.Notes == nil {
			snapshot := *state
			snapshot.History = map[uint64]string{}
			reply.State = &snapshot
		}
	}
	if !l.node.replica.Load().HoldsLease() || l.ctx.Err() != nil {
		return wire.FeedReply{}, l.node.notLeaderFault()
	}
	return reply, nil
}

// membershipHash returns a hash that instances compare to detect a changed
// membership.
func membershipHash(m raft.Membership) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, m)
	return hash.Sum64()
}

// notesAfter returns the notes after number, up to last, or nil if they are no
// longer kept. The caller must hold l.mu.
func (l *leader) notesAfter(number, last uint64) []note.Note {
	if number == 0 || len(l.recentNotes) == 0 || l.recentNotes[0].Number > number+1 || number > last {
		return nil
	}
	first := sort.Search(len(l.recentNotes), func(i int) bool { return l.recentNotes[i].Number > number })
	end := sort.Search(len(l.recentNotes), func(i int) bool { return l.recentNotes[i].Number > last })
	return append([]note.Note(nil), l.recentNotes[first:end]...)
}

// awaitNote waits until every live instance has the note, and returns the names
// of those that lack it when the wait ends.
func (l *leader) awaitNote(number uint64, wait time.Duration) []string {
	deadline := time.Now().Add(min(wait, maxWait))
	ticker := time.NewTicker(minFeedInterval / 2)
	defer ticker.Stop()
	for {
		lagging := l.laggingInstances(number)
		if len(lagging) == 0 || !time.Now().Before(deadline) {
			return lagging
		}
		select {
		case <-ticker.C:
		case <-l.ctx.Done():
			return lagging
		}
	}
}

func (l *leader) laggingInstances(number uint64) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name, record := range l.instances {
		if time.Since(record.lastSeen) < instanceTimeout && record.status.NoteNumber < number {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Status returns the state of the cell.
func (s *rpcService) Status(_ *wire.StatusArgs, reply *wire.Reply[wire.Status]) error {
	leader, fault := s.node.activeLeader()
	if fault == nil {
		fault = s.node.readBarrier(leader.ctx)
	}
	if fault != nil {
		reply.Fault = fault
		return nil
	}
	reply.Value = leader.status()
	return nil
}

func (l *leader) status() wire.Status {
	n := l.node
	raftStatus := n.replica.Load().Status()
	stats := l.engine.Stats()
	status := wire.Status{
		Cell:         n.cellName(),
		Leader:       n.cfg.Name,
		Term:         raftStatus.Term,
		CommitIndex:  raftStatus.Commit,
		Members:      raftStatus.Membership.Members,
		Instances:    l.instanceStatus(raftStatus),
		WaitingTasks: stats.Waiting,
		RunningTasks: stats.Running,
		Packing:      stats.Packing,
	}
	config := n.ledger.Config()
	for _, name := range config.TeamNames() {
		team := config.Teams[name]
		usage := n.ledger.Usage(name)
		status.Teams = append(status.Teams, wire.TeamStatus{
			Name:      name,
			Weight:    team.Weight(),
			Limit:     team.Limit,
			Running:   usage.Resources,
			Tasks:     usage.Tasks,
			Queued:    usage.Queued,
			Share:     stats.Shares[name],
			OverLimit: !usage.Resources.FitsIn(team.Limit),
		})
	}
	quarantined := map[string]bool{}
	for _, id := range l.engine.Quarantined() {
		quarantined[id] = true
	}
	for _, target := range n.ledger.Targets() {
		status.Targets = append(status.Targets, wire.TargetStatus{
			Target:      target,
			Quarantined: quarantined[target.ID],
		})
	}
	return status
}

func (l *leader) instanceStatus(raftStatus raft.Status) []wire.InstanceStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var statuses []wire.InstanceStatus
	for _, record := range l.instances {
		status := record.status
		status.SinceLastContact = time.Since(record.lastSeen)
		status.Role = "entry"
		for _, member := range raftStatus.Membership.Members {
			if member.Name != status.Name {
				continue
			}
			status.Role = "learner"
			if member.Voter {
				status.Role = "voter"
			}
			if member.ID == raftStatus.Leader {
				status.Role = "leader"
			}
		}
		statuses = append(statuses, status)
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Name < statuses[j].Name })
	return statuses
}
