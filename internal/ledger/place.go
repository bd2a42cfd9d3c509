package ledger

import "github.com/jasmineward/jasmineward/internal/note"

func (l *Ledger) place(p Place) PlaceResult {
	result := PlaceResult{Groups: make([][]Refusal, 0, len(p.Groups))}
	for _, group := range p.Groups {
		result.Groups = append(result.Groups, l.placeGroup(group))
	}
	return result
}

func (l *Ledger) placeGroup(g Group) []Refusal {
	refusals := make([]Refusal, len(g.Spots))
	job, ok := l.live[g.Job]
	if !ok {
		return fill(refusals, RefusedNoJob)
	}
	if refusal := l.checkJob(job); refusal != "" {
		return fill(refusals, refusal)
	}
	if job.Kind == note.KindGang {
		return l.placeGang(job, g, refusals)
	}
	next := job.edit()
	placed := &placement{
		ledger:  l,
		job:     next,
		targets: map[string]*Target{},
	}
	for i, spot := range g.Spots {
		refusals[i] = placed.take(spot)
	}
	placed.commit(job)
	return refusals
}

// placeGang takes every task of the gang, or none.
func (l *Ledger) placeGang(job *Job, g Group, refusals []Refusal) []Refusal {
	if len(g.Spots) != len(job.Tasks) || job.Queued() != len(job.Tasks) {
		return fill(refusals, RefusedGang)
	}
	placed := &placement{
		ledger:  l,
		job:     job.edit(),
		targets: map[string]*Target{},
	}
	for _, spot := range g.Spots {
		if refusal := placed.take(spot); refusal != "" {
			return fill(refusals, refusal)
		}
	}
	placed.job.Released = false
	placed.commit(job)
	return refusals
}

// checkJob checks what holds for the job as a whole.
func (l *Ledger) checkJob(job *Job) Refusal {
	config := l.config.Load()
	if job.Ending != ReasonNone {
		return RefusedState
	}
	if _, ok := config.Services[job.Spec.Service]; !ok {
		return RefusedService
	}
	if _, ok := config.Keys[job.KeyID]; !ok && job.KeyID != "" {
		return RefusedKey
	}
	if job.Spec.StartBy != 0 && l.now > job.Spec.StartBy && job.Active() == 0 {
		return RefusedDeadline
	}
	return ""
}

// placement collects the placements of one job before they are stored.
type placement struct {
	ledger  *Ledger
	job     *Job
	taken   int
	targets map[string]*Target
}

func (p *placement) take(spot Spot) Refusal {
	if spot.Task < 0 || spot.Task >= len(p.job.Tasks) {
		return RefusedNoJob
	}
	task := &p.job.Tasks[spot.Task]
	if task.State != TaskQueued {
		return RefusedState
	}
	if spot.Attempt != task.Attempt+1 {
		return RefusedAttempt
	}
	if !p.job.Spec.Idempotent && task.MayHaveRun {
		return RefusedMayHaveRun
	}
	target, refusal := p.target(spot)
	if refusal != "" {
		return refusal
	}
	if !p.withinLimit() {
		return RefusedLimit
	}
	p.put(spot, task, target)
	return ""
}

// target returns a copy of the target that has room for a task of the job.
func (p *placement) target(spot Spot) (*Target, Refusal) {
	target, ok := p.targets[spot.Target]
	if !ok {
		stored, found := p.ledger.targets.Get(spot.Target)
		if !found {
			return nil, RefusedTarget
		}
		target = stored.edit()
	}
	switch {
	case target.Session != spot.Session:
		return nil, RefusedTarget
	case target.Leaving:
		return nil, RefusedLeaving
	case len(target.Attempts) >= target.Slots:
		return nil, RefusedSlots
	case !p.job.Spec.Room.Fits(target.free()):
		return nil, RefusedRoom
	}
	return target, ""
}

func (p *placement) withinLimit() bool {
	running := p.ledger.Usage(p.job.Team).Running
	running = running.Add(p.job.Spec.Room.Times(p.taken + 1))
	return running.Fits(p.ledger.config.Load().Teams[p.job.Team].Limit)
}

func (p *placement) put(spot Spot, task *Task, target *Target) {
	task.State = TaskPlaced
	task.Attempt = spot.Attempt
	task.Target = spot.Target
	task.Session = spot.Session
	task.Stop = ReasonNone
	task.Placed = p.ledger.now
	target.Used = target.Used.Add(p.job.Spec.Room)
	target.Attempts = append(target.Attempts, Attempt{
		Job:    p.job.ID,
		Task:   spot.Task,
		Number: spot.Attempt,
	})
	p.targets[spot.Target] = target
	p.taken++
}

func (p *placement) commit(before *Job) {
	if p.taken == 0 {
		return
	}
	for id, after := range p.targets {
		stored, _ := p.ledger.targets.Get(id)
		p.ledger.storeTarget(stored, after)
	}
	p.ledger.store(before, p.job)
}

func fill(refusals []Refusal, with Refusal) []Refusal {
	for i := range refusals {
		refusals[i] = with
	}
	return refusals
}
