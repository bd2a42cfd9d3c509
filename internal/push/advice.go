package push

import (
	"context"
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/plan"
)

const (
	// adviceSlack is added to the time that a call for advice should take.
	adviceSlack = 700 * time.Millisecond
	// nodeWithin is how lately an instance must have been heard from to be
	// asked to call the advisor.
	nodeWithin = 1500 * time.Millisecond
	// shortCall is what a call costs at most to be short. Short calls have
	// every laneParts-th instance for themselves, so that they need not wait
	// behind long ones.
	shortCall = 150 * time.Millisecond
	laneParts = 4
	// maxBacklog is how far ahead the time of an instance is given away. What
	// does not fit waits for the next decision, which takes the most urgent
	// step first.
	maxBacklog = 900 * time.Millisecond
	// firstShare is taken for the part of good targets before any answer.
	firstShare = 0.4
	leastShare = 0.05
	// shareWeight is the weight of the newest answer in that part.
	shareWeight = 0.1
	// nodeRest is how long an instance that failed to call is left alone.
	nodeRest = 2 * time.Second
)

// advice keeps what the advisor has said, and spreads the calls to it over
// the instances, as it serves one call at a time of each.
type advice struct {
	leader *leader

	mu    sync.Mutex
	steps map[plan.StepKey]*plan.Advised
	nodes map[string]*adviceNode
	// good is the part of targets that was good, by queue.
	good map[string]float64
}

// adviceNode is an instance that calls the advisor.
type adviceNode struct {
	// until is when the calls given to it should be over.
	until time.Time
	// rest is until when it is left alone.
	rest time.Time
}

func newAdvice(l *leader) *advice {
	return &advice{
		leader: l,
		steps:  map[plan.StepKey]*plan.Advised{},
		nodes:  map[string]*adviceNode{},
		good:   map[string]float64{},
	}
}

// share returns which part of the targets is likely to be good for a step of
// the queue.
func (a *advice) share(queue string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if part, ok := a.good[queue]; ok {
		return max(part, leastShare)
	}
	return firstShare
}

// of returns what is known of the step, or nil. It is never changed.
func (a *advice) of(key plan.StepKey) *plan.Advised {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.steps[key]
}

// ask asks on a goroutine of its own, unless a call is under way.
func (a *advice) ask(q plan.Question) {
	a.mu.Lock()
	known := a.steps[q.Step]
	if known != nil && known.Busy {
		a.mu.Unlock()
		return
	}
	address, wait := a.pick(costOf(q))
	if address == "" {
		a.mu.Unlock()
		return
	}
	next := &plan.Advised{Busy: true}
	if known != nil {
		next.Good = known.Good
		next.Asked = known.Asked
	}
	a.steps[q.Step] = next
	a.mu.Unlock()
	a.leader.done.Go(func() { a.call(q, address, wait) })
}

func costOf(q plan.Question) time.Duration {
	return q.Queue.Advice.Base + time.Duration(len(q.Targets))*q.Queue.Advice.Each
}

// mayAsk tells whether a call that takes so long would be made now.
func (a *advice) mayAsk(cost time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.free(cost, time.Now()) != ""
}

// pick returns the instance that is through with its calls first, and how
// long a call to it should take. It returns "" when all are busy for long.
func (a *advice) pick(cost time.Duration) (string, time.Duration) {
	now := time.Now()
	best := a.free(cost, now)
	if best == "" {
		return "", 0
	}
	node := a.nodes[best]
	node.until = node.until.Add(cost)
	return best, node.until.Sub(now)
}

// free returns the instance that is through with its calls first, or "" when
// all are busy for long.
func (a *advice) free(cost time.Duration, now time.Time) string {
	addresses := a.leader.part.host.Nodes(nodeWithin)
	sort.Strings(addresses)
	best := ""
	for i, address := range addresses {
		node := a.nodes[address]
		if node == nil {
			node = &adviceNode{}
			a.nodes[address] = node
		}
		if node.until.Before(now) {
			node.until = now
		}
		reserved := i%laneParts == 0 && len(addresses) > 1
		if node.rest.After(now) || reserved && cost > shortCall {
			continue
		}
		if best == "" || node.until.Before(a.nodes[best].until) {
			best = address
		}
	}
	if best == "" || a.nodes[best].until.Sub(now) > maxBacklog {
		return ""
	}
	return best
}

func (a *advice) call(q plan.Question, address string, wait time.Duration) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(a.leader.ctx, wait+adviceSlack)
	defer cancel()
	got, err := a.callAt(ctx, q, address, wait+adviceSlack)
	since(a.leader.part.metrics.advice, sent)
	fields := logrus.Fields{
		"job":     q.Step.Job,
		"step":    q.Step.Step,
		"asked":   len(q.Targets),
		"through": address,
		"took":    time.Since(sent).Milliseconds(),
	}
	if err != nil {
		a.leader.log.WithError(err).WithFields(fields).Warn("advice: no answer")
		a.failed(q.Step, address)
		a.leader.poke()
		return
	}
	fields["good"] = len(got.Good)
	a.leader.log.WithFields(fields).Info("advice: answered")
	a.store(q, got, sent)
	a.leader.poke()
}

func (a *advice) callAt(
	ctx context.Context, q plan.Question, address string, limit time.Duration,
) (Advice, error) {
	step := q.Step.Task(0)
	if address == a.leader.part.host.Address() {
		return a.leader.part.advisor.Advise(ctx, step, q.Targets)
	}
	args := &AdviseArgs{
		Step:    step,
		Targets: q.Targets,
		Limit:   limit,
	}
	reply, err := group.CallAt[AdviseArgs, Advice](ctx, a.leader.part.host, address, methodAdvise, args, limit)
	if err != nil {
		return Advice{}, err
	}
	if reply.Fault != nil {
		return Advice{}, reply.Fault
	}
	return reply.Value, nil
}

func (a *advice) failed(key plan.StepKey, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if node := a.nodes[address]; node != nil {
		node.rest = time.Now().Add(nodeRest)
	}
	if known := a.steps[key]; known != nil {
		a.steps[key] = &plan.Advised{
			Good:  known.Good,
			Asked: known.Asked,
		}
	}
}

// store keeps an answer. Tickets last from when the call was sent, which is
// before they were made.
func (a *advice) store(q plan.Question, got Advice, sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := &plan.Advised{
		Good:  map[string]plan.Ticket{},
		Asked: map[string]bool{},
	}
	if known := a.steps[q.Step]; known != nil {
		maps.Copy(next.Good, known.Good)
		maps.Copy(next.Asked, known.Asked)
	}
	valid := got.Valid
	if valid == 0 {
		valid = q.Queue.Advice.Valid
	}
	for _, id := range q.Targets {
		next.Asked[id] = true
		if value, ok := got.Good[id]; ok {
			next.Good[id] = plan.Ticket{
				Value: value,
				Until: sent.Add(costOf(q)).Add(valid),
			}
		}
	}
	a.steps[q.Step] = next
	a.learn(q, got)
}

// learn updates the part of good targets.
func (a *advice) learn(q plan.Question, got Advice) {
	part := float64(len(got.Good)) / float64(len(q.Targets))
	if old, ok := a.good[q.Queue.Name]; ok {
		part = old + shareWeight*(part-old)
	}
	a.good[q.Queue.Name] = part
}

// clean forgets the steps of jobs that are over.
func (a *advice) clean() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, known := range a.steps {
		if !known.Busy && !a.leader.part.ledger.Live(key.Job) {
			delete(a.steps, key)
		}
	}
}
