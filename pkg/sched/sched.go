// Package sched assigns tasks to workers. An Engine tracks workers, teams
// and waiting jobs, and Decide returns the next placements, preemptions and
// refusals. The Engine's state is only a model: the caller validates each
// decision and reports its outcome back to the Engine.
//
// Each kind of job has its own policy. Teams are served in ascending order
// of their weighted dominant resource shares, averaged over a time window.
package sched

import (
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// JobID identifies a job to the Engine.
type JobID uint64

// Kind is the kind of a job. It selects the policy that places the job.
type Kind uint8

// Kinds of jobs.
const (
	KindService Kind = iota + 1
	KindBatch
	KindGang
)

// String returns the name of the kind, or "none" if it is unknown.
func (k Kind) String() string {
	switch k {
	case KindService:
		return "service"
	case KindBatch:
		return "batch"
	case KindGang:
		return "gang"
	}
	return "none"
}

// Job describes a job to the Engine and its policies.
type Job struct {
	ID          JobID
	Team        string
	Service     string
	Kind        Kind
	Resources   quota.Resources
	Tasks       int
	Urgent      bool
	Preemptible bool
	Idempotent  bool
	Submitted   time.Time
	// StartBy is the latest useful start time; the zero time means no limit.
	StartBy time.Time
	// DeclaredRunTime is the declared run time; zero means unknown.
	DeclaredRunTime time.Duration
}

// Worker describes the capacity and location that a worker announced.
type Worker struct {
	ID       string
	Capacity quota.Resources
	Slots    int
	Rack     string
	Domain   string
}

// Team has a share weight and a resource limit.
type Team struct {
	Name   string
	Weight float64
	Limit  quota.Resources
}

// DecisionType is the type of a decision.
type DecisionType uint8

// Types of decisions.
const (
	DecisionPlace DecisionType = iota + 1
	DecisionPreempt
	DecisionRefuse
)

// Placement assigns a task of the decision's job to a worker.
type Placement struct {
	Task    int
	Attempt uint32
	Worker  string
}

// Victim is an attempt to be preempted.
type Victim struct {
	Job     JobID
	Task    int
	Attempt uint32
	Worker  string
}

// Decision is a placement, preemption or refusal returned by Decide.
type Decision struct {
	Type       DecisionType
	Job        JobID
	Team       string
	Policy     string
	Placements []Placement
	Victims    []Victim
	Reason     string
	// Wait is how long the job had waited since its submission.
	Wait time.Duration
}

// Scheduler is the interface common to Engine and Baseline.
type Scheduler interface {
	SetWorker(w Worker)
	RemoveWorker(id string)
	SetTeam(t Team)
	Submit(j Job)
	Finished(id JobID, task int, result Result)
	Decide(now time.Time, limit int) []Decision
}

// Result describes how an attempt ended.
type Result struct {
	EndedAt time.Time
	RunTime time.Duration
	Failed  bool
	Started bool
}
