package push

import (
	"sync"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// completeTasks commits that those of the tasks are done that wait for a run, with their
// gangs. The others stay as they are.
func (l *leader) completeTasks(tasks []graph.TaskRef) *wire.Fault {
	if !l.completing.acquire(l.ctx) {
		return wire.NewFault(wire.CodeNotLeader, "")
	}
	defer l.completing.release()
	if fault := l.removePlaceholders(); fault != nil {
		return fault
	}
	completions := l.completionsOf(tasks)
	if len(completions) == 0 {
		return nil
	}
	if fault := l.addPlaceholders(completions); fault != nil {
		return fault
	}
	place := &graph.Place{}
	events := &graph.Events{}
	for i := range completions {
		place.Groups = append(place.Groups, completions[i].Placements)
		events.Ends = append(events.Ends, completions[i].Ends()...)
	}
	if _, fault := l.propose(l.ctx, graph.Command{Place: place}); fault != nil {
		return fault
	}
	// The ledger ignores the ends of those whose placement it has refused.
	result, fault := l.propose(l.ctx, graph.Command{Events: events})
	if fault != nil {
		return fault
	}
	l.logFinished(result.Finished)
	l.wakeDecisionLoop()
	return l.removePlaceholders()
}

// completionsOf returns the completions of the tasks that wait, one for each gang.
func (l *leader) completionsOf(tasks []graph.TaskRef) []graph.Completion {
	var completions []graph.Completion
	seen := map[graph.TaskRef]bool{}
	for _, task := range tasks {
		completion, ok := l.scheduler.ledger.CompletionOf(task, int64(l.term))
		if !ok || seen[task] {
			continue
		}
		for _, placement := range completion.Placements {
			seen[placement.Task] = true
		}
		completions = append(completions, completion)
	}
	return completions
}

// addPlaceholders commits the placeholders of the completions, all at the same time.
func (l *leader) addPlaceholders(completions []graph.Completion) *wire.Fault {
	var placeholders []graph.Announcement
	for i := range completions {
		placeholders = append(placeholders, completions[i].Placeholders...)
	}
	faults := make([]*wire.Fault, len(placeholders))
	var commits sync.WaitGroup
	for i := range placeholders {
		commits.Go(func() { _, faults[i] = l.propose(l.ctx, graph.Command{Target: &placeholders[i]}) })
	}
	commits.Wait()
	for _, fault := range faults {
		if fault != nil {
			return fault
		}
	}
	return nil
}

// removePlaceholders commits that all placeholders are gone, also those that an earlier call or
// leader has left behind. Tasks that are placed there wait again. The semaphore must be held.
func (l *leader) removePlaceholders() *wire.Fault {
	placeholders := l.scheduler.ledger.Placeholders()
	if len(placeholders) == 0 {
		return nil
	}
	_, fault := l.propose(l.ctx, graph.Command{Gone: &graph.EndIncarnations{Targets: placeholders}})
	return fault
}

// removeLeftPlaceholders removes the placeholders that an earlier call or leader has left
// behind, unless a call is in progress.
func (l *leader) removeLeftPlaceholders() {
	if !l.completing.tryAcquire() {
		return
	}
	defer l.completing.release()
	if fault := l.removePlaceholders(); fault != nil {
		l.log.WithField("fault", fault.Error()).Warn("sched: placeholders not removed")
	}
}
