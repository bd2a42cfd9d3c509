// Package rank orders waiting work. While nothing is short, the order is by priority,
// kind and deadline. While resources or calls are short, work that can still meet its
// objective goes before work that cannot, work beyond its account's rate goes behind
// work within it, and accounts are compared by their weighted dominant share. The
// package reads no clock: all times are relative to the time of the decision.
package rank

import (
	"cmp"
	"math"
	"time"
)

const (
	// valueFactor is the multiple of its objective after which work has no value left.
	valueFactor = 3
	// estimateMargin is the part of the expected rest by which it may be wrong. Work is
	// expected to meet its objective if its slack exceeds the margin, and expected to
	// miss it if it lacks more than that.
	estimateMargin = 0.25
	// slackMargin bounds the margin to this part of the slack at admission. Without it,
	// work of a queue with a tight objective would never count as being in time.
	slackMargin = 0.5
)

// Class says what value work can still have.
type Class uint8

// Classes, the most valuable first.
const (
	// ClassInTime is work that is expected to meet its objective.
	ClassInTime Class = iota
	// ClassAtRisk is work that meets its objective only if it takes less time than is
	// expected.
	ClassAtRisk
	// ClassLate is work that will miss its objective and still has value.
	ClassLate
	// ClassWorthless is work that will have no value when it is completed.
	ClassWorthless
)

// Rule is the reason for which work was put behind other work.
type Rule string

// Rules, in the order in which they are checked. NotBehind is no rule.
const (
	NotBehind     Rule = ""
	RuleWorthless Rule = "no-value-left"
	RuleOverRate  Rule = "over-rate"
	RuleLate      Rule = "will-be-late"
	RuleAtRisk    Rule = "may-be-late"
	RuleOverShare Rule = "over-share"
)

// Conditions says which rules apply.
type Conditions struct {
	// Weighted is set if accounts have weights. Otherwise work is ordered by priority,
	// kind, passed deadlines and deadline alone.
	Weighted bool
	// Short is set if work waits for more resources or calls than are free.
	Short bool
}

// Work describes waiting work.
type Work struct {
	Priority    int
	LongRunning bool
	BestEffort  bool
	// OverRate is set if the work is beyond the rate of its account.
	OverRate bool
	// Age is the time since the work was admitted.
	Age time.Duration
	// Objective is the time from the admission within which the work should be
	// completed.
	Objective time.Duration
	// Path is the expected time of the whole critical path, and Rest that of its part
	// that is left.
	Path time.Duration
	Rest time.Duration
}

// slack returns the time that is left beside the expected rest until the objective.
func (w *Work) slack() time.Duration {
	return w.Objective - w.Age - w.Rest
}

// isAimed reports whether the work has an objective to be compared with. Long-running work
// does not end, and best-effort work takes what others leave.
func (w *Work) isAimed() bool {
	return !w.LongRunning && !w.BestEffort
}

// isPastDeadline reports whether the time of the objective has passed.
func (w *Work) isPastDeadline() bool {
	return !w.LongRunning && w.Age > w.Objective
}

// Class returns the class of the work.
func (w *Work) Class() Class {
	margin := time.Duration(estimateMargin * float64(w.Rest))
	slack := w.slack()
	initial := time.Duration(slackMargin * float64(max(0, w.Objective-w.Path)))
	switch {
	case !w.isAimed() && !w.isPastDeadline() || w.isAimed() && slack >= min(margin, initial):
		return ClassInTime
	case w.isAimed() && w.Age+w.Rest+margin > valueFactor*w.Objective:
		return ClassWorthless
	case w.isAimed() && slack >= -margin:
		return ClassAtRisk
	}
	return ClassLate
}

// tier separates work that goes behind all priorities.
type tier uint8

const (
	tierNormal tier = iota
	tierOverRate
	tierWorthless
)

// key is the precomputed position of work in the order: the major part by group, and
// within one group the time.
type key struct {
	major uint64
	at    time.Duration
}

// Bits of the major part of a key, from the lowest.
const (
	kindShift     = 4
	overRateShift = 6
	priorityShift = 8
	tierShift     = 40
)

func (k key) compare(other key) int {
	if k.major != other.major {
		return cmp.Compare(k.major, other.major)
	}
	return cmp.Compare(k.at, other.at)
}

func (k key) tier() tier {
	return tier(k.major >> tierShift)
}

// keyOf returns the position of the work, and the rule that puts it behind other work.
func keyOf(w *Work, c Conditions) (key, Rule) {
	k := key{
		major: priorityBits(w.Priority)<<priorityShift | kindBits(w)<<kindShift,
		at:    w.Objective - w.Age,
	}
	rule := NotBehind
	if c.Weighted && w.OverRate {
		k.major |= 1 << overRateShift
		rule = RuleOverRate
	}
	if !c.Weighted || !c.Short {
		if w.isPastDeadline() {
			k.major |= uint64(ClassLate)
		}
		return k, rule
	}
	class := w.Class()
	k.major |= uint64(class) | uint64(tierOf(w, class))<<tierShift
	if w.isAimed() {
		k.at = timeWithin(w, class)
	}
	return k, shortRule(w, class)
}

// timeWithin returns the time by which work of one class is ordered. In time, the least
// slack goes first. Of the work at risk the one that is most likely to make it goes
// first: serving the least likely first would make all of it late.
func timeWithin(w *Work, class Class) time.Duration {
	switch class {
	case ClassInTime:
		return w.slack()
	case ClassAtRisk:
		return -w.slack()
	}
	return valueFactor*w.Objective - w.Age - w.Rest
}

func tierOf(w *Work, class Class) tier {
	switch {
	case class == ClassWorthless:
		return tierWorthless
	case w.OverRate:
		return tierOverRate
	}
	return tierNormal
}

// shortRule returns the rule that puts the work behind other work while something is
// short. Best-effort work that is late was behind all other work before.
func shortRule(w *Work, class Class) Rule {
	switch {
	case class == ClassWorthless:
		return RuleWorthless
	case w.OverRate:
		return RuleOverRate
	case class == ClassLate && w.isAimed():
		return RuleLate
	case class == ClassAtRisk:
		return RuleAtRisk
	}
	return NotBehind
}

// priorityBits maps priorities to unsigned numbers of 32 bits in the same order.
func priorityBits(priority int) uint64 {
	clamped := min(max(priority, math.MinInt32), math.MaxInt32)
	return uint64(int64(clamped) - math.MinInt32)
}

// kindBits puts long-running work first and best-effort work last.
func kindBits(w *Work) uint64 {
	var bits uint64
	if !w.LongRunning {
		bits |= 2
	}
	if w.BestEffort {
		bits |= 1
	}
	return bits
}
