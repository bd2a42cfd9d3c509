// Package story reconstructs the history of one job from the logs of several
// processes. It merges the log lines in order of time, and summarizes the
// outcome, the delays, and the log lines that are missing.
package story

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Line is one log line about the job.
type Line struct {
	Time time.Time
	// Source is the process that logged the line.
	Source  string
	Message string
	// Fields are the remaining fields, without job, level, msg and time.
	Fields map[string]any
}

// Timeline is the history of one job.
type Timeline struct {
	Job   string
	Lines []Line
	// Malformed counts lines that contain the job's ID but are not valid JSON.
	Malformed int
}

// New returns an empty history of the job.
func New(job string) *Timeline {
	return &Timeline{Job: job}
}

// AddLog adds the lines of a log that belong to the job. The name identifies
// the process that wrote the log. In a log collected from several processes,
// the last word before a line's JSON object identifies the process instead.
func (t *Timeline) AddLog(name string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if strings.Contains(text, t.Job) {
			t.addLine(name, text)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrapf(err, "read log %s", name)
	}
	return nil
}

func (t *Timeline) addLine(source, text string) {
	prefix, body, found := strings.Cut(text, "{")
	fields := map[string]any{}
	if !found || json.Unmarshal([]byte("{"+body), &fields) != nil {
		t.Malformed++
		return
	}
	if fields["job"] != t.Job {
		return
	}
	if words := strings.Fields(prefix); len(words) > 0 {
		source = words[len(words)-1]
	}
	line := Line{
		Source:  source,
		Message: fmt.Sprint(fields["msg"]),
		Fields:  fields,
	}
	line.Time, _ = time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	for _, key := range []string{"job", "level", "msg", "time"} {
		delete(fields, key)
	}
	t.Lines = append(t.Lines, line)
}

// sort orders the lines by time.
func (t *Timeline) sort() {
	sort.SliceStable(t.Lines, func(i, j int) bool { return t.Lines[i].Time.Before(t.Lines[j].Time) })
}

// WriteReport prints the lines, each with the time elapsed since the first, and
// then the summary.
func (t *Timeline) WriteReport(out io.Writer) error {
	t.sort()
	var b strings.Builder
	for _, line := range t.Lines {
		fmt.Fprintf(&b, "%8s  %-20s %s%s\n", t.elapsed(line), line.Source, line.Message, formatFields(line))
	}
	for _, text := range t.Summary() {
		fmt.Fprintf(&b, "- %s\n", text)
	}
	if _, err := io.WriteString(out, b.String()); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}

// elapsed formats the time from the first line to this one.
func (t *Timeline) elapsed(line Line) string {
	return fmt.Sprintf("+%.3fs", line.Time.Sub(t.Lines[0].Time).Seconds())
}

// formatFields formats the line's fields in alphabetical order.
func formatFields(line Line) string {
	keys := make([]string, 0, len(line.Fields))
	for key := range line.Fields {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var b strings.Builder
	for _, key := range keys {
		fmt.Fprintf(&b, " %s=%v", key, line.Fields[key])
	}
	return b.String()
}
