package push

import (
	"context"
	"maps"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/plan"
)

const (
	// recallTimeout bounds the call of a new leader for an instance's answers. Later answers
	// would hardly contain a valid ticket, as tickets are valid for some seconds.
	recallTimeout = 2 * time.Second
	// recallWait is how long a new leader waits for the answers of all instances before it
	// calls the advisor. An earlier call may ask for what an instance already knows. The wait
	// is bounded, because instances that have failed do not reply.
	recallWait = 150 * time.Millisecond
)

// recall asks each instance once for the advisor's answers that it has, and merges them.
func (a *adviceClient) recall() {
	started := time.Now()
	limit := time.AfterFunc(recallWait, a.endRecallWait)
	defer limit.Stop()
	var calls sync.WaitGroup
	var mu sync.Mutex
	var sum recallSummary
	addresses := a.leader.scheduler.cell.LiveAddresses(announcedWithin)
	for _, address := range addresses {
		calls.Go(func() {
			one := a.recallFrom(address)
			mu.Lock()
			defer mu.Unlock()
			sum.add(one)
		})
	}
	calls.Wait()
	a.endRecallWait()
	a.leader.log.WithFields(logrus.Fields{
		"instances": len(addresses),
		"silent":    sum.silent,
		"older":     sum.older,
		"answers":   sum.answers,
		"ended":     sum.ended,
		"tickets":   sum.tickets,
		"took":      time.Since(started).Milliseconds(),
	}).Info("advice: recalled")
}

// endRecallWait lets the advisor be asked.
func (a *adviceClient) endRecallWait() {
	if a.recalled.CompareAndSwap(false, true) {
		a.leader.wakeDecisionLoop()
	}
}

// recallSummary counts what came of a recall: instances without a reply, and those of a
// release without recall; answers merged, and those for jobs that are over; valid tickets.
type recallSummary struct {
	silent, older, answers, ended, tickets int
}

func (s *recallSummary) add(other recallSummary) {
	s.silent += other.silent
	s.older += other.older
	s.answers += other.answers
	s.ended += other.ended
	s.tickets += other.tickets
}

// recallFrom merges the answers that the instance at the address has.
func (a *adviceClient) recallFrom(address string) recallSummary {
	sent := time.Now()
	answers, err := a.callRecall(address)
	var remote rpc.ServerError
	switch {
	case errors.As(err, &remote):
		a.leader.log.WithError(err).WithField("instance", address).Debug("advice: instance recalls nothing")
		return recallSummary{older: 1}
	case err != nil:
		a.leader.log.WithError(err).WithField("instance", address).Info("advice: no answers from instance")
		return recallSummary{silent: 1}
	}
	return a.mergeRecalled(answers, sent)
}

// callRecall returns the answers of the instance at the address, which may be this one.
func (a *adviceClient) callRecall(address string) ([]RecalledAnswer, error) {
	s := a.leader.scheduler
	if address == s.cell.Address() {
		return s.answers.list(s.cell.Clock().Reading, maxRecallBytes), nil
	}
	ctx, cancel := context.WithTimeout(a.leader.ctx, recallTimeout)
	defer cancel()
	reply, err := s.cell.RecallAdvice(ctx, address, recallTimeout)
	if err != nil {
		return nil, err
	}
	if reply.Fault != nil {
		return nil, reply.Fault
	}
	return reply.Value, nil
}

// mergeRecalled adds the answers that an instance returned to a call sent at the given time
// to the cache, except those for jobs that are over.
func (a *adviceClient) mergeRecalled(answers []RecalledAnswer, sent time.Time) recallSummary {
	var sum recallSummary
	for i := range answers {
		answer := &answers[i]
		queue, live := a.leader.scheduler.ledger.AdviceQueueOf(answer.Step.Job)
		if !live || answer.isEmpty() {
			sum.ended++
			continue
		}
		request := plan.AdviceRequest{
			Step:    plan.StepKeyOf(answer.Step),
			Queue:   queue,
			Targets: answer.asked(),
		}
		expires := answer.expiry(request, sent)
		if expires.After(time.Now()) {
			sum.tickets += len(answer.Good)
		}
		sum.answers++
		a.mergeOne(request, answer.Good, expires)
	}
	a.leader.scheduler.metrics.adviceRecalled.Add(float64(sum.answers))
	a.leader.wakeDecisionLoop()
	return sum
}

// expiry returns when the tickets expire that an instance returned to a call sent at the given
// time. It replied after that, so they are at least as old as their age was then.
func (r *RecalledAnswer) expiry(request plan.AdviceRequest, sent time.Time) time.Time {
	advised := sent.Add(-max(0, r.Age))
	switch {
	case r.Expired:
		return advised
	case r.Valid <= 0:
		return advised.Add(expectedCallTime(request)).Add(request.Queue.Advice.Valid)
	}
	return advised.Add(expectedCallTime(request)).Add(r.Valid)
}

// mergeOne adds a recalled answer to the cache.
func (a *adviceClient) mergeOne(request plan.AdviceRequest, good map[string]string, expires time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.answers[request.Step]
	next := mergedAdvice(known, request, good, expires)
	next.InFlight = known != nil && known.InFlight
	a.answers[request.Step] = next
	a.updateApprovalRate(request, len(good))
}

// mergedAdvice returns what is known of a step with a further answer. Of two tickets the one
// that expires later is kept.
func mergedAdvice(known *plan.StepAdvice, request plan.AdviceRequest, good map[string]string, expires time.Time) *plan.StepAdvice {
	next := &plan.StepAdvice{
		Approved:  map[string]plan.Ticket{},
		Requested: map[string]bool{},
	}
	if known != nil {
		maps.Copy(next.Approved, known.Approved)
		maps.Copy(next.Requested, known.Requested)
	}
	for _, id := range request.Targets {
		next.Requested[id] = true
		value, ok := good[id]
		if ok && !next.Approved[id].ExpiresAt.After(expires) {
			next.Approved[id] = plan.Ticket{
				Value:     value,
				ExpiresAt: expires,
			}
		}
	}
	return next
}

// advise calls the advisor for the leader and keeps the answer for a later one.
func (s *Scheduler) advise(ctx context.Context, step graph.TaskRef, targets []string) (Advice, error) {
	sent := s.cell.Clock().Reading
	advice, err := s.advisor.Advise(ctx, step, targets)
	if err == nil {
		s.answers.add(step, targets, advice, sent)
	}
	return advice, err
}
