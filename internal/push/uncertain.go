package push

import "github.com/jasmineward/jasmineward/internal/graph"

// A placement whose commit is uncertain may still be applied. Nobody sends its start then
// but the driver of its target, after a listing of the target without the run. The driver
// of an idle target asks for no listing, so it is woken when the placement is applied.

// recordUncertain records that it is unknown whether the placements are or will be
// committed.
func (l *leader) recordUncertain(place *graph.Place) {
	l.mu.Lock()
	for _, group := range place.Groups {
		for _, placement := range group {
			l.uncertainPlacements[placement.Target]++
		}
	}
	l.mu.Unlock()
	// They may have been applied just before.
	for _, group := range place.Groups {
		for _, placement := range group {
			l.wakeDriver(placement.Target)
		}
	}
}

// wakeUncertain wakes the drivers of those targets of applied placements that have uncertain
// ones.
func (l *leader) wakeUncertain(place *graph.Place) {
	for _, group := range place.Groups {
		for _, placement := range group {
			if l.takeUncertain(placement.Target) {
				l.wakeDriver(placement.Target)
			}
		}
	}
}

// takeUncertain reports whether the target has an uncertain placement, and counts one less.
func (l *leader) takeUncertain(id graph.TargetID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.uncertainPlacements[id]
	if count <= 1 {
		delete(l.uncertainPlacements, id)
	} else {
		l.uncertainPlacements[id] = count - 1
	}
	return count > 0
}

// wakeDriver wakes the driver of the incarnation, if there is one.
func (l *leader) wakeDriver(id graph.TargetID) {
	if d := l.driver(id); d != nil {
		d.wakeUp()
	}
}
