package plan

import (
	"fmt"
	"hash/fnv"
	"iter"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
)

const (
	// maxQuestions bounds the questions of one decision, which comes before the
	// next by milliseconds only.
	maxQuestions = 16
	// A call for advice names at least leastAsked and at most mostAsked
	// targets, and so many that spareRoom times the tasks should find room.
	leastAsked = 8
	mostAsked  = 40
	spareRoom  = 3.0
)

// advisable tells whether there is advice to place the round by. If not, or
// if too little of it is left, it asks.
func (p *planner) advisable(r *round, advised *Advised) bool {
	room := 0
	if advised != nil {
		for id, ticket := range advised.Good {
			s := p.byID[id]
			if s != nil && ticket.Until.Sub(p.in.Now) >= ticketSlack {
				room += p.copies(r, s)
			}
		}
	}
	waiting := 0
	for i := range r.tasks {
		if p.waits(r, i) {
			waiting++
		}
	}
	if room < waiting && (advised == nil || !advised.Busy) && p.allowed(r) {
		p.ask(r, advised, waiting-room)
	}
	return room > 0
}

// waits tells whether a task is neither placed nor about to be.
func (p *planner) waits(r *round, index int) bool {
	_, pending := p.in.Pending[r.key.Task(index)]
	return !pending && r.tasks[index].State == graph.TaskWaiting
}

// copies returns how many more tasks of the round the target may take.
func (p *planner) copies(r *round, s *slot) int {
	most := r.step.Count
	if r.step.Spread > 0 {
		most = r.step.Spread - s.target.CountOf(r.key.Task(0)) - s.placed[r.key]
	}
	return min(most, r.step.Takes().Copies(s.free))
}

// ask names targets to ask about: first those known to be good whose tickets
// have run out, then those with the most room that were not asked about yet.
func (p *planner) ask(r *round, advised *Advised, missing int) {
	if len(p.out.Questions) >= maxQuestions {
		return
	}
	q := Question{
		Step:  r.key,
		Queue: *r.queue,
	}
	if !p.mayAsk(q.Queue.Advice.Base + leastAsked*q.Queue.Advice.Each) {
		return
	}
	wanted := spareRoom * float64(missing)
	if advised != nil {
		for id, ticket := range advised.Good {
			if s := p.byID[id]; s != nil && ticket.Until.Sub(p.in.Now) < ticketSlack {
				wanted -= p.name(&q, r, s, 1)
			}
		}
	}
	share := p.in.Share(r.queue.Name)
	for s := range p.fromOwnPlace(r) {
		if len(q.Targets) >= mostAsked || wanted <= 0 && len(q.Targets) >= leastAsked {
			break
		}
		if advised == nil || !advised.Asked[s.target.ID.ID] {
			wanted -= p.name(&q, r, s, share)
		}
	}
	if len(q.Targets) > 0 {
		p.out.Questions = append(p.out.Questions, q)
	}
}

// fromOwnPlace goes through the targets of the round's service: the half with
// more room first, from a place in it that differs by step. Steps that ask at
// the same time so get different answers, and do not take each other's room.
func (p *planner) fromOwnPlace(r *round) iter.Seq[*slot] {
	slots := p.roomiest(p.in.View.ServiceOf(r.job))
	half := (len(slots) + 1) / 2
	start := int(r.key.hash() % uint64(max(half, 1)))
	return func(yield func(*slot) bool) {
		for i, s := range slots {
			if i < half {
				s = slots[(start+i)%half]
			}
			if !yield(s) {
				return
			}
		}
	}
}

// hash spreads steps evenly.
func (k StepKey) hash() uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, k.Job, k.Occurrence, k.Step)
	return h.Sum64()
}

// mayAsk tells whether a call that takes so long could be made soon. Where one
// could not, none that takes longer could.
func (p *planner) mayAsk(cost time.Duration) bool {
	if p.tooLong > 0 && cost >= p.tooLong {
		return false
	}
	if p.in.MayAsk(cost) {
		return true
	}
	p.tooLong = cost
	return false
}

// name adds the target to the question, if it has room for the round, and
// returns how many tasks it should take when it is good with the chance.
func (p *planner) name(q *Question, r *round, s *slot, chance float64) float64 {
	n := p.copies(r, s)
	if n == 0 || len(q.Targets) >= mostAsked || !s.target.Has(r.step.Label) {
		return 0
	}
	q.Targets = append(q.Targets, s.target.ID.ID)
	return chance * float64(n)
}
