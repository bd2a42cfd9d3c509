package push

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/plan"
	"github.com/jasmineward/jasmineward/pkg/fairq"
)

const (
	// adviceTimeoutMargin is added to the expected time of an advice call to
	// get its timeout.
	adviceTimeoutMargin = 700 * time.Millisecond
	// initialApprovalRate is the assumed fraction of targets that the advisor
	// approves before its first answer, and minApprovalRate is the lowest
	// fraction used.
	initialApprovalRate = 0.4
	minApprovalRate     = 0.05
	// approvalRateWeight is the weight of the newest answer in the moving
	// average of that fraction.
	approvalRateWeight = 0.1
)

// adviceClient caches the advisor's answers. It distributes advice calls over
// the instances, because the advisor serves one call at a time per instance,
// and shares the instances' time among the queues.
type adviceClient struct {
	leader *leader
	// recalled is true once the answers that instances have need not be waited for.
	recalled atomic.Bool

	mu      sync.Mutex
	answers map[plan.StepKey]*plan.StepAdvice
	callers *callers
	share   fairq.Share[string]
	// unusedAnswers has the steps with an answer on which no start is based yet.
	unusedAnswers map[plan.StepKey]bool
	// renewals has the steps of which a ticket expired before its task was started. Their
	// requests go before the others of their queue.
	renewals map[plan.StepKey]bool
	// waitingSince has the time since when a step's request waits for a call.
	waitingSince map[plan.StepKey]time.Time
	// approvalRateByQueue is a moving average of the fraction of targets that
	// the advisor approved, by queue.
	approvalRateByQueue map[string]float64
}

func newAdviceClient(l *leader) *adviceClient {
	return &adviceClient{
		leader:  l,
		answers: map[plan.StepKey]*plan.StepAdvice{},
		callers: newCallers(func() []string {
			return l.scheduler.cell.LiveAddresses(instanceHeardWithin)
		}),
		unusedAnswers:       map[plan.StepKey]bool{},
		renewals:            map[plan.StepKey]bool{},
		waitingSince:        map[plan.StepKey]time.Time{},
		approvalRateByQueue: map[string]float64{},
	}
}

// approvalRate estimates the fraction of targets that the advisor approves for a
// step of the queue.
func (a *adviceClient) approvalRate(queue string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if rate, ok := a.approvalRateByQueue[queue]; ok {
		return max(rate, minApprovalRate)
	}
	return initialApprovalRate
}

// lookup returns the cached advice for the step, or nil. The returned value is
// immutable.
func (a *adviceClient) lookup(key plan.StepKey) *plan.StepAdvice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answers[key]
}

// ticket returns the ticket for a start of the step on the target, or the zero ticket.
func (a *adviceClient) ticket(key plan.StepKey, target string) plan.Ticket {
	if known := a.lookup(key); known != nil {
		return known.Approved[target]
	}
	return plan.Ticket{}
}

// freeCalls returns how many calls of the given time can be made now, if calls are
// assigned again after the horizon.
func (a *adviceClient) freeCalls(now time.Time, horizon time.Duration) func(callTime time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.callers.slots(now, horizon).count
}

// request starts calls for as many of the requests as the instances can serve until
// calls are assigned again, after the horizon. The queues share the time of the
// instances; the requests of one queue are served in the order given.
func (a *adviceClient) request(requests []plan.AdviceRequest, now time.Time, horizon time.Duration) {
	urgentPriority := a.leader.scheduler.ledger.MostUrgentAdvice()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordWaits(requests, now)
	if !a.recalled.Load() {
		return
	}
	backlog := newAdviceBacklog(a.renewalsFirst(requests), urgentPriority)
	for _, call := range backlog.assign(&a.share, a.callers.slots(now, horizon)) {
		a.startCall(call, now)
	}
}

// renewalsFirst returns the requests in the order in which they are served. The lock must
// be held.
func (a *adviceClient) renewalsFirst(requests []plan.AdviceRequest) []plan.AdviceRequest {
	if len(a.renewals) == 0 {
		return requests
	}
	ordered := slices.Clone(requests)
	slices.SortStableFunc(ordered, func(x, y plan.AdviceRequest) int {
		switch {
		case a.renewals[x.Step] == a.renewals[y.Step]:
			return 0
		case a.renewals[x.Step]:
			return -1
		}
		return 1
	})
	return ordered
}

// renew has the next request for the step's advice go before the others of its queue.
func (a *adviceClient) renew(key plan.StepKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.renewals[key] = true
}

// isRenewal reports whether a ticket of the step expired before its task was started, and
// no call has been made since.
func (a *adviceClient) isRenewal(key plan.StepKey) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.renewals[key]
}

// recordWaits records since when each of the requests waits.
func (a *adviceClient) recordWaits(requests []plan.AdviceRequest, now time.Time) {
	waiting := make(map[plan.StepKey]time.Time, len(requests))
	for _, request := range requests {
		since, known := a.waitingSince[request.Step]
		if !known {
			since = now
		}
		waiting[request.Step] = since
	}
	a.waitingSince = waiting
	a.leader.scheduler.metrics.adviceBacklog.Set(float64(len(requests)))
}

