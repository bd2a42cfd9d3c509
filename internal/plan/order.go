package plan

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
	"github.com/jasmineward/jasmineward/pkg/rank"
)

const (
	// shortFactor is the part of a service's free resources that its waiting work may ask
	// for before the service counts as short of resources. It is less than 1, because the
	// free resources are spread over targets, and a step may run on some of them only.
	shortFactor = 0.5
	// starvingAfter is how long a job may wait with nothing of it running before it is
	// served ahead of others, provided that its service and its client account use less
	// than starvingUsage of their resources. Such a job is to wait for 2 s at most.
	starvingAfter = 1500 * time.Millisecond
	starvingUsage = 0.5
)

// Reasons for which steps were put behind others while something is short.
const (
	// ReasonOverRate means that the job is beyond the rate of its client account.
	ReasonOverRate = WaitReason(rank.RuleOverRate)
	// ReasonOverShare means that the client account uses more than its weighted share.
	ReasonOverShare = WaitReason(rank.RuleOverShare)
	// ReasonLate means that the job's objective has passed.
	ReasonLate = WaitReason(rank.RuleLate)
	// ReasonNoValueLeft means that the job will have no value when it is completed.
	ReasonNoValueLeft = WaitReason(rank.RuleWorthless)
)

// PutBehind says why a waiting step was put behind others.
type PutBehind struct {
	Reason WaitReason
	// Account is the step's client account.
	Account string
	// Job is the last job in front of it that was not put behind, or empty.
	Job graph.JobID
}

// pool holds the resources of a service and what its accounts do with them. It is used
// only if accounts have weights.
type pool struct {
	capacity quota.Resources
	free     quota.Resources
	accounts map[string]*poolAccount
}

// poolAccount is a client account with work in a service.
type poolAccount struct {
	share  rank.Account
	used   quota.Resources
	demand quota.Resources
}

// poolOf returns the pool of the service, creating it if necessary.
func (p *planner) poolOf(service string) *pool {
	known := p.pools[service]
	if known == nil {
		known = &pool{accounts: map[string]*poolAccount{}}
		p.pools[service] = known
	}
	return known
}

// accountOf returns the job's client account in the pool of its service, creating it if
// necessary.
func (p *planner) accountOf(job *graph.Job) *poolAccount {
	accounts := p.poolOf(p.input.View.ServiceOf(job)).accounts
	known := accounts[job.ClientAccount]
	if known == nil {
		known = &poolAccount{}
		if _, account := p.input.View.ClientAccount(job.ClientAccount); account != nil {
			known.share.Weight = account.Weight
		}
		accounts[job.ClientAccount] = known
	}
	return known
}

// recordUsage adds the job's placed tasks to what its client account uses, and reports
// whether there are any.
func (p *planner) recordUsage(job *graph.Job) bool {
	var used quota.Resources
	running := false
	for k := range job.Occurrences {
		steps := job.Occurrences[k].Steps
		for i := range steps {
			if placed := steps[i].Left - steps[i].Waiting; placed > 0 {
				used = used.Add(job.Spec.Steps[i].Reservation().Times(placed))
				running = true
			}
		}
	}
	if running {
		account := p.accountOf(job)
		account.used = account.used.Add(used)
	}
	return running
}

// idleSince returns since when the job waits with nothing of it running. For a job that was
// never started this is in the ledger; for others it is kept from decision to decision.
func (p *planner) idleSince(job *graph.Job) graph.Millis {
	if !job.Started {
		return max(job.Admitted, job.Occurrences[0].Due)
	}
	since, known := p.input.IdleSince[job.ID]
	if !known {
		since = p.input.View.Now
	}
	p.decision.IdleSince[job.ID] = since
	return since
}

// orderSteps returns the steps with the most urgent one in front.
func (p *planner) orderSteps(steps []*pendingStep) []*rank.Entry[*pendingStep] {
	entries := make([]rank.Entry[*pendingStep], len(steps))
	for i, step := range steps {
		entries[i] = rank.Entry[*pendingStep]{
			Item: step,
			Work: step.work,
		}
	}
	if p.conditions.Weighted {
		p.loadPools(steps)
		adviceShort := p.isAdviceShort(steps)
		p.conditions.Short = adviceShort || p.areResourcesShort()
		if p.conditions.Short {
			p.addShares(entries)
			p.decision.WaitReasons = make(map[StepKey]WaitReason, len(steps))
			p.decision.PutBehind = make(map[StepKey]PutBehind, len(steps))
		}
		if adviceShort {
			p.addCalls(entries)
		}
	}
	ordered := rank.Order(entries, p.conditions, p.input.Turn, compareSteps)
	for _, entry := range ordered {
		entry.Item.tier = entry.Tier
		entry.Item.starving = entry.Starving
	}
	return ordered
}

// loadPools sums up the resources of the services' targets, and what the steps ask for without
// their pending placements.
func (p *planner) loadPools(steps []*pendingStep) {
	for service, targets := range p.byService {
		pool := p.poolOf(service)
		for _, target := range targets {
			pool.capacity = pool.capacity.Add(target.info.Capacity)
			pool.free = pool.free.Add(target.free)
		}
	}
	pending := p.recordPending()
	for _, step := range steps {
		if len(pending) > 0 {
			step.waiting -= pending[step.key]
		}
		account := p.accountOf(step.job)
		account.demand = account.demand.Add(step.spec.Reservation().Times(step.waiting))
	}
}

