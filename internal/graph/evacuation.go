package graph

import (
	"cmp"
	"maps"
	"slices"
)

// A target in an evacuated failure domain gets no new work. The ledger only records which
// domains are evacuated: replicas of the previous release do not know the command, so a
// placement is applied as before, and it is the leader that places and starts nothing there.

// Evacuate evacuates a failure domain, or withdraws its evacuation.
type Evacuate struct {
	Domain    string
	Withdrawn bool
}

// Evacuation is a failure domain that is evacuated, and since when.
type Evacuation struct {
	Domain string
	Since  Millis
}

// evacuate records the evacuation, or that it is withdrawn. A command that changes nothing is
// not counted as a change.
func (l *Ledger) evacuate(e *Evacuate) {
	_, evacuated := l.evacuated[e.Domain]
	if evacuated != e.Withdrawn {
		return
	}
	l.evacuationChanges++
	if e.Withdrawn {
		delete(l.evacuated, e.Domain)
		return
	}
	l.evacuated[e.Domain] = l.now
}

// evacuations returns the evacuated domains, in order. The lock must be held.
func (l *Ledger) evacuations() []Evacuation {
	var all []Evacuation
	for domain, since := range l.evacuated {
		all = append(all, Evacuation{
			Domain: domain,
			Since:  since,
		})
	}
	slices.SortFunc(all, func(a, b Evacuation) int { return cmp.Compare(a.Domain, b.Domain) })
	return all
}

// Evacuations returns the evacuated domains, in order, and how often an evacuation was begun
// or withdrawn so far.
func (l *Ledger) Evacuations() (all []Evacuation, changes uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.evacuations(), l.evacuationChanges
}

// IsEvacuated reports whether the failure domain is evacuated.
func (l *Ledger) IsEvacuated(domain string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, evacuated := l.evacuated[domain]
	return evacuated
}

// IsEvacuated reports whether the failure domain is evacuated.
func (v *View) IsEvacuated(domain string) bool {
	_, evacuated := v.ledger.evacuated[domain]
	return evacuated
}

// IsTargetEvacuated reports whether the failure domain of the target is evacuated.
func (l *Ledger) IsTargetEvacuated(id TargetID) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	t := l.targets[id]
	if t == nil {
		return false
	}
	_, evacuated := l.evacuated[t.Domain]
	return evacuated
}

// TargetsIn returns the number of known targets in the failure domain.
func (l *Ledger) TargetsIn(domain string) int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	count := 0
	for _, t := range l.targets {
		if t.Domain == domain {
			count++
		}
	}
	return count
}

// Domains returns the failure domains of the known targets, in order.
func (l *Ledger) Domains() []string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	domains := map[string]bool{}
	for _, t := range l.targets {
		domains[t.Domain] = true
	}
	return slices.Sorted(maps.Keys(domains))
}
