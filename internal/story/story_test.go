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

var update = flag.Bool("update", false, "rewrite the expectations")

// TestStories holds the stories of three jobs against golden files. The logs
// were written by real processes; each .id names the job that a caller
// complained of.
func TestStories(t *testing.T) {
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
			told := story.New(strings.TrimSpace(string(id)))
			c.Assert(told.Read("all", log), qt.IsNil)
			var got bytes.Buffer
			c.Assert(told.Write(&got), qt.IsNil)
			if *update {
				c.Assert(os.WriteFile(base+".golden", got.Bytes(), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(base + ".golden")
			c.Assert(err, qt.IsNil)
			c.Check(got.String(), qt.Equals, string(want))
		})
	}
}

// TestMissingLines tells what no line tells of.
func TestMissingLines(t *testing.T) {
	c := qt.New(t)
	told := story.New("5c0e7a21d94b36f8")
	c.Assert(told.Read("leader", strings.NewReader(
		`{"job":"5c0e7a21d94b36f8","msg":"sched: placed","tasks":"0.0.0:1@w7","time":"2026-12-04T10:00:00.100Z"}
{"job":"5c0e7a21d94b36f8","msg":"sched: pla
`)), qt.IsNil)
	c.Check(told.Findings(), qt.DeepEquals, []string{
		"no line tells of its end",
		"only one line tells of it",
		"no line of the end on w7: 0.0.0:1",
		"no line of its admission",
		"no advice was asked, or its line is missing",
		"1 lines could not be read",
	})
	c.Check(story.New("x").Findings(), qt.DeepEquals, []string{"no line names this job"})
}
