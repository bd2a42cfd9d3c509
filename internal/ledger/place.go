package ledger

import "github.com/jasmineward/jasmineward/internal/note"

func (l *Ledger) place(p Place) PlaceResult {
	result := PlaceResult{Groups: make([][]Refusal, 0, len(p.Groups))}
	for _, group := range p.Groups {
		result.Groups = append(result.Groups, l.placeGroup(group))
	}
	return result
}

func (l *Ledger) placeGroup(g JobPlacements) []Refusal {
	refusals := make([]Refusal, len(g.Placements))
	job, ok := l.live[g.Job]
	if !ok {
		return refuseAll(refusals, RefusedNoJob)
	}
	if refusal := l.checkPlaceable(job); refusal != "" {
		return refuseAll(refusals, refusal)
	}
	if job.Kind == note.KindGang {
		return l.placeGang(job, g, refusals)
	}
	next := job.clone()
	pending := &placementTx{
		ledger:  l,
		job:     next,
		targets: map[string]*Target{},
	}
	for i, placement := range g.Placements {
		refusals[i] = pending.place(placement)
	}
	pending.commit(job)
	return refusals
}

// placeGang places all tasks of the gang or none.
func (l *Ledger) placeGang(job *Job, g JobPlacements, refusals []Refusal) []Refusal {
	if len(g.Placements) != len(job.Tasks) || job.Queued() != len(job.Tasks) {
		return refuseAll(refusals, RefusedPartialGang)
	}
	pending := &placementTx{
		ledger:  l,
		job:     job.clone(),
		targets: map[string]*Target{},
	}
	for _, placement := range g.Placements {
		if refusal := pending.place(placement); refusal != "" {
			return refuseAll(refusals, refusal)
		}
	}
	pending.job.Released = false
	pending.commit(job)
	return refusals
}

// checkPlaceable checks the conditions that concern the job as a whole.
func (l *Ledger) checkPlaceable(job *Job) Refusal {
	config := l.config.Load()
	if job.EndReason != ReasonNone {
		return RefusedWrongState
	}
	if _, ok := config.Services[job.Spec.Service]; !ok {
		return RefusedNoService
	}
	if _, ok := config.Keys[job.KeyID]; !ok && job.KeyID != "" {
		return RefusedInvalidKey
	}
	if job.Spec.StartBy != 0 && l.now > job.Spec.StartBy && job.Active() == 0 {
		return RefusedPastDeadline
	}
	return ""
}

// placementTx collects the accepted placements of one job, on copies of the job
// and its targets, until commit stores them.
type placementTx struct {
	ledger  *Ledger
	job     *Job
	placed  int
	targets map[string]*Target
}

func (p *placementTx) place(placement Placement) Refusal {
	if placement.Task < 0 || placement.Task >= len(p.job.Tasks) {
		return RefusedNoJob
	}
	task := &p.job.Tasks[placement.Task]
	if task.State != TaskQueued {
		return RefusedWrongState
	}
	if placement.Attempt != task.Attempt+1 {
		return RefusedWrongAttempt
	}
	if !p.job.Spec.Idempotent && task.MayHaveRun {
		return RefusedMayHaveRun
	}
	target, refusal := p.targetFor(placement)
	if refusal != "" {
		return refusal
	}
	if !p.withinLimit() {
		return RefusedOverLimit
	}
	p.assign(placement, task, target)
	return ""
}

// targetFor returns a modifiable copy of the target, or a refusal if the
// target can't take one more task of the job.
func (p *placementTx) targetFor(placement Placement) (*Target, Refusal) {
	target, ok := p.targets[placement.Target]
	if !ok {
		stored, found := p.ledger.targets.Get(placement.Target)
		if !found {
			return nil, RefusedNoSession
		}
		target = stored.clone()
	}
	switch {
	case target.Session != placement.Session:
		return nil, RefusedNoSession
	case target.Leaving:
		return nil, RefusedLeaving
	case len(target.Attempts) >= target.Slots:
		return nil, RefusedNoSlot
	case !p.job.Spec.Resources.FitsIn(target.available()):
		return nil, RefusedNoCapacity
	}
	return target, ""
}

// withinLimit reports whether one more task keeps the team within its resource
// limit.
func (p *placementTx) withinLimit() bool {
	running := p.ledger.Usage(p.job.Team).Resources
	running = running.Add(p.job.Spec.Resources.Times(p.placed + 1))
	return running.FitsIn(p.ledger.config.Load().Teams[p.job.Team].Limit)
}

func (p *placementTx) assign(placement Placement, task *Task, target *Target) {
	task.State = TaskPlaced
	task.Attempt = placement.Attempt
	task.Target = placement.Target
	task.Session = placement.Session
	task.StopReason = ReasonNone
	task.PlacedAt = p.ledger.now
	target.Used = target.Used.Add(p.job.Spec.Resources)
	target.Attempts = append(target.Attempts, Attempt{
		Job:    p.job.ID,
		Task:   placement.Task,
		Number: placement.Attempt,
	})
	p.targets[placement.Target] = target
	p.placed++
}

func (p *placementTx) commit(before *Job) {
	if p.placed == 0 {
		return
	}
	for id, after := range p.targets {
		stored, _ := p.ledger.targets.Get(id)
		p.ledger.storeTarget(stored, after)
	}
	p.ledger.storeJob(before, p.job)
}

func refuseAll(refusals []Refusal, refusal Refusal) []Refusal {
	for i := range refusals {
		refusals[i] = refusal
	}
	return refusals
}
