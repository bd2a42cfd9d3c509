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
	feedWait = time.Second
	// feedGap is the least time between two answers to one follower, so that
	// a stream of notes reaches it in batches.
	feedGap = 100 * time.Millisecond
	// goneAfter is when the leader no longer counts an instance as live.
	goneAfter = 5 * time.Second
)

// view is the configuration that a follower has.
type view struct {
	state *note.State
	// asOf is when the request was sent whose answer confirmed it.
	asOf time.Time
}

// follower keeps the configuration of an instance up to date, and knows how
// old it may be. Only the leader answers it, and only while it is surely the
// leader.
type follower struct {
	node *Node
	view atomic.Pointer[view]
}

func newFollower(n *Node) *follower {
	return &follower{node: n}
}

func (f *follower) run() {
	for f.node.ctx.Err() == nil {
		if !f.once() {
			group.Pause(f.node.ctx, minBackoff)
		}
	}
}

// once asks the leader for news, and tells whether it answered.
func (f *follower) once() bool {
	sent := time.Now()
	args := &wire.FeedArgs{
		Name:    f.node.cfg.Name,
		Address: f.node.cfg.Advertise,
		Domain:  f.node.cfg.Domain,
		Wait:    feedWait,
		Members: sumOf(f.node.router.Members()),
	}
	current := f.view.Load()
	if current != nil {
		args.Number = current.state.Number
		args.Digest = current.state.Digest
	}
	ctx, cancel := context.WithTimeout(f.node.ctx, feedWait+callSlack)
	defer cancel()
	calls := &calls{node: f.node}
	reply, fault := route(ctx, f.node.router, wire.MethodFeed, args, feedWait, calls.Feed)
	if fault != nil {
		f.node.meter.Fresh.Set(0)
		return false
	}
	f.node.router.LearnMembers(reply.Membership)
	return f.take(current, reply, sent)
}

// take moves on to the configuration in the reply. It never moves back.
func (f *follower) take(current *view, reply wire.FeedReply, sent time.Time) bool {
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
			f.node.log.Warnf("note: feed does not follow: %s", err)
			f.view.Store(nil)
			return false
		}
		state = next
	}
	f.view.Store(&view{
		state: state,
		asOf:  sent,
	})
	f.node.meter.Note.Set(float64(state.Number))
	f.node.meter.Fresh.Set(1)
	return true
}

// Config returns the configuration in force here, and whether it is fresh
// enough to admit work by.
func (n *Node) Config() (*note.State, bool) {
	v := n.follow.view.Load()
	if v == nil {
		return nil, false
	}
	return v.state, time.Since(v.asOf) < n.cfg.Timing.Fresh
}

// Feed brings a follower the notes after the one it has.
func (c *calls) Feed(args *wire.FeedArgs, reply *wire.Reply[wire.FeedReply]) error {
	lead, fault := c.node.leading()
	if fault == nil {
		reply.Value, fault = lead.feed(*args)
	}
	reply.Fault = fault
	return nil
}

func (l *leader) feed(args wire.FeedArgs) (wire.FeedReply, *wire.Fault) {
	gap := l.seen(args)
	timer := time.NewTimer(min(max(args.Wait, 0), feedWait))
	defer timer.Stop()
	for {
		raised := l.noteUp.wait()
		state := l.node.ledger.Config()
		if state.Number != args.Number || state.Digest != args.Digest || args.Number == 0 {
			l.settle(gap)
			return l.news(args)
		}
		if l.isReleased() {
			return wire.FeedReply{}, l.node.notLeader()
		}
		select {
		case <-raised:
		case <-timer.C:
			return l.news(args)
		case <-l.ctx.Done():
			return wire.FeedReply{}, l.node.notLeader()
		}
	}
}

// seen notes the follower, and returns how long its next news should wait.
func (l *leader) seen(args wire.FeedArgs) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	last := l.instances[args.Name].at
	l.instances[args.Name] = instanceSeen{
		status: wire.InstanceStatus{
			Name:   args.Name,
			Domain: args.Domain,
			Note:   args.Number,
		},
		at: now,
	}
	return feedGap - now.Sub(last)
}

func (l *leader) settle(gap time.Duration) {
	if gap <= 0 {
		return
	}
	timer := time.NewTimer(gap)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.ctx.Done():
	}
}

