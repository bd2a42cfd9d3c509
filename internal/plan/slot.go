package plan

import (
	"sort"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// slot is a target with the room that is left in this decision.
type slot struct {
	target *graph.Target
	free   quota.Room
	placed map[StepKey]int
	speed  float64
	// roomy is the dominant share that was free at the start.
	roomy float64
	// beside counts what runs there already; it is nil until it is needed.
	beside *beside
}

// beside counts the lasting tasks with a latency on a target, and the filler
// tasks.
type beside struct {
	serves int
	fills  int
}

func (p *planner) slots() {
	targets := p.in.View.Targets()
	all := make([]slot, 0, len(targets))
	p.byID = make(map[string]*slot, len(targets))
	for id, t := range targets {
		if t.Leaving || !p.in.Usable(id) {
			continue
		}
		all = append(all, slot{
			target: t,
			free:   t.Free(),
			speed:  p.in.Speed(id),
		})
		s := &all[len(all)-1]
		p.targets[t.Service] = append(p.targets[t.Service], s)
		p.byID[id.ID] = s
	}
	p.reserve()
}

// roomiest returns the targets of the service, those with the most room at the
// start of the decision first.
func (p *planner) roomiest(service string) []*slot {
	slots := p.targets[service]
	if p.sorted[service] {
		return slots
	}
	p.sorted[service] = true
	for _, s := range slots {
		s.roomy = s.free.Dominant(s.target.Capacity)
	}
	sort.Slice(slots, func(i, j int) bool {
		if slots[i].roomy != slots[j].roomy {
			return slots[i].roomy > slots[j].roomy
		}
		return slots[i].target.ID.ID < slots[j].target.ID.ID
	})
	return slots
}

// neighbours returns what runs on the target already.
func (p *planner) neighbours(s *slot) *beside {
	if s.beside != nil {
		return s.beside
	}
	s.beside = &beside{}
	for ref, held := range s.target.Runs {
		if held.Filler {
			s.beside.fills++
		} else if job := p.in.View.Jobs()[ref.Job]; job != nil && job.Spec.Steps[ref.Step].Latency > 0 {
			s.beside.serves++
		}
	}
	return s.beside
}

// count notes more tasks of the step on the target.
func (s *slot) count(key StepKey, more int) {
	if s.placed == nil {
		s.placed = map[StepKey]int{}
	}
	s.placed[key] += more
}

// reserve takes the room of placements that are on their way.
func (p *planner) reserve() {
	for ref, id := range p.in.Pending {
		job := p.in.View.Jobs()[ref.Job]
		if job == nil || job.Task(ref).State != graph.TaskWaiting {
			continue
		}
		step := &job.Spec.Steps[ref.Step]
		p.used[job.Tenant] = p.used[job.Tenant].Add(step.Room)
		if s := p.byID[id.ID]; s != nil {
			s.free = s.free.Sub(step.Takes())
			s.count(StepOf(ref), 1)
		}
	}
}
