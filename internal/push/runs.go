package push

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/finish"
	"github.com/jasmineward/jasmineward/pkg/pace"
)

// placedFor is how long a run may be in the log before its start is sent. One
// whose commit was in doubt is never sent otherwise.
const placedFor = time.Second

// runKey names a run.
type runKey struct {
	task graph.TaskRef
	run  uint32
}

func keyOf(task graph.TaskRef, run uint32) runKey {
	return runKey{
		task: task,
		run:  run,
	}
}

// runState is what a driver knows of a run that it has given orders on.
type runState uint8

const (
	// runUnknown: an earlier leader placed it.
	runUnknown runState = iota
	// runPlaced: it is in the log, and its start is about to be sent.
	runPlaced
	// runSending: its start is on its way.
	runSending
	// runStarted: the target has taken it.
	runStarted
	// runDoubtful: its start got no answer, or one after others got none.
	runDoubtful
	// runAbsent: it surely never starts.
	runAbsent
	// runStopped: the target has answered an order to stop it.
	runStopped
)

type runInfo struct {
	state   runState
	changed time.Time
	stopAt  time.Time
	// percent is the pace ordered last; pacing tells of one on its way.
	percent int
	pacing  bool
	track   finish.Track
	// settled runs have no end that is worth waiting for.
	settled bool
	// copied runs have been asked to have another beside them.
	copied bool
}

// orders returns the runs that the ledger has on the target.
func (d *driver) orders() map[runKey]graph.Order {
	list := d.leader.part.ledger.Orders(d.target.ID)
	orders := make(map[runKey]graph.Order, len(list))
	for _, order := range list {
		orders[keyOf(order.Task, order.Run)] = order
	}
	return orders
}

// reconcile compares what the target should hold with what it listed on a
// request sent at the time.
func (d *driver) reconcile(sent time.Time, orders map[runKey]graph.Order, listing Listing) {
	running := make(map[runKey]bool, len(listing.Running))
	for _, r := range listing.Running {
		running[keyOf(r.Task, r.Run)] = true
	}
	var absent []graph.End
	for key, order := range orders {
		if d.settle(order, key, running[key], sent) {
			absent = append(absent, graph.End{
				Target: d.target.ID,
				Task:   key.task,
				Run:    key.run,
				How:    graph.HowAbsent,
			})
		}
	}
	for key := range running {
		if _, known := orders[key]; !known {
			d.stop(key)
		}
	}
	d.forget(orders, sent)
	if len(absent) == 0 {
		return
	}
	if err := d.commit(absent); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range absent {
		delete(d.runs, keyOf(e.Task, e.Run))
	}
}

// settle deals with one run. It tells true for one that is not there and
// never will be.
func (d *driver) settle(order graph.Order, key runKey, runs bool, sent time.Time) bool {
	d.mu.Lock()
	info := d.known(key)
	if runs && info.state != runStopped && info.state != runSending {
		info.state = runStarted
	}
	state, since := info.state, sent.Sub(info.changed)
	d.mu.Unlock()
	switch {
	case runs && !order.Wanted:
		d.stop(key)
	case runs, state == runSending, state == runPlaced && since < placedFor:
	case state == runUnknown && order.Wanted, state == runPlaced && order.Wanted:
		d.start(key.task, key.run, "")
	case state == runUnknown, state == runDoubtful, state == runPlaced:
		d.stop(key)
	case state == runAbsent:
		return since > 0
	case state == runStopped, state == runStarted:
		// A run that is being stopped is listed again once it has ended.
		return since > d.leader.part.terms.Settle
	}
	return false
}

// known returns what is known of the run. The lock must be held.
func (d *driver) known(key runKey) *runInfo {
	info := d.runs[key]
	if info != nil {
		return info
	}
	info = &runInfo{
		state:   runPlaced,
		changed: time.Now(),
		percent: pace.Full,
	}
	if d.inherited[key] {
		info.state = runUnknown
	}
	d.runs[key] = info
	return info
}

// forget drops what is known of runs that the ledger no longer has here.
func (d *driver) forget(orders map[runKey]graph.Order, sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, info := range d.runs {
		_, known := orders[key]
		if !known && info.state != runSending && info.changed.Before(sent) && info.stopAt.Before(sent) {
			delete(d.runs, key)
		}
	}
}
