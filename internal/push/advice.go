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
	// adviceTimeoutMargin is added to the expected time of an advice call to
	// get its timeout.
	adviceTimeoutMargin = 700 * time.Millisecond
	// instanceHeardWithin is the maximum time since an instance was last heard
	// from for it to be given advice calls.
	instanceHeardWithin = 1500 * time.Millisecond
	// shortCallLimit is the maximum expected time of a short call. Every
	// reservedInstanceInterval-th instance is reserved for short calls, so that
	// they do not queue behind long ones.
	shortCallLimit           = 150 * time.Millisecond
	reservedInstanceInterval = 4
	// maxBacklog bounds the expected time of the calls queued for an instance.
	// A call that does not fit waits for the next decision, which takes the
	// most urgent step first.
	maxBacklog = 900 * time.Millisecond
	// initialApprovalRate is the assumed fraction of targets that the advisor
	// approves before its first answer, and minApprovalRate is the lowest
	// fraction used.
	initialApprovalRate = 0.4
	minApprovalRate     = 0.05
	// approvalRateWeight is the weight of the newest answer in the moving
	// average of that fraction.
	approvalRateWeight = 0.1
	// failedInstanceBackoff is how long an instance gets no calls after one of
	// its calls failed.
	failedInstanceBackoff = 2 * time.Second
)

// adviceClient caches the advisor's answers. It distributes advice calls over
// the instances, because the advisor serves one call at a time per instance.
type adviceClient struct {
	leader *leader

	mu        sync.Mutex
	answers   map[plan.StepKey]*plan.StepAdvice
	instances map[string]*instanceLoad
	// approvalRateByQueue is a moving average of the fraction of targets that
	// the advisor approved, by queue.
	approvalRateByQueue map[string]float64
}

// instanceLoad tracks the advice calls assigned to one instance.
type instanceLoad struct {
	// busyUntil is when the assigned calls are expected to complete.
	busyUntil time.Time
	// avoidUntil is when the instance may get calls again after a failure.
	avoidUntil time.Time
}

