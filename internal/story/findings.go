package story

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Messages that the findings are drawn from.
const (
	msgAdmitted  = "admit: admitted"
	msgRefused   = "admit: refused"
	msgNotServed = "entry: not served"
	msgPlaced    = "sched: placed"
	msgWaits     = "sched: waits"
	msgAdvised   = "advice: answered"
	msgEnded     = "target: runs ended"
	msgOver      = "job: over"
)

// run is one run of a task, by its name occurrence.step.index:run.
type run struct {
	target string
	placed time.Time
	how    string
	ended  time.Time
}

// Findings sums the lines up: what came of the job, which part of its way took
// longest, which runs did not end as done, and which lines are missing.
func (s *Story) Findings() []string {
	if len(s.Lines) == 0 {
		return []string{"no line names this job"}
	}
	s.Sort()
	var all []string
	all = append(all, s.outcome())
	all = append(all, s.longest())
	all = append(all, s.reasons()...)
	all = append(all, s.failures()...)
	return append(all, s.missing()...)
}

// last returns the last line with the message, or nil.
func (s *Story) last(message string) *Line {
	for i := len(s.Lines) - 1; i >= 0; i-- {
		if s.Lines[i].Message == message {
			return &s.Lines[i]
		}
	}
	return nil
}

func (s *Story) outcome() string {
	if over := s.last(msgOver); over != nil {
		return fmt.Sprintf("the job ended as %v after %s", over.Fields["state"], s.since(*over))
	}
	if refused := s.last(msgRefused); refused != nil {
		return fmt.Sprintf("it was refused: %v", refused.Fields["refusal"])
	}
	if not := s.last(msgNotServed); not != nil && s.last(msgAdmitted) == nil {
		return fmt.Sprintf("a caller was told %v: %v%s", not.Fields["status"], not.Fields["refusal"], errorOf(not))
	}
	return "no line tells of its end"
}

func errorOf(line *Line) string {
	if err, found := line.Fields["error"]; found {
		return fmt.Sprintf(" (%v)", err)
	}
	return ""
}

// longest returns the longest time between two lines.
func (s *Story) longest() string {
	at := 0
	for i := 1; i < len(s.Lines); i++ {
		if s.gap(i) > s.gap(at) {
			at = i
		}
	}
	if at == 0 {
		return "only one line tells of it"
	}
	return fmt.Sprintf("the longest time is %.3fs, from %q to %q", s.gap(at).Seconds(),
		s.Lines[at-1].Message, s.Lines[at].Message)
}

func (s *Story) gap(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return s.Lines[i].Time.Sub(s.Lines[i-1].Time)
}

// reasons tells why its steps waited.
func (s *Story) reasons() []string {
	var all []string
	for _, line := range s.Lines {
		if line.Message == msgWaits {
			all = append(all, fmt.Sprintf("step %v waited for %v", line.Fields["step"], line.Fields["reason"]))
		}
	}
	return all
}

// runs gathers the runs from the lines of placements and ends.
func (s *Story) runs() map[string]*run {
	runs := map[string]*run{}
	for _, line := range s.Lines {
		for _, name := range strings.Fields(fmt.Sprint(line.Fields["tasks"])) {
			switch line.Message {
			case msgPlaced:
				name, target, _ := strings.Cut(name, "@")
				runs[name] = &run{
					target: target,
					placed: line.Time,
				}
			case msgEnded:
				r := runs[name]
				if r == nil {
					r = &run{target: fmt.Sprint(line.Fields["target"])}
					runs[name] = r
				}
				r.how = fmt.Sprint(line.Fields["how"])
				r.ended = line.Time
			}
		}
	}
	return runs
}

// failures tells of the runs that did not end as done, by target.
func (s *Story) failures() []string {
	byTarget := map[string][]string{}
	for name, r := range s.runs() {
		if r.how != "" && r.how != "done" {
			key := fmt.Sprintf("%s on %s", r.how, r.target)
			byTarget[key] = append(byTarget[key], name)
		}
	}
	return listed(byTarget)
}

// missing tells of runs that were placed and of whose end no line tells.
func (s *Story) missing() []string {
	byTarget := map[string][]string{}
	for name, r := range s.runs() {
		if r.how == "" {
			key := "no line of the end on " + r.target
			byTarget[key] = append(byTarget[key], name)
		}
	}
	all := listed(byTarget)
	if s.last(msgAdmitted) == nil && s.last(msgPlaced) != nil {
		all = append(all, "no line of its admission")
	}
	if s.last(msgAdvised) == nil && s.last(msgPlaced) != nil {
		all = append(all, "no advice was asked, or its line is missing")
	}
	if s.Unread > 0 {
		all = append(all, fmt.Sprintf("%d lines could not be read", s.Unread))
	}
	return all
}

func listed(groups map[string][]string) []string {
	var all []string
	for key, names := range groups {
		sort.Strings(names)
		all = append(all, key+": "+strings.Join(names, " "))
	}
	sort.Strings(all)
	return all
}