// recordPending adds the pending placements to what their client accounts use, and returns
// their number by step.
func (p *planner) recordPending() map[StepKey]int {
	pending := map[StepKey]int{}
	for ref := range p.input.Pending {
		job := p.input.View.Jobs()[ref.Job]
		if job == nil || job.Task(ref) == nil || job.Task(ref).State != graph.TaskWaiting {
			continue
		}
		account := p.accountOf(job)
		account.used = account.used.Add(job.Spec.Steps[ref.Step].Reservation())
		pending[StepKeyOf(ref)]++
	}
	return pending
}

// areResourcesShort reports whether the waiting work of a service asks for more than
// shortFactor of what is free there. Work beyond a client account's limit does not count.
func (p *planner) areResourcesShort() bool {
	for _, pool := range p.pools {
		var demand quota.Resources
		for name, account := range pool.accounts {
			demand = demand.Add(p.withinLimit(name, account.demand))
		}
		free := pool.free.Scale(shortFactor).Max(quota.Resources{})
		if !demand.FitsIn(free) {
			return true
		}
	}
	return false
}

// withinLimit returns the part of the demand that the client account's limit allows.
func (p *planner) withinLimit(name string, demand quota.Resources) quota.Resources {
	usage, account := p.input.View.ClientAccount(name)
	demand = demand.Max(quota.Resources{})
	if account == nil {
		return demand
	}
	left := account.Limit.Sub(usage.Add(p.usedByClientAccount[name])).Max(quota.Resources{})
	if account.Limit.CPU > 0 {
		demand.CPU = min(demand.CPU, left.CPU)
	}
	if account.Limit.Memory > 0 {
		demand.Memory = min(demand.Memory, left.Memory)
	}
	if account.Limit.Accelerators > 0 {
		demand.Accelerators = min(demand.Accelerators, left.Accelerators)
	}
	return demand
}

// isAdviceShort reports whether more steps of a queue need a call to the advisor than can be
// made.
func (p *planner) isAdviceShort(steps []*pendingStep) bool {
	needed := map[string]int{}
	for _, step := range steps {
		if p.needsCall(step) {
			needed[step.queue.Name]++
			if needed[step.queue.Name] > p.freeCalls(step.queue) {
				return true
			}
		}
	}
	return false
}

// needsCall reports whether the step cannot start without another call to the advisor.
func (p *planner) needsCall(step *pendingStep) bool {
	if step.queue == nil || step.queue.Advice == nil || !p.withinClientAccountLimit(step) {
		return false
	}
	advice := p.adviceOf(step)
	if advice == nil {
		return true
	}
	if advice.InFlight {
		return false
	}
	for _, ticket := range advice.Approved {
		if isTicketUsable(ticket, p.input.Now) {
			return false
		}
	}
	return true
}

// addShares adds to the entries which accounts they belong to, what part of their service
// they ask for, and whether their jobs starve.
func (p *planner) addShares(entries []rank.Entry[*pendingStep]) {
	for _, pool := range p.pools {
		accounts := make([]*rank.Account, 0, len(pool.accounts))
		for _, account := range pool.accounts {
			account.share.Used = account.used.DominantShare(pool.capacity)
			accounts = append(accounts, &account.share)
		}
		rank.Entitle(accounts)
	}
	for i := range entries {
		entry := &entries[i]
		step := entry.Item
		pool := p.poolOf(p.input.View.ServiceOf(step.job))
		entry.Account = &p.accountOf(step.job).share
		entry.Demand = step.spec.Reservation().Times(step.waiting).DominantShare(pool.capacity)
		if step.idle {
			entry.Waiting = milliseconds(p.input.View.Now - step.idleSince)
			entry.Starving = entry.Waiting >= starvingAfter && p.mayStarve(step, pool)
		}
	}
}

// mayStarve reports whether the step's service and client account use little enough for the
// bound on its wait to hold.
func (p *planner) mayStarve(step *pendingStep, pool *pool) bool {
	if pool.capacity.Sub(pool.free).DominantShare(pool.capacity) >= starvingUsage {
		return false
	}
	usage, account := p.input.View.ClientAccount(step.job.ClientAccount)
	if account == nil {
		return true
	}
	return graph.WithinLimit(usage.Add(p.usedByClientAccount[step.job.ClientAccount]), account.Limit.Scale(starvingUsage))
}

// addCalls adds the part of the calls to the advisor that each entry needs to the entry, and
// the part that is in flight for it to its account.
func (p *planner) addCalls(entries []rank.Entry[*pendingStep]) {
	inFlight, free := 0, 0
	for i := range entries {
		step := entries[i].Item
		if step.queue == nil || step.queue.Advice == nil {
			continue
		}
		free = max(free, p.freeCalls(step.queue))
		if advice := p.adviceOf(step); advice != nil && advice.InFlight {
			inFlight++
		}
	}
	calls := inFlight + free
	if calls == 0 {
		return
	}
	for i := range entries {
		step := entries[i].Item
		switch {
		case p.needsCall(step):
			entries[i].Calls = 1 / float64(calls)
		case step.advice != nil && step.advice.InFlight:
			entries[i].Account.Calls += 1 / float64(calls)
		}
	}
}

// recordPutBehind records the rule by which the step was put behind others if it still
// waits. Ahead is the last job that was not put behind.
func (p *planner) recordPutBehind(entry *rank.Entry[*pendingStep], ahead graph.JobID) {
	if _, waits := p.decision.WaitReasons[entry.Item.key]; waits && entry.Rule != rank.NotBehind {
		if p.decision.PutBehind == nil {
			p.decision.PutBehind = map[StepKey]PutBehind{}
		}
		p.decision.PutBehind[entry.Item.key] = PutBehind{
			Reason:  WaitReason(entry.Rule),
			Account: entry.Item.job.ClientAccount,
			Job:     ahead,
		}
	}
}
