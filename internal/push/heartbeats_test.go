package push

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Heartbeats that were held up must not count, also if several come in a row, but those of
// a target must count again although another writer has used a high number with its id.
func TestHeartbeatOrder(t *testing.T) {
	c := qt.New(t)
	order := &heartbeatOrder{}
	for _, beat := range []struct {
		seq  uint64
		late bool
		anew bool
	}{
		{
			seq: 1,
		},
		{
			seq: 5,
		},
		{
			seq:  2,
			late: true,
		},
		{
			seq:  3,
			late: true,
		},
		{
			seq:  4,
			late: true,
		},
		{
			seq: 6,
		},
		{
			seq: 6,
		},
		{
			seq: 0,
		},
		{
			seq: 1 << 50,
		},
		{
			seq:  7,
			late: true,
		},
		{
			seq:  7,
			late: true,
		},
		{
			seq:  8,
			late: true,
		},
		{
			seq:  9,
			late: true,
		},
		{
			seq:  10,
			anew: true,
		},
		{
			seq: 11,
		},
		{
			seq:  10,
			late: true,
		},
	} {
		late, anew := order.record(beat.seq)
		c.Check(late, qt.Equals, beat.late, qt.Commentf("seq %d", beat.seq))
		c.Check(anew, qt.Equals, beat.anew, qt.Commentf("seq %d", beat.seq))
	}
}
