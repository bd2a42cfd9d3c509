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

// TestSubmitJob submits one job to a new cell and waits for its result.
func TestSubmitJob(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	cell, err := fake.StartCell(ctx, fake.CellConfig{
		DataDir:  t.TempDir(),
		Voters:   3,
		Diskless: 1,
	})
	c.Assert(err, qt.IsNil)
	defer cell.Kill()
	secret, key, err := note.NewKey("dispatch-key", "dispatch")
	c.Assert(err, qt.IsNil)
	_, err = cell.OperatorClient().ApplyNote(ctx, note.Note{
		Number: 1,
		Changes: []note.Change{
			{
				Op: note.OpAdd,
				Team: &note.Team{
					Name: "dispatch",
					Limit: quota.Resources{
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
	recorder := fake.NewRecorder()
	target := fake.StartTarget(fake.TargetConfig{
		ID:     "worker-1",
		Rack:   "rack-1",
		Domain: "ba",
		Slots:  8,
		Capacity: quota.Resources{
			CPU:    64000,
			Memory: 128 << 10,
		},
	}, cell.TargetClient(), recorder)
	defer target.Kill()
	requestID, err := dedup.NewID()
	c.Assert(err, qt.IsNil)
	view, err := cell.CallerClient(secret).Submit(ctx, entry.JobRequest{
		RequestID: requestID,
		Service:   "pickups",
		Resources: quota.Resources{
			CPU:    500,
			Memory: 256,
		},
		Payload: fake.TaskSpec{
			RequestID: requestID,
			RunMillis: 10,
		}.Encode(),
	}, 10*time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(view.Outcome, qt.Equals, "succeeded")
	c.Assert(string(view.Tasks[0].Output), qt.Equals, "done "+requestID)
	c.Assert(recorder.Runs(requestID), qt.HasLen, 1)
}