// news returns the notes after the follower's, or the whole state where
// those are not kept.
func (l *leader) news(args wire.FeedArgs) (wire.FeedReply, *wire.Fault) {
	state := l.node.ledger.Config()
	reply := wire.FeedReply{}
	if members := l.node.replica.Load().Status().Membership; sumOf(members) != args.Members {
		reply.Membership = members
	}
	if args.Digest != state.Digest || args.Number == 0 {
		l.mu.Lock()
		reply.Notes = l.notesAfter(args.Number, state.Number)
		l.mu.Unlock()
		if reply.Notes == nil {
			brief := *state
			brief.History = map[uint64]string{}
			reply.State = &brief
		}
	}
	if !l.node.replica.Load().LeaseLive() || l.ctx.Err() != nil {
		return wire.FeedReply{}, l.node.notLeader()
	}
	return reply, nil
}

// sumOf returns a sum by which two memberships are told apart.
func sumOf(m raft.Membership) uint64 {
	sum := fnv.New64a()
	_, _ = fmt.Fprint(sum, m)
	return sum.Sum64()
}

func (l *leader) notesAfter(number, last uint64) []note.Note {
	if number == 0 || len(l.notes) == 0 || l.notes[0].Number > number+1 || number > last {
		return nil
	}
	first := sort.Search(len(l.notes), func(i int) bool { return l.notes[i].Number > number })
	end := sort.Search(len(l.notes), func(i int) bool { return l.notes[i].Number > last })
	return append([]note.Note(nil), l.notes[first:end]...)
}

// awaitInForce waits until every live instance has the note, and returns
// those that do not when time is up.
func (l *leader) awaitInForce(number uint64, wait time.Duration) []string {
	deadline := time.Now().Add(min(wait, maxWait))
	ticker := time.NewTicker(feedGap / 2)
	defer ticker.Stop()
	for {
		behind := l.behind(number)
		if len(behind) == 0 || !time.Now().Before(deadline) {
			return behind
		}
		select {
		case <-ticker.C:
		case <-l.ctx.Done():
			return behind
		}
	}
}

func (l *leader) behind(number uint64) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name, seen := range l.instances {
		if time.Since(seen.at) < goneAfter && seen.status.Note < number {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Status tells of the cell.
func (c *calls) Status(_ *wire.StatusArgs, reply *wire.Reply[wire.Status]) error {
	lead, fault := c.node.leading()
	if fault == nil {
		fault = c.node.read(lead.ctx)
	}
	if fault != nil {
		reply.Fault = fault
		return nil
	}
	reply.Value = lead.status()
	return nil
}

func (l *leader) status() wire.Status {
	n := l.node
	replica := n.replica.Load().Status()
	stats := l.engine.Stats()
	status := wire.Status{
		Cell:      n.cellName(),
		Leader:    n.cfg.Name,
		Term:      replica.Term,
		Commit:    replica.Commit,
		Members:   replica.Membership.Members,
		Instances: l.instanceStatus(replica),
		Waiting:   stats.Waiting,
		Running:   stats.Running,
		Packing:   stats.Packing,
	}
	config := n.ledger.Config()
	for _, name := range config.TeamNames() {
		team := config.Teams[name]
		usage := n.ledger.Usage(name)
		status.Teams = append(status.Teams, wire.TeamStatus{
			Name:      name,
			Weight:    team.Weight(),
			Limit:     team.Limit,
			Running:   usage.Running,
			Tasks:     usage.Tasks,
			Queued:    usage.Queued,
			Share:     stats.Shares[name],
			OverLimit: !usage.Running.Fits(team.Limit),
		})
	}
	sick := map[string]bool{}
	for _, id := range l.engine.Quarantined() {
		sick[id] = true
	}
	for _, target := range n.ledger.Targets() {
		status.Targets = append(status.Targets, wire.TargetStatus{
			Target:      target,
			Quarantined: sick[target.ID],
		})
	}
	return status
}

func (l *leader) instanceStatus(replica raft.Status) []wire.InstanceStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []wire.InstanceStatus
	for _, seen := range l.instances {
		status := seen.status
		status.Silent = time.Since(seen.at)
		status.Role = "entry"
		for _, member := range replica.Membership.Members {
			if member.Name != status.Name {
				continue
			}
			status.Role = "learner"
			if member.Voter {
				status.Role = "voter"
			}
			if member.ID == replica.Leader {
				status.Role = "leader"
			}
		}
		all = append(all, status)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}
