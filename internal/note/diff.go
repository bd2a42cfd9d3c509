package note

import (
	"fmt"
	"reflect"
)

// Difference describes one team, service or key that differs between two
// configurations. Before and After are formatted with %+v, so the field names
// of Team, Service, Key and quota.Resources are part of the API response.
type Difference struct {
	Op       Op     `json:"op"`
	ItemType string `json:"thing"`
	Name     string `json:"name"`
	Before   string `json:"before,omitempty"`
	After    string `json:"after,omitempty"`
}

// Diff returns the differences between two configurations: teams first, then
// services and keys, each sorted by name.
func Diff(before, after *State) []Difference {
	differences := diffMaps("team", before.Teams, after.Teams)
	differences = append(differences, diffMaps("service", before.Services, after.Services)...)
	return append(differences, diffMaps("key", before.Keys, after.Keys)...)
}

func diffMaps[V any](itemType string, before, after map[string]V) []Difference {
	names := make(map[string]bool, len(before)+len(after))
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var differences []Difference
	for _, name := range sortedKeys(names) {
		oldItem, inBefore := before[name]
		newItem, inAfter := after[name]
		if inBefore && inAfter && reflect.DeepEqual(oldItem, newItem) {
			continue
		}
		diff := Difference{
			Op:       OpChange,
			ItemType: itemType,
			Name:     name,
		}
		if inBefore {
			diff.Before = fmt.Sprintf("%+v", oldItem)
		} else {
			diff.Op = OpAdd
		}
		if inAfter {
			diff.After = fmt.Sprintf("%+v", newItem)
		} else {
			diff.Op = OpWithdraw
		}
		differences = append(differences, diff)
	}
	return differences
}
