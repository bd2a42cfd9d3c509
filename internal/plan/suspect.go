package plan

import "github.com/jasmineward/jasmineward/internal/graph"

const (
	// suspectPairPenalty keeps suspect tasks on different targets, so that the next
	// crash tells which of them causes it.
	suspectPairPenalty = 40.0
	// suspectNeighborPenalty keeps other tasks away from targets with a suspect.
	suspectNeighborPenalty = 30.0
	// suspectRoomWeight makes suspect tasks prefer empty targets, where a crash ends
	// the fewest runs.
	suspectRoomWeight = 8.0
)

// isSuspect reports whether the task may crash its next target: a target has crashed
// under it, or it runs a second time because its target has not answered.
func (p *planner) isSuspect(job *graph.Job, ref graph.TaskRef) bool {
	return p.input.View.IsSuspect(ref) || job.Task(ref).ActiveRuns > 0
}

// countSuspects counts the suspect tasks that run on each target.
func (p *planner) countSuspects() {
	for ref := range p.input.View.Suspects() {
		task := p.input.View.Jobs()[ref.Job].Task(ref)
		if task.ActiveRuns == 0 {
			continue
		}
		if target := p.byID[task.Target.ID]; target != nil {
			target.suspects++
		}
	}
}

// suspectScore returns the part of a target's score that keeps suspect tasks apart from
// each other and from other tasks. All work may still go anywhere: many targets may
// crash at once for reasons of their own, and their tasks must not wait.
func suspectScore(suspect bool, target *targetState) float64 {
	if suspect {
		free := target.free.DominantShare(target.info.Capacity)
		return suspectRoomWeight*free - suspectPairPenalty*float64(target.suspects)
	}
	if target.suspects > 0 {
		return -suspectNeighborPenalty
	}
	return 0
}
