package sizes_test

import (
	"flag"
	"math"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/sizes"
)

var update = flag.Bool("update", false, "rewrite the tables of docs/CAPACITY.md")

// Guards against tables in docs/CAPACITY.md that differ from those generated
// from the committed docs/capacity.json.
func TestCapacityTablesMatchData(t *testing.T) {
	docs := filepath.Join("..", "..", "docs")
	measurements, err := sizes.ReadFile(filepath.Join(docs, "capacity.json"))
	qt.Assert(t, err, qt.IsNil)
	path := filepath.Join(docs, "CAPACITY.md")
	page, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	expected, err := measurements.ReplaceTables(string(page))
	qt.Assert(t, err, qt.IsNil)
	if *update {
		qt.Assert(t, os.WriteFile(path, []byte(expected), 0o600), qt.IsNil)
		page = []byte(expected)
	}
	qt.Assert(t, string(page), qt.Equals, expected)
}

func TestFit(t *testing.T) {
	model := sizes.Fit("a", "us", "x", []sizes.Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 4, Y: 11}})
	qt.Assert(t, math.Abs(model.Slope-2) < 1e-9, qt.IsTrue)
	qt.Assert(t, math.Abs(model.Intercept-3) < 1e-9, qt.IsTrue)
	qt.Assert(t, model.MaxResidual < 1e-9, qt.IsTrue)
}
