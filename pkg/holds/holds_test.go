package holds

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

var epoch = time.Unix(1000, 0)

func accelerators(n int64) quota.Resources {
	return quota.Resources{Accelerators: n}
}

func after(d time.Duration) time.Time {
	return epoch.Add(d)
}

func TestEarliestFit(t *testing.T) {
	releases := []Release{
		{
			At:     after(4 * time.Second),
			Amount: accelerators(3),
		},
		{
			At:     after(time.Second),
			Amount: accelerators(2),
		},
		{
			At:     after(-time.Second),
			Amount: accelerators(1),
		},
	}
	cases := []struct {
		name    string
		request int64
		want    time.Time
		fits    bool
	}{
		{
			name:    "free now",
			request: 2,
			want:    epoch,
			fits:    true,
		},
		{
			name:    "overdue release counts as due now",
			request: 3,
			want:    epoch,
			fits:    true,
		},
		{
			name:    "after the earlier release",
			request: 5,
			want:    after(time.Second),
			fits:    true,
		},
		{
			name:    "after all releases",
			request: 8,
			want:    after(4 * time.Second),
			fits:    true,
		},
		{
			name:    "more than there will ever be",
			request: 9,
			fits:    false,
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			timeline := NewTimeline(epoch, accelerators(2), releases)
			at, fits := timeline.EarliestFit(accelerators(test.request))
			c.Assert(fits, qt.Equals, test.fits)
			c.Assert(at.Equal(test.want), qt.IsTrue)
		})
	}
}

// Work that outlasts the wait may only use what the held request leaves, so
// that a stream of small long tasks cannot delay the request.
func TestOnlyShortWorkUsesHeldRoom(t *testing.T) {
	c := qt.New(t)
	hold := &Hold{
		StartsAt: after(2 * time.Second),
		Surplus:  accelerators(1),
	}
	free := accelerators(6)
	short, long := after(2*time.Second), after(3*time.Second)
	c.Assert(hold.RoomFor(free, short), qt.Equals, free)
	c.Assert(hold.RoomFor(free, long), qt.Equals, accelerators(1))
	c.Assert(hold.RoomFor(free, time.Time{}), qt.Equals, accelerators(1))
	hold.Use(accelerators(1), short)
	c.Assert(hold.Surplus, qt.Equals, accelerators(1))
	hold.Use(accelerators(1), long)
	c.Assert(hold.RoomFor(free, long), qt.Equals, accelerators(0))
	hold.Return(accelerators(1), long)
	c.Assert(hold.RoomFor(free, long), qt.Equals, accelerators(1))
}
