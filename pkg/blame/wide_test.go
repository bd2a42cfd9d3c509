package blame

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// All tasks of a wide step may crash their machine. They share each crash equally, and if
// they are started on one machine each time, none of them becomes a suspect.
func TestWideDeadlyStepIsFound(t *testing.T) {
	for _, width := range []int{5, 10, 12, 17, 20, 30} {
		m := NewMonitor[string, int, string](epoch)
		weights := make([]Weight, width)
		for life := range 12 {
			crash := promptCrash()
			crash.Machine, crash.Life = fmt.Sprint(life), life
			crash.Span = spanAt(time.Minute + time.Duration(life)*time.Second)
			crash.Suspects = nil
			for i, weight := range weights {
				crash.Suspects = append(crash.Suspects, Suspect[string]{
					Task:     fmt.Sprint(i),
					Exposure: minExposure,
					Weight:   weight,
				})
			}
			for i, added := range m.Weigh(crash) {
				weights[i] = max(0, weights[i]+added)
			}
		}
		qt.Check(t, weights[0] >= SuspectWeight, qt.IsTrue, qt.Commentf("%d tasks: %d after 12 crashes", width, weights[0]))
	}
}
