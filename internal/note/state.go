package note

import (
	"fmt"
	"maps"
	"sort"
	"strings"
)

const (
	// historyLength is the number of latest notes whose resubmission is
	// recognised.
	historyLength = 8192
	defaultShare  = 1
)

// State is a configuration: the result of all notes applied so far. Number and
// Digest are those of the last note. A State is immutable; Apply returns a new
// one.
type State struct {
	Number   uint64             `cbor:"1,keyasint" json:"number"`
	Digest   string             `cbor:"2,keyasint" json:"digest"`
	Teams    map[string]Team    `cbor:"3,keyasint" json:"teams"`
	Services map[string]Service `cbor:"4,keyasint" json:"services"`
	Keys     map[string]Key     `cbor:"5,keyasint" json:"keys"`
	// History maps the numbers of the latest notes to their digests.
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

// Fault is one validation failure. Path locates the invalid field.
type Fault struct {
	Path    string `cbor:"1,keyasint" json:"place"`
	Message string `cbor:"2,keyasint" json:"message"`
}

// FaultsError is returned for a note that fails validation, and lists every
// fault.
type FaultsError struct {
	Faults []Fault
}

// Error returns a message that lists the faults.
func (e *FaultsError) Error() string {
	messages := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		messages = append(messages, f.Path+": "+f.Message)
	}
	return "release note has faults: " + strings.Join(messages, "; ")
}

// ConflictError is returned for a note whose number is not above the current
// one, unless it is recognised as an applied note. Digest is the digest of the
// current note.
type ConflictError struct {
	Number  uint64
	Current uint64
	Digest  string
}

// Error returns a message with both note numbers.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("release note %d conflicts: %d is in force", e.Number, e.Current)
}

// GapError is returned for a note that skips numbers after the current one.
type GapError struct {
	Number  uint64
	Current uint64
}

// Error returns a message with both note numbers.
func (e *GapError) Error() string {
	return fmt.Sprintf("release note %d does not follow %d, which is in force", e.Number, e.Current)
}

// Apply returns the configuration that results from the note. A note that has
// been applied before returns s itself. Apply fails with a ConflictError, a
// GapError or a FaultsError; s is never modified.
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
			Current: s.Number,
			Digest:  s.Digest,
		}
	}
	if n.Number != s.Number+1 {
		return nil, &GapError{
			Number:  n.Number,
			Current: s.Number,
		}
	}
	next, faults := s.applyChanges(n)
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

// Check returns the faults that Apply would find in the note's changes. It
// does not check the number of the note.
func (s *State) Check(n Note) []Fault {
	_, faults := s.applyChanges(n)
	return faults
}

func (s *State) applyChanges(n Note) (*State, []Fault) {
	c := &checker{next: s.clone()}
	if len(n.Changes) == 0 {
		c.addFault("changes", "is empty")
	}
	if len(n.Changes) > maxChanges {
		c.addFault("changes", fmt.Sprintf("has more than %d entries", maxChanges))
		return c.next, c.faults
	}
	for i, change := range n.Changes {
		c.path = fmt.Sprintf("changes[%d]", i)
		c.apply(change)
	}
	c.path = "note"
	c.checkReferences()
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

// Weight returns the team's fair-share weight, or the default if it has none.
func (t Team) Weight() float64 {
	if t.Share <= 0 {
		return defaultShare
	}
	return t.Share
}

// TeamNames returns the sorted names of the teams.
func (s *State) TeamNames() []string {
	return sortedKeys(s.Teams)
}

// ServiceNames returns the sorted names of the services.
func (s *State) ServiceNames() []string {
	return sortedKeys(s.Services)
}

// KeyIDs returns the sorted ids of the keys.
func (s *State) KeyIDs() []string {
	return sortedKeys(s.Keys)
}

func sortedKeys[V any](items map[string]V) []string {
	keys := make([]string, 0, len(items))
	for key := range items {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
