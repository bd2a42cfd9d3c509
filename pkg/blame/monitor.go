package blame

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// rateWindow is how long losses count for the rate of the fleet, and recentWindow
	// how long they count for that of their machine.
	rateWindow   = time.Minute
	recentWindow = 10 * time.Second
	// settleTime is added to each time of observation, so that a short one does not
	// count as a sign of frequent losses.
	settleTime = 5 * time.Second
	// minCommonLosses and minCommonShare are how many other machines are lost in a moment,
	// and what share, for a reason that they have in common.
	minCommonLosses = 5
	minCommonShare  = 0.1
	// unsteadyShare is the share of machines that are taken for unsteady while nothing
	// is known of them, and minLife the shortest life that is told from others.
	unsteadyShare = 0.05
	minLife       = 500 * time.Millisecond
)

// Monitor records the losses of machines, each of which has one life after the other. M, L
// and T are the types of the ids of machines, lives and tasks. It is safe for concurrent
// use.
type Monitor[M, L, T comparable] struct {
	started time.Time

	mu     sync.Mutex
	losses map[L]*loss[M, L, T]
	// evidence has the evidence against the suspects of the losses.
	evidence map[T]Weight
}

// loss is the end of one life of a machine.
type loss[M, L, T comparable] struct {
	machine M
	span    Span
	// known is how long the life was observed, and fleet the number of machines.
	known time.Duration
	fleet int
	// observed is the number of machines whose loss would have been noticed at once.
	observed int
	// open has the other losses that were not recorded then. Some never are, as only
	// silence told of them.
	open   []Open[L, T]
	causes []cause[T]
}

// cause is a task that may have caused a loss.
type cause[T comparable] struct {
	Suspect[T]
	// chance is the probability that the machine is lost by itself during the exposure.
	chance float64
	// weight is the evidence of the loss against the task, once it is weighed.
	weight  Weight
	weighed bool
}

// weigh weighs the loss against one of its causes, and returns by how much the evidence
// has grown. Causes that were cleared since do not explain the loss.
func (l *loss[M, L, T]) weigh(i int, coincidence float64, isCleared func(T, time.Duration) bool) Weight {
	suspect := &l.causes[i]
	chance := suspect.chance + coincidence
	for k := range l.causes {
		other := &l.causes[k]
		if k != i && (isCleared == nil || !isCleared(other.Task, other.Exposure)) {
			chance += other.chanceInsteadOf(&suspect.Suspect)
		}
	}
	before, weight := suspect.weight, weightOf(chance)
	if !suspect.weighed || weight > before {
		suspect.weight = weight
	}
	suspect.weighed = true
	return suspect.weight - before
}

// mayHaveCause reports whether the task is one of those that may have caused the loss.
func (l *loss[M, L, T]) mayHaveCause(task T) bool {
	return slices.ContainsFunc(l.causes, func(c cause[T]) bool { return c.Task == task })
}

// isCommon reports whether so many other machines were lost in the same moment that the
// loss says nothing about any task. The lock must be held.
func (m *Monitor[M, L, T]) isCommon(l *loss[M, L, T]) bool {
	together := 0.0
	for _, other := range m.losses {
		if other != l {
			together += other.span.overlap(l.span)
		}
	}
	for _, open := range l.open {
		if m.losses[open.Life] == nil {
			together += open.Span.overlap(l.span)
		}
	}
	return together >= minCommonLosses && together/float64(max(1, l.observed)) >= minCommonShare
}

// chanceWithout returns the probability that the loss was caused neither by the task, if
// that has never caused one, nor by another. The lock must be held.
func (m *Monitor[M, L, T]) chanceWithout(l *loss[M, L, T], task T) float64 {
	chance := 1.0
	for i := range l.causes {
		if other := &l.causes[i]; other.Task != task {
			chance = min(chance, 1-culpritChance(m.evidence[other.Task]))
		}
	}
	return chance
}

// chanceAlone is chanceWithout for a loss that came together with a few others, by what it
// says itself: some tasks may crash their machines in the same moment. The lock must be
// held.
func (m *Monitor[M, L, T]) chanceAlone(l *loss[M, L, T], task T) float64 {
	chance := m.chanceWithout(l, task)
	for i := range l.causes {
		if other := &l.causes[i]; other.Task != task && !other.Unseen {
			chance = min(chance, 1-culpritChance(other.Weight+weightOf(other.chance)))
		}
	}
	return chance
}

// NewMonitor returns a monitor that observes from the given time on.
func NewMonitor[M, L, T comparable](now time.Time) *Monitor[M, L, T] {
	return &Monitor[M, L, T]{
		started:  now,
		losses:   map[L]*loss[M, L, T]{},
		evidence: map[T]Weight{},
	}
}

// Withdraw forgets the loss, as the life goes on.
func (m *Monitor[M, L, T]) Withdraw(life L) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.losses, life)
	for _, l := range m.losses {
		l.open = slices.DeleteFunc(l.open, func(o Open[L, T]) bool { return o.Life == life })
	}
}

// Clear forgets what speaks against the tasks.
func (m *Monitor[M, L, T]) Clear(tasks ...T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.losses {
		l.causes = slices.DeleteFunc(l.causes, func(c cause[T]) bool { return slices.Contains(tasks, c.Task) })
	}
	for _, task := range tasks {
		delete(m.evidence, task)
	}
}

// forget removes losses that count no more, and the evidence against their suspects. The
// lock must be held.
func (m *Monitor[M, L, T]) forget(now time.Time) {
	suspects := map[T]bool{}
	for life, l := range m.losses {
		if now.Sub(l.span.To) >= rateWindow {
			delete(m.losses, life)
			continue
		}
		for i := range l.causes {
			suspects[l.causes[i].Task] = true
		}
	}
	maps.DeleteFunc(m.evidence, func(task T, _ Weight) bool { return !suspects[task] })
}

// rate estimates how often the lost machine is lost per second without its suspects, if
// the task has caused no loss: as often as those of the fleet, or more often if it may be
// one that is lost again and again. One loss more than recorded is assumed, so that a
// short observation promises nothing. The lock must be held.
func (m *Monitor[M, L, T]) rate(lost *loss[M, L, T], task T) float64 {
	all, own := 1.0, 0.0
	for _, l := range m.losses {
		if l == lost {
			continue
		}
		chance := m.chanceWithout(l, task)
		all += chance
		if before := lost.span.To.Sub(l.span.To); l.machine == lost.machine && before >= 0 && before < recentWindow {
			own += chance
		}
	}
	observed := min(lost.span.To.Sub(m.started), rateWindow) + settleTime
	fleet := all / (float64(max(1, lost.fleet)) * observed.Seconds())
	// A machine that is lost again and again was lost as often before for certain, and a
	// steady one was at the rate of the fleet.
	steady := (1 - unsteadyShare) * math.Pow(min(1, fleet*recentWindow.Seconds()), own)
	unsteady := unsteadyShare / (unsteadyShare + steady)
	return fleet + unsteady/(lost.known+minLife).Seconds()
}
