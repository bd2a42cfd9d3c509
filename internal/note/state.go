package note

import (
	"fmt"
	"maps"
	"sort"
	"strings"
)

const (
	// historyLength is for how many notes a resend is still recognised.
	historyLength = 8192
	defaultShare  = 1
)

// State is the configuration in force. It is never changed: applying a note
// returns a new one.
type State struct {
	Number   uint64             `cbor:"1,keyasint" json:"number"`
	Digest   string             `cbor:"2,keyasint" json:"digest"`
	Teams    map[string]Team    `cbor:"3,keyasint" json:"teams"`
	Services map[string]Service `cbor:"4,keyasint" json:"services"`
	Keys     map[string]Key     `cbor:"5,keyasint" json:"keys"`
	// History holds the digests of the latest notes by number.
	History map[uint64]string `cbor:"6,keyasint" json:"-"`
}

// NewState returns the configuration before the first note.
func NewState() *State {
	return &State{
		Teams:    map[string]Team{},
		Services: map[string]Service{},
		Keys:     map[string]Key{},
		History:  map[uint64]string{},
	}
}

// Fault is one thing wrong with a note.
type Fault struct {
	Place   string `cbor:"1,keyasint" json:"place"`
	Message string `cbor:"2,keyasint" json:"message"`
}

// FaultsError lists everything wrong with a note.
type FaultsError struct {
	Faults []Fault
}

// Error lists the faults.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.Place+": "+f.Message)
	}
	return "release note has faults: " + strings.Join(lines, "; ")
}

// ConflictError tells that another note with the number, or a later one, is
// in force.
type ConflictError struct {
	Number  uint64
	InForce uint64
	Digest  string
}

// Error names both numbers.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("release note %d conflicts: %d is in force", e.Number, e.InForce)
}

// GapError tells that the note does not follow the one in force.
type GapError struct {
	Number  uint64
	InForce uint64
}

// Error names both numbers.
func (e *GapError) Error() string {
	return fmt.Sprintf("release note %d does not follow %d, which is in force", e.Number, e.InForce)
}

// Apply returns the configuration with the note applied. A note that was
// applied before returns the same state again. It fails with ConflictError,
// GapError or FaultsError, and then nothing is applied.
func (s *State) Apply(n Note) (*State, error) {
	digest, err := n.Digest()
	if err != nil {
		return nil, err
	}
	if n.Number <= s.Number {
		if s.History[n.Number] == digest {
			return s, nil
		}
		return nil, &ConflictError{
			Number:  n.Number,
			InForce: s.Number,
			Digest:  s.Digest,
		}
	}
	if n.Number != s.Number+1 {
		return nil, &GapError{
			Number:  n.Number,
			InForce: s.Number,
		}
	}
	next, faults := s.with(n)
	if len(faults) > 0 {
		return nil, &FaultsError{Faults: faults}
	}
	next.Number = n.Number
	next.Digest = digest
	next.History[n.Number] = digest
	if n.Number > historyLength {
		delete(next.History, n.Number-historyLength)
	}
	return next, nil
}

// Check returns what Apply would find wrong with the note's changes.
func (s *State) Check(n Note) []Fault {
	_, faults := s.with(n)
	return faults
}

func (s *State) with(n Note) (*State, []Fault) {
	c := &checker{next: s.clone()}
	if len(n.Changes) == 0 {
		c.fault("changes", "is empty")
	}
	if len(n.Changes) > maxChanges {
		c.fault("changes", fmt.Sprintf("has more than %d entries", maxChanges))
		return c.next, c.faults
	}
	for i, change := range n.Changes {
		c.place = fmt.Sprintf("changes[%d]", i)
		c.apply(change)
	}
	c.place = "note"
	c.references()
	return c.next, c.faults
}

func (s *State) clone() *State {
	return &State{
		Number:   s.Number,
		Digest:   s.Digest,
		Teams:    maps.Clone(s.Teams),
		Services: maps.Clone(s.Services),
		Keys:     maps.Clone(s.Keys),
		History:  maps.Clone(s.History),
	}
}

// Weight returns the team's fair-share weight.
func (t Team) Weight() float64 {
	if t.Share <= 0 {
		return defaultShare
	}
	return t.Share
}

// TeamNames returns the names of the teams in order.
func (s *State) TeamNames() []string {
	return sorted(s.Teams)
}

// ServiceNames returns the names of the services in order.
func (s *State) ServiceNames() []string {
	return sorted(s.Services)
}

// KeyIDs returns the ids of the keys in order.
func (s *State) KeyIDs() []string {
	return sorted(s.Keys)
}

func sorted[V any](items map[string]V) []string {
	names := make([]string, 0, len(items))
	for name := range items {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