func newAdviceClient(l *leader) *adviceClient {
	return &adviceClient{
		leader:              l,
		answers:             map[plan.StepKey]*plan.StepAdvice{},
		instances:           map[string]*instanceLoad{},
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

// request calls the advisor on a new goroutine, unless a call for the step is in
// progress or every instance has a full backlog.
func (a *adviceClient) request(request plan.AdviceRequest) {
	a.mu.Lock()
	known := a.answers[request.Step]
	if known != nil && known.InFlight {
		a.mu.Unlock()
		return
	}
	address, wait := a.reserveInstance(expectedCallTime(request))
	if address == "" {
		a.mu.Unlock()
		return
	}
	next := &plan.StepAdvice{InFlight: true}
	if known != nil {
		next.Approved = known.Approved
		next.Requested = known.Requested
	}
	a.answers[request.Step] = next
	a.mu.Unlock()
	a.leader.goroutines.Go(func() { a.callAdvisor(request, address, wait) })
}

// expectedCallTime returns the expected time of the call for the request.
func expectedCallTime(request plan.AdviceRequest) time.Duration {
	return request.Queue.Advice.Base + time.Duration(len(request.Targets))*request.Queue.Advice.Each
}

// hasCapacity reports whether an instance can take a call of the expected time
// now.
func (a *adviceClient) hasCapacity(callTime time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leastLoadedInstance(callTime, time.Now()) != ""
}

// reserveInstance assigns a call to the least loaded instance, and returns its
// address and the expected time until the call completes. It returns "" when
// every instance has a full backlog.
func (a *adviceClient) reserveInstance(callTime time.Duration) (string, time.Duration) {
	now := time.Now()
	best := a.leastLoadedInstance(callTime, now)
	if best == "" {
		return "", 0
	}
	instance := a.instances[best]
	instance.busyUntil = instance.busyUntil.Add(callTime)
	return best, instance.busyUntil.Sub(now)
}

// leastLoadedInstance returns the address of the instance that is expected to
// complete its calls first, or "" when every instance has a full backlog.
func (a *adviceClient) leastLoadedInstance(callTime time.Duration, now time.Time) string {
	addresses := a.leader.scheduler.host.LiveAddresses(instanceHeardWithin)
	sort.Strings(addresses)
	best := ""
	for i, address := range addresses {
		instance := a.instances[address]
		if instance == nil {
			instance = &instanceLoad{}
			a.instances[address] = instance
		}
		if instance.busyUntil.Before(now) {
			instance.busyUntil = now
		}
		reserved := i%reservedInstanceInterval == 0 && len(addresses) > 1
		if instance.avoidUntil.After(now) || reserved && callTime > shortCallLimit {
			continue
		}
		if best == "" || instance.busyUntil.Before(a.instances[best].busyUntil) {
			best = address
		}
	}
	if best == "" || a.instances[best].busyUntil.Sub(now) > maxBacklog {
		return ""
	}
	return best
}

// callAdvisor makes the call through the instance at the address and stores its
// result.
func (a *adviceClient) callAdvisor(request plan.AdviceRequest, address string, wait time.Duration) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(a.leader.ctx, wait+adviceTimeoutMargin)
	defer cancel()
	answer, err := a.callThrough(ctx, request, address, wait+adviceTimeoutMargin)
	observeSince(a.leader.scheduler.metrics.advice, sent)
	fields := logrus.Fields{
		"job":     request.Step.Job,
		"step":    request.Step.Step,
		"asked":   len(request.Targets),
		"through": address,
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
	a.store(request, answer, sent)
	a.leader.wakeDecisionLoop()
}

// callThrough calls the advisor from the instance at the address, which may be
// this one.
func (a *adviceClient) callThrough(
	ctx context.Context, request plan.AdviceRequest, address string, limit time.Duration,
) (Advice, error) {
	step := request.Step.TaskRef(0)
	if address == a.leader.scheduler.host.Address() {
		return a.leader.scheduler.advisor.Advise(ctx, step, request.Targets)
	}
	args := &AdviseArgs{
		Step:    step,
		Targets: request.Targets,
		Limit:   limit,
	}
	reply, err := group.CallAddress[AdviseArgs, Advice](ctx, a.leader.scheduler.host, address, methodAdvise, args, limit)
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
	if instance := a.instances[address]; instance != nil {
		instance.avoidUntil = time.Now().Add(failedInstanceBackoff)
	}
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
func (a *adviceClient) store(request plan.AdviceRequest, answer Advice, sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := &plan.StepAdvice{
		Approved:  map[string]plan.Ticket{},
		Requested: map[string]bool{},
	}
	if known := a.answers[request.Step]; known != nil {
		maps.Copy(next.Approved, known.Approved)
		maps.Copy(next.Requested, known.Requested)
	}
	valid := answer.Valid
	if valid == 0 {
		valid = request.Queue.Advice.Valid
	}
	for _, id := range request.Targets {
		next.Requested[id] = true
		if value, ok := answer.Good[id]; ok {
			next.Approved[id] = plan.Ticket{
				Value:     value,
				ExpiresAt: sent.Add(expectedCallTime(request)).Add(valid),
			}
		}
	}
	a.answers[request.Step] = next
	a.updateApprovalRate(request, answer)
}

// updateApprovalRate adds an answer to the moving average of its queue. The lock
// must be held.
func (a *adviceClient) updateApprovalRate(request plan.AdviceRequest, answer Advice) {
	rate := float64(len(answer.Good)) / float64(len(request.Targets))
	if previous, ok := a.approvalRateByQueue[request.Queue.Name]; ok {
		rate = previous + approvalRateWeight*(rate-previous)
	}
	a.approvalRateByQueue[request.Queue.Name] = rate
}

// removeEndedJobs removes cached answers for jobs that have ended.
func (a *adviceClient) removeEndedJobs() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, known := range a.answers {
		if !known.InFlight && !a.leader.scheduler.ledger.IsLive(key.Job) {
			delete(a.answers, key)
		}
	}
}
