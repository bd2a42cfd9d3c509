package plan

import (
	"sort"

	"github.com/jasmineward/jasmineward/internal/graph"
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
		if _, pending := p.in.Pending[r.ref(i)]; !pending && r.tasks[i].State == graph.TaskWaiting {
			waiting++
		}
	}
	if room < waiting && (advised == nil || !advised.Busy) && p.allowed(r) {
		p.ask(r, advised, waiting-room)
	}
	return room > 0
}

// copies returns how many more tasks of the round the target may take.
func (p *planner) copies(r *round, s *slot) int {
	most := r.step.Count
	if r.step.Spread > 0 {
		most = r.step.Spread - s.target.CountOf(r.ref(0)) - s.placed[r.key]
	}
	n := 0
	takes := r.step.Takes()
	for left := s.free; n < most && takes.Fits(left); left = left.Sub(takes) {
		n++
	}
	return n
}

// ask names the targets with the most room: first those known to be good,
// whose tickets have run out, then those not asked about yet.
func (p *planner) ask(r *round, advised *Advised, missing int) {
	type option struct {
		id     string
		known  bool
		copies int
	}
	var options []option
	for _, s := range p.targets[p.in.View.ServiceOf(r.job)] {
		id := s.target.ID.ID
		n := p.copies(r, s)
		if n == 0 || !s.target.Has(r.step.Label) {
			continue
		}
		o := option{
			id:     id,
			copies: n,
		}
		if advised != nil {
			ticket, good := advised.Good[id]
			if advised.Asked[id] && !good || good && ticket.Until.Sub(p.in.Now) >= ticketSlack {
				continue
			}
			o.known = good
		}
		options = append(options, o)
	}
	sort.SliceStable(options, func(i, j int) bool {
		if options[i].known != options[j].known {
			return options[i].known
		}
		return options[i].copies > options[j].copies
	})
	q := Question{
		Step:  r.key,
		Queue: *r.queue,
	}
	wanted := spareRoom * float64(missing)
	share := p.in.Share(r.queue.Name)
	for _, o := range options {
		if len(q.Targets) >= mostAsked || wanted <= 0 && len(q.Targets) >= leastAsked {
			break
		}
		q.Targets = append(q.Targets, o.id)
		part := share
		if o.known {
			part = 1
		}
		wanted -= part * float64(o.copies)
	}
	if len(q.Targets) > 0 {
		p.out.Questions = append(p.out.Questions, q)
	}
}
