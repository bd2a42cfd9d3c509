// Package holds computes when a request fits on a worker whose running tasks
// release their resources over time, and what can run there until then without
// delaying the request. It is the core of reservations with backfill: room is
// held for large work, and smaller work uses it in the meantime.
package holds

import (
	"slices"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Release is an amount of resources that becomes free at a time.
type Release struct {
	At     time.Time
	Amount quota.Resources
}

// Timeline is the expected free room of one worker over time.
type Timeline struct {
	now      time.Time
	free     quota.Resources
	releases []Release
}

// NewTimeline returns the timeline of a worker that has free room now and more
// after each of the releases. Releases that are overdue count as due now.
func NewTimeline(now time.Time, free quota.Resources, releases []Release) *Timeline {
	sorted := slices.Clone(releases)
	slices.SortFunc(sorted, func(a, b Release) int { return a.At.Compare(b.At) })
	return &Timeline{
		now:      now,
		free:     free,
		releases: sorted,
	}
}

// EarliestFit returns the earliest time at which the request fits, or false if
// it does not fit even after the last release.
func (t *Timeline) EarliestFit(request quota.Resources) (time.Time, bool) {
	free := t.free
	at := t.now
	for i := 0; ; i++ {
		if request.FitsIn(free) {
			return at, true
		}
		if i == len(t.releases) {
			return time.Time{}, false
		}
		free = free.Add(t.releases[i].Amount)
		if t.releases[i].At.After(at) {
			at = t.releases[i].At
		}
	}
}

// FreeAt returns the room that is expected to be free at the time.
func (t *Timeline) FreeAt(at time.Time) quota.Resources {
	free := t.free
	for _, release := range t.releases {
		if release.At.After(at) {
			break
		}
		free = free.Add(release.Amount)
	}
	return free
}

// Hold keeps room on a worker for a request that is expected to start later.
type Hold struct {
	StartsAt time.Time
	// Surplus is the room beside the request that is expected to be free at
	// StartsAt.
	Surplus quota.Resources
}

// RoomFor returns the part of the free room that other work which ends at the
// given time may use: all of it if the work ends before the hold starts, and
// otherwise no more than the surplus. A zero end stands for work that does not
// end by itself.
func (h *Hold) RoomFor(free quota.Resources, end time.Time) quota.Resources {
	if h.endsInTime(end) {
		return free
	}
	return free.Min(h.Surplus)
}

// Use deducts resources that other work which ends at the given time takes.
func (h *Hold) Use(request quota.Resources, end time.Time) {
	if !h.endsInTime(end) {
		h.Surplus = h.Surplus.Sub(request)
	}
}

// Return gives resources back that Use has deducted for work with the same end.
func (h *Hold) Return(request quota.Resources, end time.Time) {
	if !h.endsInTime(end) {
		h.Surplus = h.Surplus.Add(request)
	}
}

func (h *Hold) endsInTime(end time.Time) bool {
	return !end.IsZero() && !end.After(h.StartsAt)
}
