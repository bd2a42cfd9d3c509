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

// oracleSeeds is the number of seeds that TestOracleCell runs. Each takes
// seconds.
var oracleSeeds = flag.Int("cell.seeds", 2, "number of random seeds of TestOracleCell")

const (
	oracleActions = 25
	oracleTargets = 4
)

// oracleCase is one randomized case: a cell under random faults, and the answers
// that its callers received.
type oracleCase struct {
	*fixture
	random         *rand.Rand
	history        []string
	mu             sync.Mutex
	answers        map[string]entry.JobView
	nonIdempotent  map[string]bool
	wg             sync.WaitGroup
	stopped        *fake.Instance
	isolated       *fake.Instance
	targetsStarted int
}

// TestOracleCell applies random jobs, crashes, partitions and notes to a cell of
// real nodes. The oracle uses only the answers that callers received and what the
// targets ran.
func TestOracleCell(t *testing.T) {
	for seed := range *oracleSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed+1), func(t *testing.T) {
			c := &oracleCase{
				fixture: newFixture(t, fake.CellConfig{
					Voters:   3,
					Diskless: 1,
				}, oracleTargets),
				random:         rand.New(rand.NewPCG(uint64(seed+1), 5)),
				answers:        map[string]entry.JobView{},
				nonIdempotent:  map[string]bool{},
				targetsStarted: oracleTargets,
			}
			for range oracleActions {
				c.randomAction()
				time.Sleep(time.Duration(c.random.IntN(150)) * time.Millisecond)
			}
			c.recoverAll()
			c.check()
			if t.Failed() {
				t.Logf("seed %d:\n%s", seed+1, strings.Join(c.history, "\n"))
			}
		})
	}
}

func (c *oracleCase) randomAction() {
	switch roll := c.random.IntN(20); {
	case roll < 9:
		c.submitJobs()
	case roll < 11 && c.stopped == nil && c.isolated == nil:
		c.stopped = c.cell.Instances[c.random.IntN(4)]
		c.logAction("kill " + c.stopped.Settings.Name)
		c.stopped.Kill()
	case roll < 13 && c.stopped != nil:
		c.restart()
	case roll < 15 && c.isolated == nil && c.stopped == nil:
		c.isolated = c.cell.Instances[c.random.IntN(4)]
		c.logAction("isolate " + c.isolated.Settings.Name)
		c.network.Isolate(c.isolated.Settings.Peers.Listen)
	case roll < 17 && c.isolated != nil:
		c.heal()
	case roll < 18:
		i := c.random.IntN(len(c.targets))
		c.logAction(fmt.Sprintf("kill target %d", i))
		c.targets[i].Kill()
		c.targetsStarted++
		c.addTarget(fmt.Sprintf("worker-%d", c.targetsStarted), c.random.IntN(4) == 0)
	case roll < 20:
		c.changeShare()
	}
}

func (c *oracleCase) logAction(action string) {
	c.history = append(c.history, action)
}

func (c *oracleCase) restart() {
	c.logAction("restart " + c.stopped.Settings.Name)
	c.Assert(c.stopped.Start(false), qt.IsNil)
	c.stopped = nil
}

func (c *oracleCase) heal() {
	c.logAction("heal " + c.isolated.Settings.Name)
	c.network.Heal(c.isolated.Settings.Peers.Listen)
	c.isolated = nil
}

// submitJobs submits some jobs concurrently, cancels a part of them, and stores
// the answers.
func (c *oracleCase) submitJobs() {
	for range 5 {
		request := c.newJob("dispatch", fake.TaskSpec{RunMillis: int64(c.random.IntN(300))})
		request.Idempotent = c.random.IntN(2) == 0
		request.Count = 1 + c.random.IntN(2)
		request.Resources.CPU = quota.MilliCPU(500 * (1 + c.random.IntN(6)))
		c.nonIdempotent[request.RequestID] = !request.Idempotent
		cancel := c.random.IntN(4) == 0
		caller := c.callerClient("dispatch")
		c.wg.Add(1)
		go c.submitAndWait(caller, request, cancel)
	}
}

func (c *oracleCase) submitAndWait(caller *client.Client, request entry.JobRequest, cancel bool) {
	defer c.wg.Done()
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
		c.answers[request.RequestID] = view
	}
}

// changeShare changes the team's share with a new note and applies it twice,
// since a repeat must be accepted too. It does not lower the team's limit: tasks
// over a lowered limit may validly run on for a while, which the recorder would
// count as a violation.
func (c *oracleCase) changeShare() {
	c.noteNumber++
	n := note.Note{
		Number: c.noteNumber,
		Changes: []note.Change{{
			Op: note.OpChange,
			Share: &note.Share{
				Team:   "dispatch",
				Weight: float64(c.noteNumber),
			},
		}},
	}
	c.logAction(fmt.Sprintf("note %d", c.noteNumber))
	for range 2 {
		answer, err := c.cell.OperatorClient().ApplyNote(c.ctx, n, false, 0)
		c.Assert(err, qt.IsNil)
		c.Check(answer.InForce.Number >= c.noteNumber, qt.IsTrue)
	}
}

// recoverAll undoes the current faults, adds a working target, and waits for the
// answers of all jobs.
func (c *oracleCase) recoverAll() {
	if c.stopped != nil {
		c.restart()
	}
	if c.isolated != nil {
		c.heal()
	}
	c.addTarget("worker-last", false)
	c.wg.Wait()
}

// check compares the answers that callers received with what the targets ran.
func (c *oracleCase) check() {
	c.Check(len(c.answers), qt.Equals, len(c.nonIdempotent), qt.Commentf("some callers received no answer"))
	for id, view := range c.answers {
		runs := c.recorder.Runs(id)
		runsByTask := map[int]int{}
		for _, run := range runs {
			runsByTask[run.Attempt.Task]++
		}
		for i, task := range view.Tasks {
			comment := qt.Commentf("%s task %d %s", id, i, task.State)
			switch task.State {
			case "not-run":
				c.Check(runsByTask[i], qt.Equals, 0, comment)
			case "succeeded":
				c.Check(string(task.Output), qt.Equals, "done "+id, comment)
				c.Check(runsByTask[i] > 0, qt.IsTrue, comment)
			}
			if c.nonIdempotent[id] {
				c.Check(runsByTask[i] <= 1, qt.IsTrue, comment)
			}
		}
	}
	state, _ := c.cell.Leader().Daemon.Node().Config()
	c.Check(state.Number, qt.Equals, c.noteNumber)
	c.checkNoViolations()
}
