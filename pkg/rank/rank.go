// Package rank orders waiting work. The order is by priority, kind, passed deadlines and
// deadline. If accounts have weights, work beyond its account's rate goes last in its
// priority. While, in addition, resources or calls are short, work beyond its account's
// rate goes behind work within it whatever the priorities, work without value left goes
// behind both, and accounts over their weighted dominant share go behind others of the same
// priority, kind and class. The package reads no clock: all times are relative to the time
// of the decision.
package rank

import (
	"cmp"
	"math"
	"time"
)

// valueFactor is the multiple of its objective after which work has no value left.
const valueFactor = 3

// Class says what value work can still have.
type Class uint8

// Classes, the most valuable first.
const (
	// ClassInTime is work whose objective has not passed.
	ClassInTime Class = iota
	// ClassLate is work whose objective has passed, and that still has value.
	ClassLate
	// ClassWorthless is work that has no value left.
	ClassWorthless
)

// Rule is the reason for which work was put behind other work.
type Rule string

// Rules, in the order in which they are checked. NotBehind is no rule.
const (
	NotBehind     Rule = ""
	RuleWorthless Rule = "no-value-left"
	RuleOverRate  Rule = "over-rate"
	RuleLate      Rule = "late"
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

// hasObjective reports whether the work has an objective to be compared with. Long-running work
// does not end, and best-effort work takes what others leave.
func (w *Work) hasObjective() bool {
	return !w.LongRunning && !w.BestEffort
}

// isPastDeadline reports whether the time of the objective has passed.
func (w *Work) isPastDeadline() bool {
	return !w.LongRunning && w.Age > w.Objective
}

// Class returns the class of the work. The expected time of the rest of the work does not
// count, because estimates are too rough to put work behind that may have begun already.
// For the same reason, work is worthless only after the time of its whole path in addition
// to valueFactor times its objective.
func (w *Work) Class() Class {
	switch {
	case w.hasObjective() && w.Age > valueFactor*w.Objective+w.Path:
		return ClassWorthless
	case w.isPastDeadline():
		return ClassLate
	}
	return ClassInTime
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

// Positions of the fields in the major part of a key. The lowest bits are the class.
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
	return k, shortRule(w, class)
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
// short. None is named for late best-effort work, which goes last in its priority anyway.
func shortRule(w *Work, class Class) Rule {
	switch {
	case class == ClassWorthless:
		return RuleWorthless
	case w.OverRate:
		return RuleOverRate
	case class == ClassLate && w.hasObjective():
		return RuleLate
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
