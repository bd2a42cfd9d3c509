package admit

import (
	"hash/fnv"
	"time"
)

// jitterSteps is the number of different delays that jitter makes of one.
const jitterSteps = 1000

// backlog is a number of jobs that wait for their first task for the same cause.
type backlog struct {
	// waiting is how many there are, and since is when the first of an unbroken series
	// began to wait.
	waiting int
	since   time.Time
	// placements has the times of the latest placements while there was a backlog.
	placements []time.Time
}

// updateBacklogs sets the number of waiting jobs of each backlog, and removes those
// without any.
func updateBacklogs[K comparable](backlogs map[K]*backlog, waiting map[K]int, now time.Time) {
	for key := range backlogs {
		if waiting[key] == 0 {
			delete(backlogs, key)
		}
	}
	for key, count := range waiting {
		b := backlogs[key]
		if b == nil {
			b = &backlog{since: now}
			backlogs[key] = b
		}
		b.waiting = count
	}
}

// placed records that a job got its first placement.
func (b *backlog) placed(now time.Time) {
	b.waiting = max(0, b.waiting-1)
	b.placements = append(b.placements, now)
	b.dropOld(now)
}

// dropOld removes the placements before the window.
func (b *backlog) dropOld(now time.Time) {
	first := 0
	for first < len(b.placements) && now.Sub(b.placements[first]) > rateWindow {
		first++
	}
	b.placements = b.placements[first:]
}

// expectedWait returns how long the waiting jobs take to be placed at the recent rate of
// placements. It is zero while that rate is not known.
func (b *backlog) expectedWait(now time.Time) time.Duration {
	lasting := now.Sub(b.since)
	if lasting < minBacklogTime || b.waiting == 0 {
		return 0
	}
	b.dropOld(now)
	// One more than were placed, so that a backlog which does not move has a wait.
	placed := len(b.placements) + 1
	return min(lasting, rateWindow) * time.Duration(b.waiting) / time.Duration(placed)
}

// retryAfter returns the time in which the excess wait is gone, within its bounds and
// spread by the job's id.
func retryAfter(excess time.Duration, id string) time.Duration {
	base := min(max(excess, MinRetryAfter), maxBaseDelay)
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	// The remainder depends on the lower bits too. The upper bits alone are alike for
	// similar ids.
	fraction := float64(h.Sum64()%jitterSteps) / jitterSteps
	return base + time.Duration(fraction*jitterFraction*float64(base))
}
