package story_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/story"
)

var update = flag.Bool("update", false, "update the golden files")

// TestGoldenFiles compares the histories of three jobs with golden files. The
// logs were written by real processes. Each .id file holds the ID of a job that
// a caller reported as refused, failed or late.
func TestGoldenFiles(t *testing.T) {
	ids, err := filepath.Glob(filepath.Join("testdata", "*.id"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ids, qt.Not(qt.HasLen), 0)
	for _, path := range ids {
		base := strings.TrimSuffix(path, ".id")
		t.Run(filepath.Base(base), func(t *testing.T) {
			c := qt.New(t)
			id, err := os.ReadFile(path)
			c.Assert(err, qt.IsNil)
			log, err := os.Open(base + ".log")
			c.Assert(err, qt.IsNil)
			defer func() { _ = log.Close() }()
			timeline := story.New(strings.TrimSpace(string(id)))
			c.Assert(timeline.AddLog("all", log), qt.IsNil)
			var got bytes.Buffer
			c.Assert(timeline.WriteReport(&got), qt.IsNil)
			if *update {
				c.Assert(os.WriteFile(base+".golden", got.Bytes(), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(base + ".golden")
			c.Assert(err, qt.IsNil)
			c.Check(got.String(), qt.Equals, string(want))
		})
	}
}

// TestMissingLines checks that the summary lists expected log lines that are
// absent, and counts malformed ones.
func TestMissingLines(t *testing.T) {
	c := qt.New(t)
	timeline := story.New("5c0e7a21d94b36f8")
	c.Assert(timeline.AddLog("leader", strings.NewReader(
		`{"job":"5c0e7a21d94b36f8","msg":"sched: placed","tasks":"0.0.0:1@w7","time":"2026-12-04T10:00:00.100Z"}
{"job":"5c0e7a21d94b36f8","msg":"sched: pla
`)), qt.IsNil)
	c.Check(timeline.Summary(), qt.DeepEquals, []string{
		"no log line reports the end of the job",
		"only one log line mentions this job",
		"no log line for the end of runs on w7: 0.0.0:1",
		"no log line for the admission",
		"no advice was requested, or its log line is missing",
		"1 log lines could not be parsed",
	})
	c.Check(story.New("x").Summary(), qt.DeepEquals, []string{"no log line mentions this job"})
}
