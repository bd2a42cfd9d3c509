// Package story puts together what the logs of several processes say of one
// job: its lines in order, what each part of its way took, and what is missing.
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

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// Line is one line of a log about the job.
type Line struct {
	Time time.Time
	// Source is where the line was written.
	Source  string
	Message string
	// Fields are the line's others, without those that every line has.
	Fields map[string]any
}

// Story is what is known of a job.
type Story struct {
	Job   string
	Lines []Line
	// Unread counts lines that are not JSON.
	Unread int
}

// New returns an empty story of the job.
func New(job string) *Story {
	return &Story{Job: job}
}

// Read adds what a log says. The name stands for the process that wrote it; a
// word before the JSON of a line goes before it, as where the lines of several
// processes were gathered.
func (s *Story) Read(name string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if strings.Contains(text, s.Job) {
			s.take(name, text)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrapf(err, "read log %s", name)
	}
	return nil
}

func (s *Story) take(name, text string) {
	prefix, body, found := strings.Cut(text, "{")
	fields := map[string]any{}
	if !found || json.Unmarshal([]byte("{"+body), &fields) != nil {
		s.Unread++
		return
	}
	if fields["job"] != s.Job {
		return
	}
	if words := strings.Fields(prefix); len(words) > 0 {
		name = words[len(words)-1]
	}
	line := Line{
		Source:  name,
		Message: fmt.Sprint(fields["msg"]),
		Fields:  fields,
	}
	line.Time, _ = time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	for _, key := range []string{"job", "level", "msg", "time"} {
		delete(fields, key)
	}
	s.Lines = append(s.Lines, line)
}

// Sort brings the lines into the order of their times.
func (s *Story) Sort() {
	sort.SliceStable(s.Lines, func(i, j int) bool { return s.Lines[i].Time.Before(s.Lines[j].Time) })
}

// Write prints the lines, each with the time since the first, and then the
// findings.
func (s *Story) Write(out io.Writer) error {
	s.Sort()
	var b strings.Builder
	for _, line := range s.Lines {
		fmt.Fprintf(&b, "%8s  %-20s %s%s\n", s.since(line), line.Source, line.Message, fieldsOf(line))
	}
	for _, finding := range s.Findings() {
		fmt.Fprintf(&b, "- %s\n", finding)
	}
	if _, err := io.WriteString(out, b.String()); err != nil {
		return errors.Wrap(err, "write story")
	}
	return nil
}

// since returns the time from the first line to this one.
func (s *Story) since(line Line) string {
	return fmt.Sprintf("+%.3fs", line.Time.Sub(s.Lines[0].Time).Seconds())
}

func fieldsOf(line Line) string {
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
