package plan

import (
	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

const (
	// hasty is the weight of a target's speed for the most urgent work.
	hasty = 4.0
	// sound is the speed below which a target is avoided by all.
	sound = 0.6
	// failedHere outweighs all else: a task is not tried again where it has just
	// failed, unless nothing else is free.
	failedHere = 20.0
	// urgentPart is the part of a tenant's limit that is kept for its urgent
	// work while it has some.
	urgentPart = 0.2
)

// placeRound places what it can of a round.
func (p *planner) placeRound(r *round) {
	var advised *Advised
	if r.queue != nil && r.queue.Advice != nil {
		advised = p.in.Advice(r.key)
		if !p.advisable(r, advised) {
			p.out.Waits[r.key] = p.reason(r, advised)
			return
		}
	}
	var spots []graph.Spot
	var run uint32
	for i := range r.tasks {
		run = max(run, r.tasks[i].Run+1)
	}
	for i := range r.tasks {
		task := &r.tasks[i]
		ref := r.key.Task(i)
		if !p.waits(r, i) || task.Held >= r.step.MostRuns() {
			continue
		}
		s := p.choose(r, ref, advised)
		if s == nil {
			p.out.Waits[r.key] = p.reason(r, advised)
			if r.step.Gang {
				p.undo(r, spots)
				return
			}
			break
		}
		spot := graph.Spot{
			Task:   ref,
			Run:    task.Run + 1,
			Target: s.target.ID,
		}
		if r.step.Gang {
			spot.Run = run
		}
		p.take(r, s, advised, ref)
		spots = append(spots, spot)
	}
	p.commit(r, spots)
}

func (p *planner) commit(r *round, spots []graph.Spot) {
	if len(spots) == 0 {
		return
	}
	p.spots += len(spots)
	if r.step.Gang {
		if len(spots) == len(r.tasks) {
			p.out.Groups = append(p.out.Groups, spots)
		} else {
			p.undo(r, spots)
		}
		return
	}
	for _, spot := range spots {
		p.out.Groups = append(p.out.Groups, []graph.Spot{spot})
	}
}

func (p *planner) take(r *round, s *slot, advised *Advised, ref graph.TaskRef) {
	s.free = s.free.Sub(r.step.Takes())
	s.count(r.key, 1)
	p.used[r.job.Tenant] = p.used[r.job.Tenant].Add(r.step.Room)
	if r.step.Filler {
		p.neighbours(s).fills++
	} else if r.step.Latency > 0 {
		p.neighbours(s).serves++
	}
	if advised != nil {
		p.out.Tickets[ref] = advised.Good[s.target.ID.ID].Value
	}
}

func (p *planner) undo(r *round, spots []graph.Spot) {
	for _, spot := range spots {
		s := p.byID[spot.Target.ID]
		s.free = s.free.Add(r.step.Takes())
		s.count(r.key, -1)
		p.used[r.job.Tenant] = p.used[r.job.Tenant].Sub(r.step.Room)
		delete(p.out.Tickets, spot.Task)
	}
}

// reason returns why the round's next task can't be placed now.
func (p *planner) reason(r *round, advised *Advised) Reason {
	switch {
	case !p.allowed(r):
		return WaitsLimit
	case r.queue != nil && r.queue.Advice != nil && (advised == nil || advised.Busy):
		return WaitsAdvice
	}
	return WaitsRoom
}

// allowed tells whether the tenant's limit has place for one more task.
func (p *planner) allowed(r *round) bool {
	usage, tenant := p.in.View.Tenant(r.job.Tenant)
	if tenant == nil {
		return true
	}
	sum := usage.Add(p.used[r.job.Tenant]).Add(r.step.Room)
	return graph.Within(sum, p.limitFor(r, tenant))
}

// limitFor returns how much of the tenant's limit the round may fill. A part
// is kept for the tenant's urgent work, which would otherwise wait behind its
// own batch work for much longer than it takes itself.
func (p *planner) limitFor(r *round, tenant *graph.Tenant) quota.Room {
	if r.priority == 0 || r.step.Gang || !p.urgent[r.job.Tenant] {
		return tenant.Limit
	}
	part := tenant.Limit.Scale(1 - urgentPart)
	if !graph.Within(r.step.Room, part) {
		return tenant.Limit
	}
	return part
}

// choose returns the target for a task, or nil.
func (p *planner) choose(r *round, ref graph.TaskRef, advised *Advised) *slot {
	if !p.allowed(r) {
		return nil
	}
	var best *slot
	bestScore := 0.0
	for _, s := range p.candidates(r, advised) {
		if !p.fits(r, ref, s, advised) {
			continue
		}
		score := p.score(r, s)
		if task := &r.tasks[ref.Index]; task.Failures > 0 && task.Target == s.target.ID {
			score -= failedHere
		}
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// candidates returns the targets that may run the round: those that the
// advisor called good, where it is asked.
func (p *planner) candidates(r *round, advised *Advised) []*slot {
	service := p.in.View.ServiceOf(r.job)
	if advised == nil {
		return p.roomiest(service)
	}
	if r.good != nil {
		return r.good
	}
	r.good = make([]*slot, 0, len(advised.Good))
	for id := range advised.Good {
		if s := p.byID[id]; s != nil && s.target.Service == service {
			r.good = append(r.good, s)
		}
	}
	return r.good
}

func (p *planner) fits(r *round, ref graph.TaskRef, s *slot, advised *Advised) bool {
	if !r.step.Takes().Fits(s.free) || !s.target.Has(r.step.Label) {
		return false
	}
	if _, there := s.target.Runs[ref]; there {
		return false
	}
	if advised != nil {
		ticket, ok := advised.Good[s.target.ID.ID]
		if !ok || ticket.Until.Sub(p.in.Now) < ticketSlack {
			return false
		}
	}
	return r.step.Spread == 0 || s.target.CountOf(ref)+s.placed[r.key] < r.step.Spread
}

// haste is how much the speed of a target counts. All but the most urgent
// work leaves fast targets to others, but for those that hardly work at all.
func (r *round) haste(speed float64) float64 {
	switch {
	case r.priority == 0:
		return hasty * speed
	case speed < sound:
		return -hasty
	}
	return -speed
}

// score rates a target that fits: fast ones, near the data, beside alike
// work, and of these the fullest, so that wide tasks still find room.
func (p *planner) score(r *round, s *slot) float64 {
	score := r.haste(s.speed)
	if r.step.Rack != "" && s.target.Rack == r.step.Rack {
		score += 4
	}
	if r.step.Tight && s.placed[r.key] > 0 {
		score += 4
	}
	if r.step.Filler && p.neighbours(s).serves > 0 {
		score -= 8
	}
	if r.step.Latency > 0 && p.neighbours(s).fills > 0 {
		score -= 8
	}
	return score - s.free.Dominant(s.target.Capacity)
}
