package fake_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/client"
	"github.com/jasmineward/jasmineward/internal/entry"
	"github.com/jasmineward/jasmineward/internal/fake"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// cellSeeds is how many cases TestOracleCell runs; each takes seconds.
var cellSeeds = flag.Int("cell.seeds", 2, "cases of the fuzzing of a whole cell")

const (
	cellActions = 25
	cellTargets = 4
)

// cellCase is one case: a cell to which things happen, and the callers who
// note what they were told.
type cellCase struct {
	*field
	random  *rand.Rand
	history []string
	mu      sync.Mutex
	told    map[string]entry.JobView
	once    map[string]bool
	done    sync.WaitGroup
	down    *fake.Instance
	cut     *fake.Instance
	targets int
}

// TestOracleCell lets random things happen to a cell of real nodes. The
// oracle knows only what callers were told and what targets ran.
func TestOracleCell(t *testing.T) {
	for seed := range *cellSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed+1), func(t *testing.T) {
			c := &cellCase{
				field: newField(t, fake.CellConfig{
					Voters:  3,
					Entries: 1,
				}, cellTargets),
				random:  rand.New(rand.NewPCG(uint64(seed+1), 5)),
				told:    map[string]entry.JobView{},
				once:    map[string]bool{},
				targets: cellTargets,
			}
			for range cellActions {
				c.act()
				time.Sleep(time.Duration(c.random.IntN(150)) * time.Millisecond)
			}
			c.settle()
			c.check()
			if t.Failed() {
				t.Logf("seed %d:\n%s", seed+1, strings.Join(c.history, "\n"))
			}
		})
	}
}

func (c *cellCase) act() {
	switch what := c.random.IntN(20); {
	case what < 9:
		c.submit()
	case what < 11 && c.down == nil && c.cut == nil:
		c.down = c.cell.Instances[c.random.IntN(4)]
		c.note("kill " + c.down.Settings.Name)
		c.down.Kill()
	case what < 13 && c.down != nil:
		c.restart()
	case what < 15 && c.cut == nil && c.down == nil:
		c.cut = c.cell.Instances[c.random.IntN(4)]
		c.note("cut " + c.cut.Settings.Name)
		c.links.Cut(c.cut.Settings.Peers.Listen)
	case what < 17 && c.cut != nil:
		c.heal()
	case what < 18:
		i := c.random.IntN(len(c.field.targets))
		c.note(fmt.Sprintf("kill target %d", i))
		c.field.targets[i].Kill()
		c.targets++
		c.addTarget(fmt.Sprintf("worker-%d", c.targets), c.random.IntN(4) == 0)
	case what < 20:
		c.limit()
	}
}

func (c *cellCase) note(what string) {
	c.history = append(c.history, what)
}

func (c *cellCase) restart() {
	c.note("restart " + c.down.Settings.Name)
	c.Assert(c.down.Start(false), qt.IsNil)
	c.down = nil
}

func (c *cellCase) heal() {
	c.note("heal " + c.cut.Settings.Name)
	c.links.Heal(c.cut.Settings.Peers.Listen)
	c.cut = nil
}

// submit has some callers hand work in and wait for it; some change their
// minds.
func (c *cellCase) submit() {
	for range 5 {
		request := c.job("dispatch", fake.Work{RunMillis: int64(c.random.IntN(300))})
		request.Idempotent = c.random.IntN(2) == 0
		request.Count = 1 + c.random.IntN(2)
		request.Room.CPU = quota.MilliCPU(500 * (1 + c.random.IntN(6)))
		c.once[request.RequestID] = !request.Idempotent
		cancel := c.random.IntN(4) == 0
		caller := c.caller("dispatch")
		c.done.Add(1)
		go c.call(caller, request, cancel)
	}
}

func (c *cellCase) call(caller *client.Client, request entry.JobRequest, cancel bool) {
	defer c.done.Done()
	view, err := caller.Submit(c.ctx, request, 0)
	if err == nil && cancel {
		view, err = caller.Cancel(c.ctx, request.RequestID, "")
	}
	for err == nil && view.State != "over" {
		view, err = caller.Get(c.ctx, request.RequestID, "", 5*time.Second)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.told[request.RequestID] = view
	}
}

// limit changes the team's upper limit. It is only ever raised, as work
// under a lowered one may rightly run on for a while.
func (c *cellCase) limit() {
	c.number++
	n := note.Note{
		Number: c.number,
		Changes: []note.Change{{
			Op: note.OpChange,
			Share: &note.Share{
				Team:   "dispatch",
				Weight: float64(c.number),
			},
		}},
	}
	c.note(fmt.Sprintf("note %d", c.number))
	for range 2 {
		answer, err := c.cell.Operators().ApplyNote(c.ctx, n, false, 0)
		c.Assert(err, qt.IsNil)
		c.Check(answer.InForce.Number >= c.number, qt.IsTrue)
	}
}

func (c *cellCase) settle() {
	if c.down != nil {
		c.restart()
	}
	if c.cut != nil {
		c.heal()
	}
	c.addTarget("worker-last", false)
	c.done.Wait()
}

// check compares what callers were told with what targets ran.
func (c *cellCase) check() {
	c.Check(len(c.told), qt.Equals, len(c.once), qt.Commentf("answers are missing"))
	for id, view := range c.told {
		runs := c.witness.Runs(id)
		perTask := map[int]int{}
		for _, run := range runs {
			perTask[run.Attempt.Task]++
		}
		for i, task := range view.Tasks {
			comment := qt.Commentf("%s task %d %s", id, i, task.State)
			switch task.State {
			case "not-run":
				c.Check(perTask[i], qt.Equals, 0, comment)
			case "succeeded":
				c.Check(string(task.Output), qt.Equals, "done "+id, comment)
				c.Check(perTask[i] > 0, qt.IsTrue, comment)
			}
			if c.once[id] {
				c.Check(perTask[i] <= 1, qt.IsTrue, comment)
			}
		}
	}
	state, _ := c.cell.Leader().Daemon.Node().Config()
	c.Check(state.Number, qt.Equals, c.number)
	c.kept()
}
