package note

import (
	"fmt"
	"reflect"
)

// Difference is one thing that two configurations hold differently.
type Difference struct {
	Op     Op     `json:"op"`
	Thing  string `json:"thing"`
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff returns what has changed from one configuration to the next, in the
// order of things and names.
func Diff(before, after *State) []Difference {
	differences := diffMaps("team", before.Teams, after.Teams)
	differences = append(differences, diffMaps("service", before.Services, after.Services)...)
	return append(differences, diffMaps("key", before.Keys, after.Keys)...)
}

func diffMaps[V any](thing string, before, after map[string]V) []Difference {
	names := make(map[string]bool, len(before)+len(after))
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var differences []Difference
	for _, name := range sorted(names) {
		old, had := before[name]
		next, has := after[name]
		if had && has && reflect.DeepEqual(old, next) {
			continue
		}
		d := Difference{
			Op:    OpChange,
			Thing: thing,
			Name:  name,
		}
		if had {
			d.Before = fmt.Sprintf("%+v", old)
		} else {
			d.Op = OpAdd
		}
		if has {
			d.After = fmt.Sprintf("%+v", next)
		} else {
			d.Op = OpWithdraw
		}
		differences = append(differences, d)
	}
	return differences
}
