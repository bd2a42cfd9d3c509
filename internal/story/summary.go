package story

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Log messages that the summary is derived from.
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

// run is one run of a task. Logs name it occurrence.step.index:run.
type run struct {
	target  string
	placed  time.Time
	outcome string
	ended   time.Time
}

// Summary describes the job's outcome, the longest gap between its log lines,
// why its steps waited, the runs that did not succeed, and the log lines that
// are missing.
func (t *Timeline) Summary() []string {
	if len(t.Lines) == 0 {
		return []string{"no log line mentions this job"}
	}
	t.sort()
	var summary []string
	summary = append(summary, t.outcome())
	summary = append(summary, t.longestGap())
	summary = append(summary, t.waitReasons()...)
	summary = append(summary, t.failedRuns()...)
	return append(summary, t.missingLines()...)
}

// last returns the last line with the message, or nil.
func (t *Timeline) last(message string) *Line {
	for i := len(t.Lines) - 1; i >= 0; i-- {
		if t.Lines[i].Message == message {
			return &t.Lines[i]
		}
	}
	return nil
}

func (t *Timeline) outcome() string {
	if over := t.last(msgOver); over != nil {
		return fmt.Sprintf("the job ended as %v after %s", over.Fields["state"], t.elapsed(*over))
	}
	if refused := t.last(msgRefused); refused != nil {
		return fmt.Sprintf("the job was refused: %v", refused.Fields["refusal"])
	}
	if notServed := t.last(msgNotServed); notServed != nil && t.last(msgAdmitted) == nil {
		return fmt.Sprintf("the caller received status %v: %v%s",
			notServed.Fields["status"], notServed.Fields["refusal"], errorSuffix(notServed))
	}
	return "no log line reports the end of the job"
}

// errorSuffix returns the line's error in parentheses, or "" if it has none.
func errorSuffix(line *Line) string {
	if err, found := line.Fields["error"]; found {
		return fmt.Sprintf(" (%v)", err)
	}
	return ""
}

// longestGap describes the longest time between two consecutive lines.
func (t *Timeline) longestGap() string {
	longest := 0
	for i := 1; i < len(t.Lines); i++ {
		if t.gapBefore(i) > t.gapBefore(longest) {
			longest = i
		}
	}
	if longest == 0 {
		return "only one log line mentions this job"
	}
	return fmt.Sprintf("the longest time is %.3fs, from %q to %q", t.gapBefore(longest).Seconds(),
		t.Lines[longest-1].Message, t.Lines[longest].Message)
}

// gapBefore returns the time between line i and the line before it.
func (t *Timeline) gapBefore(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return t.Lines[i].Time.Sub(t.Lines[i-1].Time)
}

// waitReasons lists why the job's steps waited.
func (t *Timeline) waitReasons() []string {
	var reasons []string
	for _, line := range t.Lines {
		if line.Message == msgWaits {
			reasons = append(reasons, fmt.Sprintf("step %v waited for %v", line.Fields["step"], line.Fields["reason"]))
		}
	}
	return reasons
}

// runs collects the job's runs by name from the lines that report placements
// and ends.
func (t *Timeline) runs() map[string]*run {
	runs := map[string]*run{}
	for _, line := range t.Lines {
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
				r.outcome = fmt.Sprint(line.Fields["how"])
				r.ended = line.Time
			}
		}
	}
	return runs
}

// failedRuns lists the runs that ended other than as done, by outcome and
// target.
func (t *Timeline) failedRuns() []string {
	groups := map[string][]string{}
	for name, r := range t.runs() {
		if r.outcome != "" && r.outcome != "done" {
			key := fmt.Sprintf("%s on %s", r.outcome, r.target)
			groups[key] = append(groups[key], name)
		}
	}
	return formatGroups(groups)
}

// missingLines lists the log lines that are expected but absent, among them the
// ends of placed runs, and counts the lines that could not be parsed.
func (t *Timeline) missingLines() []string {
	groups := map[string][]string{}
	for name, r := range t.runs() {
		if r.outcome == "" {
			key := "no log line for the end of runs on " + r.target
			groups[key] = append(groups[key], name)
		}
	}
	missing := formatGroups(groups)
	if t.last(msgAdmitted) == nil && t.last(msgPlaced) != nil {
		missing = append(missing, "no log line for the admission")
	}
	if t.last(msgAdvised) == nil && t.last(msgPlaced) != nil {
		missing = append(missing, "no advice was requested, or its log line is missing")
	}
	if t.Malformed > 0 {
		missing = append(missing, fmt.Sprintf("%d log lines could not be parsed", t.Malformed))
	}
	return missing
}

// formatGroups returns one sorted "key: names" string for each group.
func formatGroups(groups map[string][]string) []string {
	var formatted []string
	for key, names := range groups {
		sort.Strings(names)
		formatted = append(formatted, key+": "+strings.Join(names, " "))
	}
	sort.Strings(formatted)
	return formatted
}
