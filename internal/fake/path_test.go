package fake_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/entry"
	"github.com/jasmineward/jasmineward/internal/fake"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/dedup"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// TestWholePath hands one booking in and waits for its answer.
func TestWholePath(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	cell, err := fake.StartCell(ctx, fake.CellConfig{
		Folder:  t.TempDir(),
		Voters:  3,
		Entries: 1,
	})
	c.Assert(err, qt.IsNil)
	defer cell.Kill()
	shown, key, err := note.NewSecret("dispatch-key", "dispatch")
	c.Assert(err, qt.IsNil)
	_, err = cell.Operators().ApplyNote(ctx, note.Note{
		Number: 1,
		Changes: []note.Change{
			{
				Op: note.OpAdd,
				Team: &note.Team{
					Name: "dispatch",
					Limit: quota.Room{
						CPU:    64000,
						Memory: 1 << 20,
					},
				},
			},
			{
				Op: note.OpAdd,
				Service: &note.Service{
					Name: "pickups",
					Team: "dispatch",
					Kind: note.KindService,
				},
			},
			{
				Op:  note.OpAdd,
				Key: &key,
			},
		},
	}, false, 5*time.Second)
	c.Assert(err, qt.IsNil)
	witness := fake.NewWitness()
	target := fake.StartTarget(fake.TargetConfig{
		ID:     "worker-1",
		Rack:   "rack-1",
		Domain: "ba",
		Slots:  8,
		Capacity: quota.Room{
			CPU:    64000,
			Memory: 128 << 10,
		},
	}, cell.Targets(), witness)
	defer target.Kill()
	id, err := dedup.NewID()
	c.Assert(err, qt.IsNil)
	view, err := cell.Callers(shown).Submit(ctx, entry.JobRequest{
		RequestID: id,
		Service:   "pickups",
		Room: quota.Room{
			CPU:    500,
			Memory: 256,
		},
		Payload: fake.Work{
			Request:   id,
			RunMillis: 10,
		}.Encode(),
	}, 10*time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(view.Outcome, qt.Equals, "succeeded")
	c.Assert(string(view.Tasks[0].Output), qt.Equals, "done "+id)
	c.Assert(witness.Runs(id), qt.HasLen, 1)
}
