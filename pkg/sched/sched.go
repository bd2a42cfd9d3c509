// Package sched decides which task goes to which worker. An Engine keeps a
// view of workers, teams and waiting jobs, and Decide returns the next
// placements, preemptions and refusals. It holds no promise of its own: who
// uses it checks each decision and tells the Engine what became of it.
//
// Each kind of job has its own policy. Teams are served in the order of
// their weighted dominant share over a window.
package sched

import (
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// JobID identifies a job to the Engine.
type JobID uint64

// Kind is the kind of a job, which chooses its policy.
type Kind uint8

// Kinds of jobs.
const (
	KindService Kind = iota + 1
	KindBatch
	KindGang
)

// String returns the kind's name.
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

// Job is what a policy knows of a job.
type Job struct {
	ID          JobID
	Team        string
	Service     string
	Kind        Kind
	Room        quota.Room
	Tasks       int
	Urgent      bool
	Preemptible bool
	Idempotent  bool
	Submitted   time.Time
	// StartBy is when the job is no longer worth starting; zero is never.
	StartBy time.Time
	// Run is the declared run time; zero is unknown.
	Run time.Duration
}

// Worker is a worker as it announced itself.
type Worker struct {
	ID       string
	Capacity quota.Room
	Slots    int
	Rack     string
	Domain   string
}

// Team has a share and an upper limit.
type Team struct {
	Name   string
	Weight float64
	Limit  quota.Room
}

// Verb is what a decision does.
type Verb uint8

// Verbs of decisions.
const (
	VerbPlace Verb = iota + 1
	VerbPreempt
	VerbRefuse
)

// Spot puts a task of the decision's job on a worker.
type Spot struct {
	Task    int
	Attempt uint32
	Worker  string
}

// Victim is an attempt that has to make room.
type Victim struct {
	Job     JobID
	Task    int
	Attempt uint32
	Worker  string
}

// Decision is one outcome of Decide.
type Decision struct {
	Verb    Verb
	Job     JobID
	Team    string
	Policy  string
	Spots   []Spot
	Victims []Victim
	Reason  string
	// Wait is how long the job had waited.
	Wait time.Duration
}

// Decider is what an Engine and the baseline have in common.
type Decider interface {
	SetWorker(w Worker)
	RemoveWorker(id string)
	SetTeam(t Team)
	Submit(j Job)
	Finished(id JobID, task int, result Result)
	Decide(now time.Time, most int) []Decision
}

// Result tells how an attempt ended.
type Result struct {
	Now     time.Time
	Ran     time.Duration
	Failed  bool
	Started bool
}
