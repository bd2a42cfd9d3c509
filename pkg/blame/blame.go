// Package blame weighs whether a task made a machine crash or only ran on it when it
// did. A crash speaks against a task as much as it would be unlikely without the task:
// by how often machines are lost for other reasons, by the machines that were lost in the
// same moment, and by the other tasks that may have caused it.
package blame

import (
	"math"
	"slices"
	"time"
)

// Weight is the evidence against a task: 100 log10 of the ratio of the probabilities of the
// crashes if the task causes them and if it does not. So the weights of several crashes
// add up. A negative one speaks for the task.
type Weight int32

const (
	// GiveUpWeight is the weight from which on a task counts as the cause of the
	// crashes. No single crash reaches it.
	GiveUpWeight Weight = 500
	// SuspectWeight is the weight from which on a task is a suspect.
	SuspectWeight Weight = 20
	// maxRatio bounds what one crash can say: the estimates say little about crashes that
	// are rarer without the task.
	maxRatio = 1e4
	// priorOdds are the odds that a task of which nothing is known crashes machines.
	priorOdds   = 0.01
	weightScale = 100
	// maxMoment is the longest span for which a loss counts in full as one of the same
	// moment: a silent machine is noticed only by a call that is not answered.
	maxMoment = 2 * time.Second
	// minExposure and maxExposure bound the time that a task which crashes its machines is
	// taken to need for it. No exposure is refused for lying beyond them.
	minExposure = 10 * time.Millisecond
	maxExposure = 5 * time.Second
)

// weightOf returns the weight of a crash that occurs with the given probability without
// the task. A task that crashes its machines takes any time from minExposure to
// maxExposure, of whatever magnitude.
func weightOf(chance float64) Weight {
	magnitudes := math.Log(float64(maxExposure) / float64(minExposure))
	ratio := min(1/(magnitudes*min(chance, 1)), maxRatio)
	return Weight(math.Round(weightScale * math.Log10(ratio)))
}

// culpritChance returns the probability that a task with the given evidence against it
// crashes machines.
func culpritChance(w Weight) float64 {
	odds := priorOdds * math.Pow(10, float64(w)/weightScale)
	return odds / (1 + odds)
}

// Span is the time within which a machine was lost.
type Span struct {
	From time.Time
	To   time.Time
}

// overlap returns how much the machine counts as lost in the same moment as that of the
// other span: in full if both spans meet, and less if its own is too long to say much of
// the moment.
func (s Span) overlap(other Span) float64 {
	if s.To.Before(other.From) || other.To.Before(s.From) {
		return 0
	}
	return min(1, float64(maxMoment)/float64(max(1, s.To.Sub(s.From))))
}

// Suspect is a task that was started on a machine not long before its crash. T is the type
// of ids of tasks.
type Suspect[T comparable] struct {
	Task T
	// Exposure is the time from the start to the crash, at least that of an unseen one.
	Exposure time.Duration
	// Weight is the evidence against the task before this crash.
	Weight Weight
	// Unseen suspects may have caused the crash, but it says nothing about them.
	Unseen bool
}

// chanceInsteadOf returns the probability that the task caused the crash, and not the
// other one. The time that a task takes to crash its machine has no typical length: it is
// as likely to be between one and two seconds as between one and two milliseconds. So the
// task that was started last is the most likely one.
func (s *Suspect[T]) chanceInsteadOf(other *Suspect[T]) float64 {
	return culpritChance(s.Weight) * float64(max(other.Exposure, minExposure)) / float64(max(s.Exposure, minExposure))
}

// Open is a loss that is not recorded yet, with the tasks on the machine.
type Open[L, T comparable] struct {
	Life  L
	Span  Span
	Tasks []T
}

// Crash is the end of one life of a machine. M, L and T are the types of the ids of
// machines, lives and tasks.
type Crash[M, L, T comparable] struct {
	Machine M
	Life    L
	Span    Span
	// Known is how long the life was observed before the crash.
	Known time.Duration
	// Fleet is the number of machines, and Observed the number of those whose loss is
	// noticed at once.
	Fleet    int
	Observed int
	// Open has the other machines that are lost and not recorded yet.
	Open     []Open[L, T]
	Suspects []Suspect[T]
	// IsCleared reports whether the task has since run for much longer than the given
	// exposure to a crash, so that it has not caused that.
	IsCleared func(task T, exposure time.Duration) bool
}

// Weigh records the crash and returns what it adds to the evidence against each of its
// suspects. Their earlier crashes are weighed again, as other suspects of these may have
// been cleared since.
func (m *Monitor[M, L, T]) Weigh(c *Crash[M, L, T]) []Weight {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(c.Span.To)
	delete(m.losses, c.Life)
	lost := &loss[M, L, T]{
		machine:  c.Machine,
		span:     c.Span,
		known:    c.Known,
		fleet:    c.Fleet,
		observed: c.Observed,
		open:     c.Open,
	}
	for _, suspect := range c.Suspects {
		lost.causes = append(lost.causes, cause[T]{Suspect: suspect})
	}
	m.losses[c.Life] = lost
	if m.isCommon(lost) {
		lost.causes = nil
	}
	weights := make([]Weight, len(c.Suspects))
	if len(lost.causes) == 0 {
		return weights
	}
	for i, suspect := range c.Suspects {
		if !suspect.Unseen {
			weights[i] = m.weighLosses(suspect.Task, c)
		}
		m.evidence[suspect.Task] = max(0, suspect.Weight+weights[i])
	}
	return weights
}

// weighLosses weighs all losses against the task, and returns by how much the evidence has
// grown. The lock must be held.
func (m *Monitor[M, L, T]) weighLosses(task T, c *Crash[M, L, T]) Weight {
	var added Weight
	for _, l := range m.losses {
		for i := range l.causes {
			if l.causes[i].Task != task || l.causes[i].Unseen {
				continue
			}
			l.causes[i].chance = m.rate(l, task) * l.causes[i].Exposure.Seconds()
			added += l.weigh(i, m.coincidence(l, task), c.IsCleared)
		}
	}
	return added
}

// coincidence returns the fraction of the machines that were lost in the moment of the
// loss, neither because of the task nor of another one, and so the probability that the
// machine was lost with them. Machines that had the task as well are no sign of a common
// reason. The lock must be held.
func (m *Monitor[M, L, T]) coincidence(l *loss[M, L, T], task T) float64 {
	together, alone, without := 0.0, 0.0, 0.0
	for _, other := range m.losses {
		if other == l || other.mayHaveCause(task) {
			continue
		}
		if overlap := other.span.overlap(l.span); overlap > 0 {
			together += overlap
			without += overlap * m.chanceWithout(other, task)
			alone += overlap * m.chanceAlone(other, task)
		}
	}
	lost := alone
	if together >= minCommonLosses {
		lost = without
	}
	for _, open := range l.open {
		if m.losses[open.Life] == nil && !slices.Contains(open.Tasks, task) {
			lost += open.Span.overlap(l.span)
		}
	}
	return lost / float64(max(1, l.observed))
}
