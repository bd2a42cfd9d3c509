package config_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/config"
)

// TestExampleFilesRoundTrip checks that the documented example files are valid, and
// that the settings stay the same when encoded and parsed again.
func TestExampleFilesRoundTrip(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "docs", "examples", "instance-*.toml"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		settings, err := config.Load(file)
		qt.Assert(t, err, qt.IsNil)
		text, err := settings.TOML()
		qt.Assert(t, err, qt.IsNil)
		reparsed, err := config.Parse(file, []byte(text))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reparsed, qt.DeepEquals, settings)
	}
}

// FuzzParse checks that no input makes the parser or the validation panic.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile(filepath.Join("..", "..", "docs", "examples", "instance-1.toml"))
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = config.Parse("fuzz.toml", data)
	})
}
