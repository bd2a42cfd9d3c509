// Package plan decides which waiting tasks go to which targets, and about
// which targets the advisor is to be asked. It only reads; the ledger checks
// what it proposes.
package plan

import (
	"sort"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

const (
	// maxSpots bounds the tasks placed by one decision.
	maxSpots = 400
	// A call for advice names at least leastAsked and at most mostAsked
	// targets, and so many that spareRoom times the tasks should find room.
	leastAsked = 8
	mostAsked  = 40
	spareRoom  = 3.0
	// hasty is the weight of a target's speed for the most urgent work.
	hasty = 4.0
	// failedHere outweighs all else: a task is not tried again where it has just
	// failed, unless nothing else is free.
	failedHere = 20.0
	// sound is the speed below which a target is avoided by all.
	sound = 0.6
	// urgentPart is the part of a tenant's limit that is kept for its urgent
	// work while it has some.
	urgentPart = 0.2
	// ticketSlack is how long a ticket must still last for a start.
	ticketSlack = 300 * time.Millisecond
)

// StepKey names one step of one occurrence.
type StepKey struct {
	Job        graph.JobID
	Occurrence int
	Step       int
}

// Ticket lets the tasks of a step start on a target until it runs out.
type Ticket struct {
	Value string
	Until time.Time
}

// Advised is what is known of a step from the advisor.
type Advised struct {
	// Good has the targets that may run the step, and their tickets.
	Good map[string]Ticket
	// Asked has all that the advisor was asked about.
	Asked map[string]bool
	// Busy tells that a call is under way.
	Busy bool
}

// Input is what a decision is made from.
type Input struct {
	View *graph.View
	Now  time.Time
	// Advice returns what is known of a step, or nil.
	Advice func(StepKey) *Advised
	// Share is the part of targets that is likely to be good for the queue.
	Share func(queue string) float64
	// Usable tells whether the target answers.
	Usable func(graph.TargetID) bool
	// MayAsk tells whether a call for advice that takes so long could be made
	// soon.
	MayAsk func(cost time.Duration) bool
	// Pending are placements that are on their way into the log.
	Pending map[graph.TaskRef]graph.TargetID
	// Speed is how fast the target works; 1 is usual.
	Speed func(graph.TargetID) float64
}

// Question asks the advisor about targets for a step.
type Question struct {
	Step    StepKey
	Queue   graph.Queue
	Targets []string
}

// Reason is why tasks of a step wait though its turn has come.
type Reason string

// Reasons to wait.
const (
	// WaitsLimit: the tenant has as much running as it may.
	WaitsLimit Reason = "tenant-limit"
	// WaitsAdvice: no target is known yet that the advisor calls good.
	WaitsAdvice Reason = "advice"
	// WaitsRoom: no target that may run the tasks has room for one.
	WaitsRoom Reason = "room"
	// WaitsTurn: more urgent work took all that one decision may place.
	WaitsTurn Reason = "more-urgent-work"
)

// Decision is what a plan comes to.
type Decision struct {
	Groups    [][]graph.Spot
	Tickets   map[graph.TaskRef]string
	Questions []Question
	// Waits tells of each step with tasks left over why they wait.
	Waits map[StepKey]Reason
}

// round is a step whose turn has come, with tasks that wait.
type round struct {
	job   *graph.Job
	queue *graph.Queue
	key   StepKey
	step  *graph.Step
	tasks []graph.Task
	// due is when the job's aim passes.
	due      graph.Millis
	priority int
	// good are the targets that the advisor called good.
	good []*slot
}

// planner holds one decision as it is made.
type planner struct {
	in      Input
	targets map[string][]*slot
	byID    map[string]*slot
	used    map[string]quota.Room
	// urgent are the tenants that have urgent work, waiting or running.
	urgent map[string]bool
	// sorted are the services whose targets are in the order of their room.
	sorted map[string]bool
	// tooLong is the shortest call for advice that could not be made.
	tooLong time.Duration
	out     Decision
	spots   int
}

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

// Decide returns the placements and questions for now.
func Decide(in Input) Decision {
	p := &planner{
		in:      in,
		targets: map[string][]*slot{},
		used:    map[string]quota.Room{},
		urgent:  map[string]bool{},
		sorted:  map[string]bool{},
	}
	p.out.Tickets = map[graph.TaskRef]string{}
	p.out.Waits = map[StepKey]Reason{}
	rounds := p.rounds()
	if len(rounds) == 0 {
		return p.out
	}
	p.slots()
	for _, r := range rounds {
		if p.spots >= maxSpots {
			p.out.Waits[r.key] = WaitsTurn
			continue
		}
		p.placeRound(r)
	}
	return p.out
}

// rounds returns the steps that have tasks waiting, most urgent first.
func (p *planner) rounds() []*round {
	var all []*round
	for _, job := range p.in.View.Jobs() {
		if queue := p.in.View.QueueOf(job); queue != nil && queue.Priority == 0 {
			p.urgent[job.Tenant] = true
		}
		if job.Waiting == 0 {
			continue
		}
		all = append(all, p.roundsOf(job)...)
	}
	sort.Slice(all, func(i, j int) bool { return before(all[i], all[j]) })
	return all
}

func (p *planner) roundsOf(job *graph.Job) []*round {
	var all []*round
	queue := p.in.View.QueueOf(job)
	for k := range job.Occurrences {
		o := &job.Occurrences[k]
		for i := range o.Rounds {
			if o.Rounds[i].Waiting == 0 || !job.Turn(k, i, p.in.View.Now) {
				continue
			}
			r := &round{
				job:   job,
				queue: queue,
				key: StepKey{
					Job:        job.ID,
					Occurrence: k,
					Step:       i,
				},
				step:  &job.Spec.Steps[i],
				tasks: o.Rounds[i].Tasks,
				due:   max(job.Admitted, o.Due) + aim(job, queue),
			}
			if queue != nil {
				r.priority = queue.Priority
			}
			all = append(all, r)
		}
	}
	return all
}

// ref returns the name of a task of the round.
func (r *round) ref(index int) graph.TaskRef {
	return graph.TaskRef{
		Job:        r.key.Job,
		Occurrence: r.key.Occurrence,
		Step:       r.key.Step,
		Index:      index,
	}
}

// aim returns how long the job should take at most, by its own estimates.
func aim(job *graph.Job, queue *graph.Queue) graph.Millis {
	longest := make([]graph.Millis, len(job.Spec.Steps))
	var chain graph.Millis
	for i, step := range job.Spec.Steps {
		for _, d := range step.Depends {
			longest[i] = max(longest[i], longest[d])
		}
		longest[i] += step.Estimate
		chain = max(chain, longest[i])
	}
	if queue == nil {
		return chain
	}
	return graph.Millis(queue.Stretch*float64(chain)) + queue.Latency
}

func before(a, b *round) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if a.step.Lasting != b.step.Lasting {
		return a.step.Lasting
	}
	if a.step.Filler != b.step.Filler {
		return b.step.Filler
	}
	if a.due != b.due {
		return a.due < b.due
	}
	if a.key.Job != b.key.Job {
		return a.key.Job < b.key.Job
	}
	return a.key.Step < b.key.Step
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
			s.count(keyOf(ref), 1)
		}
	}
}

func keyOf(ref graph.TaskRef) StepKey {
	return StepKey{
		Job:        ref.Job,
		Occurrence: ref.Occurrence,
		Step:       ref.Step,
	}
}

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
		ref := r.ref(i)
		if _, pending := p.in.Pending[ref]; pending || task.State != graph.TaskWaiting ||
			task.Held >= r.step.MostRuns() {
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
