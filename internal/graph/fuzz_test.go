package graph

import (
	"testing"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// seedCommands returns commands of every kind, in an order in which all have an effect.
func seedCommands() []Command {
	announcement := newAnnouncement("w0", 1, 4000)
	task := TaskRef{Job: "a"}
	end := RunEnd{
		Target:  announcement.ID,
		Task:    task,
		Run:     1,
		Outcome: OutcomeFailed,
	}
	return []Command{
		{Config: testConfig(1, 6000)},
		{Target: announcement},
		{Submit: &Submit{
			Address: testAddress,
			ID:      "a",
			Spec: Spec{
				Steps: []Step{
					{
						Count:     2,
						Resources: quota.Resources{CPU: 1000},
					},
					{
						Count:       2,
						DependsOn:   []int{0},
						Gang:        true,
						Speculative: true,
					},
				},
				Occurrences: 2,
				Interval:    1,
			},
		}},
		{Place: &Place{Groups: [][]Placement{{{
			Task:   task,
			Run:    1,
			Target: announcement.ID,
		}}}}},
		{Evacuate: &Evacuate{Domain: "d"}},
		{Copy: &Speculate{Tasks: []TaskRef{task}}},
		{Evict: &Evict{Tasks: []TaskRef{task}}},
		{Events: &Events{Ends: []RunEnd{end}}},
		{Gone: &EndIncarnations{Targets: []TargetID{announcement.ID}}},
		{Evacuate: &Evacuate{
			Domain:    "d",
			Withdrawn: true,
		}},
		{Cancel: &Cancel{
			Address: testAddress,
			ID:      "a",
		}},
		{
			Time:  5000,
			Prune: &Prune{Before: 5000},
		},
	}
}

// readAll calls the queries that the leader makes with every decision and order.
func readAll(l *Ledger) {
	for _, target := range l.Targets() {
		l.Assignments(target.ID)
		l.IsTargetEvacuated(target.ID)
	}
	l.Counts()
	l.MostUrgentAdvice()
	l.Evacuations()
	l.Domains()
	l.View(time.UnixMilli(1000), func(v *View) {
		for _, job := range v.Jobs() {
			v.QueueOf(job)
			v.ServiceOf(job)
			for k := range job.Occurrences {
				for i := range job.Occurrences[k].Steps {
					job.IsStepReady(k, i, v.Now)
				}
			}
		}
	})
}

// A command of any form that is in the log is applied, or changes nothing. One that panics
// would end every replica, and again at each start.
func FuzzCommand(f *testing.F) {
	commands := seedCommands()
	for i, command := range commands {
		data, err := command.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, uint8(i))
		f.Add(data, uint8(len(commands)))
	}
	f.Fuzz(func(t *testing.T, data []byte, before uint8) {
		command, err := DecodeCommand(data)
		if err != nil {
			return
		}
		l := NewLedger()
		for i, seed := range seedCommands() {
			if i == int(before) {
				l.Apply(command)
				readAll(l)
			}
			l.Apply(seed)
			readAll(l)
		}
		l.Apply(command)
		readAll(l)
		state, err := l.Snapshot()()
		if err != nil {
			t.Fatal(err)
		}
		restored := NewLedger()
		if err := restored.Restore(state); err != nil {
			t.Fatalf("restore of the ledger's own snapshot: %s", err)
		}
		readAll(restored)
	})
}
