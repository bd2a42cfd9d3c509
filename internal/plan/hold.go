package plan

import (
	"slices"
	"sort"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/holds"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

const (
	// largeTaskShare is the share of the largest target above which a task is
	// large: no two of them fit there.
	largeTaskShare = 0.5
	// maxHoldFactor bounds how far ahead room is held, as a multiple of the
	// estimated run time of the tasks it is held for.
	maxHoldFactor = 2
	// keptHoldPreference is by how much later a target may become free than
	// another and still be preferred, if room on it is held already. It keeps
	// holds from moving with each new estimate.
	keptHoldPreference = 500 * time.Millisecond
)

// Hold describes the room that is held for a step.
type Hold struct {
	Targets []HeldTarget
}

// HeldTarget is a target with held room.
type HeldTarget struct {
	ID string
	// StartsAt is when the tasks for which room is held are expected to fit.
	StartsAt time.Time

	// room is what other work may use meanwhile.
	room *holds.Hold
}

// has reports whether room is held on the target.
func (h *Hold) has(id string) bool {
	if h == nil {
		return false
	}
	return slices.ContainsFunc(h.Targets, func(t HeldTarget) bool { return t.ID == id })
}

// fitOption is a target on which tasks of a step fit at some time.
type fitOption struct {
	target   *targetState
	timeline *holds.Timeline
	at       time.Time
	// count is the number of tasks that room is held for.
	count int
}

// needsHold reports whether room is held for the step while it waits. Gangs need
// room on several targets at once, and large tasks need more than the ends of
// small ones free, so that other work would always be there first.
func (p *planner) needsHold(step *pendingStep) bool {
	if step.spec.LongRunning || step.spec.BestEffort {
		return false
	}
	return step.spec.Gang || step.spec.Reservation().DominantShare(p.largestTarget(step)) > largeTaskShare
}

// largestTarget returns the largest capacity of the service's targets in each
// component.
func (p *planner) largestTarget(step *pendingStep) quota.Resources {
	service := p.input.View.ServiceOf(step.job)
	largest, known := p.largestByService[service]
	if known {
		return largest
	}
	for _, target := range p.byService[service] {
		largest = largest.Max(target.info.Capacity)
	}
	p.largestByService[service] = largest
	return largest
}

// holdRoom holds room for the waiting tasks of the step on the targets where they
// fit first: for all members of a gang or none, and for as many other tasks as fit
// soon enough. A target is held for one step only. It returns nil if it holds none.
func (p *planner) holdRoom(step *pendingStep, advice *StepAdvice) *Hold {
	if p.input.KeepHolds {
		if hold, kept := p.keepHold(step); kept {
			return hold
		}
	}
	hold := p.computeHold(step, advice)
	if hold == nil {
		p.decision.Unheld[step.key] = true
	}
	return hold
}

// keepHold takes over the hold of the previous decision, or that there was none. It returns
// false if that decision did not consider the step, or if a target of the hold is gone or
// held for another step.
func (p *planner) keepHold(step *pendingStep) (hold *Hold, kept bool) {
	if p.input.Unheld[step.key] {
		p.decision.Unheld[step.key] = true
		return nil, true
	}
	hold = p.input.Holds[step.key]
	if hold == nil {
		return nil, false
	}
	for _, held := range hold.Targets {
		if target := p.byID[held.ID]; target == nil || target.hold != nil {
			return nil, false
		}
	}
	for _, held := range hold.Targets {
		p.byID[held.ID].hold = held.room
	}
	p.decision.Holds[step.key] = hold
	return hold, true
}

// computeHold finds the targets for holdRoom.
func (p *planner) computeHold(step *pendingStep, advice *StepAdvice) *Hold {
	maxAhead := time.Duration(step.spec.Estimate) * time.Millisecond * maxHoldFactor
	missing := p.waitingTasks(step)
	var chosen []fitOption
	for _, option := range p.fitOptions(step, advice) {
		if missing == 0 || option.at.Sub(p.input.Now) > maxAhead {
			break
		}
		fitting := step.spec.Reservation().FitCount(option.timeline.FreeAt(option.at))
		option.count = min(missing, p.taskLimit(step, option.target), fitting)
		if option.count > 0 {
			missing -= option.count
			chosen = append(chosen, option)
		}
	}
	if len(chosen) == 0 || step.spec.Gang && missing > 0 {
		return nil
	}
	if step.spec.Gang {
		startTogether(chosen)
	}
	return p.recordHold(step, chosen)
}

// startTogether lets all members of a gang start when the last of them fits.
func startTogether(options []fitOption) {
	var last time.Time
	for _, option := range options {
		if option.at.After(last) {
			last = option.at
		}
	}
	for i := range options {
		options[i].at = last
	}
}

// recordHold keeps other work out of the room that the chosen options need.
func (p *planner) recordHold(step *pendingStep, chosen []fitOption) *Hold {
	hold := &Hold{}
	for _, option := range chosen {
		room := &holds.Hold{
			StartsAt: option.at,
			Surplus:  option.timeline.FreeAt(option.at).Sub(step.spec.Reservation().Times(option.count)),
		}
		hold.Targets = append(hold.Targets, HeldTarget{
			ID:       option.target.info.ID.ID,
			StartsAt: option.at,
			room:     room,
		})
		option.target.hold = room
	}
	p.decision.Holds[step.key] = hold
	return hold
}

// fitOptions returns the targets that may run the step and have no room held,
// those on which a task fits first in front.
func (p *planner) fitOptions(step *pendingStep, advice *StepAdvice) []fitOption {
	previous := p.input.Holds[step.key]
	preference := func(o fitOption) time.Time {
		if previous.has(o.target.info.ID.ID) {
			return o.at.Add(-keptHoldPreference)
		}
		return o.at
	}
	var options []fitOption
	for _, target := range p.candidates(step, advice) {
		if target.hold != nil || !target.info.HasLabel(step.spec.Label) {
			continue
		}
		timeline := p.timelineOf(target)
		if at, ok := timeline.EarliestFit(step.spec.Reservation()); ok {
			options = append(options, fitOption{
				target:   target,
				timeline: timeline,
				at:       at,
			})
		}
	}
	sort.Slice(options, func(i, j int) bool {
		a, b := preference(options[i]), preference(options[j])
		if !a.Equal(b) {
			return a.Before(b)
		}
		return options[i].target.info.ID.ID < options[j].target.info.ID.ID
	})
	return options
}

// timelineOf returns the expected free room of the target over time. Runs whose
// end cannot be predicted from their progress are expected to take their
// estimated time from now; long-running ones do not end.
func (p *planner) timelineOf(target *targetState) *holds.Timeline {
	if target.timeline != nil {
		return target.timeline
	}
	var releases []holds.Release
	for ref, run := range target.info.Runs {
		if at, ok := p.expectedEnd(target.info.ID, ref, run.Run); ok {
			releases = append(releases, holds.Release{
				At:     at,
				Amount: run.Reserved(),
			})
		}
	}
	target.timeline = holds.NewTimeline(p.input.Now, target.free, releases)
	return target.timeline
}

// expectedEnd returns when a run on the target is expected to end, or false if
// it is not expected to end by itself. A run that is overdue is expected to take
// as long again as it is overdue.
func (p *planner) expectedEnd(id graph.TargetID, ref graph.TaskRef, run uint32) (time.Time, bool) {
	step := p.stepOf(ref)
	if step == nil {
		return p.input.Now, true
	}
	if step.LongRunning {
		return time.Time{}, false
	}
	if at, ok := p.input.ExpectedEnd(id, ref, run); ok {
		if overdue := p.input.Now.Sub(at); overdue > 0 {
			return p.input.Now.Add(overdue), true
		}
		return at, true
	}
	return p.input.Now.Add(time.Duration(step.Estimate) * time.Millisecond), true
}

// roomFor returns the part of the target's free room that the step may use
// beside held room, which is always held for a step that comes before it.
func (p *planner) roomFor(step *pendingStep, target *targetState) quota.Resources {
	if target.hold == nil {
		return target.free
	}
	return target.hold.RoomFor(target.free, p.endIfStartedNow(step))
}

// endIfStartedNow returns when tasks of the step end if they start now, or zero
// if they do not end by themselves.
func (p *planner) endIfStartedNow(step *pendingStep) time.Time {
	if step.spec.LongRunning {
		return time.Time{}
	}
	return p.input.Now.Add(time.Duration(step.spec.Estimate) * time.Millisecond)
}

// take deducts a task of the step from the target's free room.
func (p *planner) take(step *pendingStep, target *targetState) {
	target.free = target.free.Sub(step.spec.Reservation())
	p.chargeUsable(target, step.spec.Reservation())
	target.timeline = nil
	if target.hold != nil {
		target.hold.Use(step.spec.Reservation(), p.endIfStartedNow(step))
	}
}

// giveBack undoes take.
func (p *planner) giveBack(step *pendingStep, target *targetState) {
	target.free = target.free.Add(step.spec.Reservation())
	p.chargeUsable(target, quota.Resources{}.Sub(step.spec.Reservation()))
	target.timeline = nil
	if target.hold != nil {
		target.hold.Return(step.spec.Reservation(), p.endIfStartedNow(step))
	}
}