// startCall calls the advisor on a new goroutine. The lock must be held.
func (a *adviceClient) startCall(call assignedCall, now time.Time) {
	request := call.request
	waited := now.Sub(a.waitingSince[request.Step])
	a.leader.scheduler.metrics.adviceWait.Observe(waited.Seconds())
	delete(a.waitingSince, request.Step)
	delete(a.renewals, request.Step)
	next := &plan.StepAdvice{InFlight: true}
	if known := a.answers[request.Step]; known != nil {
		next.Approved = known.Approved
		next.Requested = known.Requested
	}
	a.answers[request.Step] = next
	a.callers.start(call.address, now, call.until)
	a.leader.goroutines.Go(func() { a.callAdvisor(call, waited) })
}

// expectedCallTime returns the expected time of the call for the request.
func expectedCallTime(request plan.AdviceRequest) time.Duration {
	return request.Queue.Advice.Base + time.Duration(len(request.Targets))*request.Queue.Advice.Each
}

// callAdvisor makes the call through the instance at the address and stores its
// result.
func (a *adviceClient) callAdvisor(call assignedCall, waited time.Duration) {
	request, address := call.request, call.address
	sent := time.Now()
	limit := call.until + adviceTimeoutMargin
	ctx, cancel := context.WithTimeout(a.leader.ctx, limit)
	defer cancel()
	answer, err := a.callThrough(ctx, request, address, limit)
	observeSince(a.leader.scheduler.metrics.advice, sent)
	fields := logrus.Fields{
		"job":     request.Step.Job,
		"queue":   request.Queue.Name,
		"step":    request.Step.Step,
		"asked":   len(request.Targets),
		"through": address,
		"waited":  waited.Milliseconds(),
		"took":    time.Since(sent).Milliseconds(),
	}
	if err != nil {
		a.leader.log.WithError(err).WithFields(fields).Warn("advice: no answer")
		a.recordFailure(request.Step, address)
		a.leader.wakeDecisionLoop()
		return
	}
	fields["good"] = len(answer.Good)
	a.leader.log.WithFields(fields).Info("advice: answered")
	a.store(request, answer, address, sent)
	a.leader.wakeDecisionLoop()
}

// callThrough calls the advisor from the instance at the address, which may be
// this one.
func (a *adviceClient) callThrough(
	ctx context.Context, request plan.AdviceRequest, address string, limit time.Duration,
) (Advice, error) {
	step := request.Step.TaskRef(0)
	if address == a.leader.scheduler.cell.Address() {
		return a.leader.scheduler.advise(ctx, step, request.Targets)
	}
	args := &AdviseArgs{
		Step:    step,
		Targets: request.Targets,
		Limit:   limit,
	}
	reply, err := a.leader.scheduler.cell.Advise(ctx, address, args, limit)
	if err != nil {
		return Advice{}, err
	}
	if reply.Fault != nil {
		return Advice{}, reply.Fault
	}
	return reply.Value, nil
}

// recordFailure ends the step's call in progress, keeping earlier answers, and
// stops calls through the instance for a while.
func (a *adviceClient) recordFailure(key plan.StepKey, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers.fail(address, time.Now())
	if known := a.answers[key]; known != nil {
		a.answers[key] = &plan.StepAdvice{
			Approved:  known.Approved,
			Requested: known.Requested,
		}
	}
}

// store merges an answer into the cache. Tickets are issued after the call
// is sent, so their validity is counted from the sending time plus the expected
// time of the call.
func (a *adviceClient) store(request plan.AdviceRequest, answer Advice, address string, sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers.finish(address)
	a.unusedAnswers[request.Step] = true
	a.leader.scheduler.metrics.adviceAnswers.Inc()
	valid := answer.Valid
	if valid == 0 {
		valid = request.Queue.Advice.Valid
	}
	expires := sent.Add(expectedCallTime(request)).Add(valid)
	next := mergedAdvice(a.answers[request.Step], request, answer.Good, expires)
	a.answers[request.Step] = next
	a.updateApprovalRate(request, len(answer.Good))
}

// updateApprovalRate adds an answer, by its number of good targets, to the moving average of
// its queue. The lock must be held.
func (a *adviceClient) updateApprovalRate(request plan.AdviceRequest, good int) {
	rate := float64(good) / float64(len(request.Targets))
	if previous, ok := a.approvalRateByQueue[request.Queue.Name]; ok {
		rate = previous + approvalRateWeight*(rate-previous)
	}
	a.approvalRateByQueue[request.Queue.Name] = rate
}

// removeEndedJobs removes cached answers for jobs that have ended.
func (a *adviceClient) removeEndedJobs() {
	a.mu.Lock()
	steps := slices.Concat(slices.Collect(maps.Keys(a.answers)), slices.Collect(maps.Keys(a.renewals)))
	a.mu.Unlock()
	ended := slices.DeleteFunc(steps, func(key plan.StepKey) bool {
		return a.leader.scheduler.ledger.IsLive(key.Job)
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, key := range ended {
		if known := a.answers[key]; known != nil && !known.InFlight {
			delete(a.answers, key)
			delete(a.unusedAnswers, key)
		}
	}
	for _, key := range ended {
		delete(a.renewals, key)
	}
}

// recordStart records that tasks of the step are started with tickets from its
// latest answer.
func (a *adviceClient) recordStart(key plan.StepKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unusedAnswers[key] {
		delete(a.unusedAnswers, key)
		a.leader.scheduler.metrics.adviceAnswersUsed.Inc()
	}
}
