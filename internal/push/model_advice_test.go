package push

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/plan"
	"github.com/jasmineward/jasmineward/internal/wire"
)

const (
	modelTicketTime = 2500 * time.Millisecond
	modelAdviceTime = 40 * time.Millisecond
	// modelGoodShare is the number of fifths of the targets that are good for a step.
	modelGoodShare = 4
	// modelRepeatTime bounds the time for which a start that was not answered is repeated.
	// It may have arrived, so that the repetitions carry its ticket however old.
	modelRepeatTime = 1300 * time.Millisecond
)

var _ Advisor = (*modelFleet)(nil)

// isGoodFor reports whether the target may run the step.
func isGoodFor(step plan.StepKey, target string) bool {
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, step.Job, step.Step)
	number, _ := strconv.Atoi(strings.TrimPrefix(target, "w"))
	return (int(hash.Sum32()%modelTargets)+number)%modelTargets < modelGoodShare
}

// Advise gives tickets that name the step, the target and when they expire.
func (f *modelFleet) Advise(_ context.Context, step graph.TaskRef, targets []string) (Advice, error) {
	time.Sleep(modelAdviceTime)
	advice := Advice{
		Good:  map[string]string{},
		Valid: modelTicketTime,
	}
	key := plan.StepKeyOf(step)
	for _, id := range targets {
		if isGoodFor(key, id) {
			advice.Good[id] = fmt.Sprint(key, "|", id, "|", time.Now().Add(modelTicketTime).UnixNano())
		}
	}
	return advice, nil
}

// acceptsTicket reports whether the target takes the ticket of a start. The lock must be
// held.
func (f *modelFleet) acceptsTicket(t *modelTarget, order Start) bool {
	if order.Ticket == "" {
		f.breakRule("TICKET: %s of %s is sent to %s without a ticket", order.Task.RunName(order.Run), order.Task.Job, t.id)
		return false
	}
	parts := strings.Split(order.Ticket, "|")
	if parts[0] != fmt.Sprint(plan.StepKeyOf(order.Task)) || parts[1] != t.id {
		f.breakRule("TICKET: %s of %s is sent to %s with ticket %s", order.Task.RunName(order.Run), order.Task.Job, t.id, order.Ticket)
		return false
	}
	expires, _ := strconv.ParseInt(parts[2], 10, 64)
	expired := time.Duration(time.Now().UnixNano() - expires)
	if expired <= 0 {
		return true
	}
	f.refusedTickets++
	if !f.isLate && expired > modelRepeatTime {
		f.breakRule("TICKET: %s of %s is sent to %s with a ticket expired for %s", order.Task.RunName(order.Run), order.Task.Job, t.id, expired)
	}
	return false
}

// Advise has the relay call the advisor.
func (c *modelCell) Advise(
	ctx context.Context, _ string, args *AdviseArgs, limit time.Duration,
) (wire.Reply[Advice], error) {
	return callModelRelay(ctx, c, limit, func(reply *wire.Reply[Advice]) error {
		return (&rpcService{scheduler: c.relay}).Advise(args, reply)
	})
}

// RecallAdvice asks the relay for its answers.
func (c *modelCell) RecallAdvice(
	ctx context.Context, _ string, limit time.Duration,
) (wire.Reply[[]RecalledAnswer], error) {
	return callModelRelay(ctx, c, limit, func(reply *wire.Reply[[]RecalledAnswer]) error {
		return (&rpcService{scheduler: c.relay}).RecallAdvice(&Empty{}, reply)
	})
}

// callModelRelay makes a call to the relay, which may be frozen.
func callModelRelay[V any](
	ctx context.Context, c *modelCell, limit time.Duration, call func(*wire.Reply[V]) error,
) (wire.Reply[V], error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	replies := make(chan wire.Reply[V], 1)
	go func() {
		c.waitThawed()
		var reply wire.Reply[V]
		_ = call(&reply)
		replies <- reply
	}()
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return wire.Reply[V]{}, ctx.Err()
	}
}

// useAdvice has the queue need advice, and commits slow at times.
func (m *model) useAdvice() {
	config := modelConfig()
	config.Version = 2
	config.Queues[0].Advice = &graph.AdviceTiming{
		Base:  modelAdviceTime,
		Valid: modelTicketTime,
	}
	m.cell.scheduler.Apply(0, mustEncode(graph.Command{Config: config}))
	m.cell.advised = true
	m.fleet.checkTickets = true
	random := rand.New(rand.NewPCG(m.random.Uint64(), 7))
	m.troubles = append(m.troubles, func() { m.slowCommits(random) })
}

// slowCommits makes commits slow at times, up to longer than tickets are valid.
func (m *model) slowCommits(random *rand.Rand) {
	until := time.Now().Add(modelTroubleTime)
	set := func(slow time.Duration) {
		m.cell.mu.Lock()
		defer m.cell.mu.Unlock()
		m.cell.slow = slow
	}
	for time.Now().Before(until) && m.pause(time.Duration(random.Int64N(int64(4*time.Second)))) {
		slow := time.Duration(random.Int64N(int64(3 * time.Second)))
		m.note("commits take %s", slow)
		set(slow)
		m.pause(time.Duration(random.Int64N(int64(5 * time.Second))))
		set(0)
	}
}

// A queue needs tickets, and commits take up to longer than these are valid, while leaders,
// relays and targets change as in the other models: no start is sent without a ticket or
// first sent with an expired one, and nothing is lost.
func TestModelWithAdvice(t *testing.T) {
	playModels(t, *modelFirst, *modelSeeds, (*model).useAdvice)
}
