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

var update = flag.Bool("update", false, "rewrite the tables of the page")

// TestPage sees that the tables of docs/CAPACITY.md are those that the
// committed data gives.
func TestPage(t *testing.T) {
	docs := filepath.Join("..", "..", "docs")
	file, err := sizes.ReadFile(filepath.Join(docs, "capacity.json"))
	qt.Assert(t, err, qt.IsNil)
	path := filepath.Join(docs, "CAPACITY.md")
	page, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	want, err := file.Fill(string(page))
	qt.Assert(t, err, qt.IsNil)
	if *update {
		qt.Assert(t, os.WriteFile(path, []byte(want), 0o600), qt.IsNil)
		page = []byte(want)
	}
	qt.Assert(t, string(page), qt.Equals, want)
}

func TestFit(t *testing.T) {
	s := sizes.Fit("a", "us", "x", []sizes.Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 4, Y: 11}})
	qt.Assert(t, math.Abs(s.Slope-2) < 1e-9, qt.IsTrue)
	qt.Assert(t, math.Abs(s.Intercept-3) < 1e-9, qt.IsTrue)
	qt.Assert(t, s.Residual < 1e-9, qt.IsTrue)
}
