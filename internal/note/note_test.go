package note_test

import (
	"encoding/json"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/note"
)

func addTeam(number uint64, name string) note.Note {
	return note.Note{
		Number: number,
		Changes: []note.Change{{
			Op:   note.OpAdd,
			Team: &note.Team{Name: name},
		}},
	}
}

// TestApplyOrder checks that notes apply only in the order of their numbers:
// a repeated note changes nothing, and a reused or skipped number is refused.
func TestApplyOrder(t *testing.T) {
	c := qt.New(t)
	empty := note.NewState()
	one, err := empty.Apply(addTeam(1, "dispatch"))
	c.Assert(err, qt.IsNil)
	repeated, err := one.Apply(addTeam(1, "dispatch"))
	c.Assert(err, qt.IsNil)
	c.Check(repeated, qt.Equals, one)
	var conflict *note.ConflictError
	_, err = one.Apply(addTeam(1, "parks"))
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Check(conflict.Digest, qt.Equals, one.Digest)
	var gap *note.GapError
	_, err = one.Apply(addTeam(3, "parks"))
	c.Check(errors.As(err, &gap), qt.IsTrue)
	var faults *note.FaultsError
	_, err = one.Apply(addTeam(2, "dispatch"))
	c.Check(errors.As(err, &faults), qt.IsTrue)
	c.Check(note.Diff(empty, one), qt.HasLen, 1)
	c.Check(empty.Teams, qt.HasLen, 0)
}

// TestAuthenticate checks that a token is accepted only unaltered, and no
// longer once its key is withdrawn.
func TestAuthenticate(t *testing.T) {
	c := qt.New(t)
	token, key, err := note.NewKey("k", "dispatch")
	c.Assert(err, qt.IsNil)
	state, err := note.NewState().Apply(addTeam(1, "dispatch"))
	c.Assert(err, qt.IsNil)
	state, err = state.Apply(note.Note{
		Number: 2,
		Changes: []note.Change{{
			Op:  note.OpAdd,
			Key: &key,
		}},
	})
	c.Assert(err, qt.IsNil)
	found, err := state.Authenticate(token)
	c.Assert(err, qt.IsNil)
	c.Check(found.Team, qt.Equals, "dispatch")
	for _, wrong := range []string{"", "jw.k", "jw.k.", token + "x", "jw.other." + token[5:]} {
		_, err := state.Authenticate(wrong)
		c.Check(err, qt.Equals, note.ErrInvalidKey)
	}
	state, err = state.Apply(note.Note{
		Number: 3,
		Changes: []note.Change{{
			Op:  note.OpWithdraw,
			Key: &note.Key{ID: "k"},
		}},
	})
	c.Assert(err, qt.IsNil)
	_, err = state.Authenticate(token)
	c.Check(err, qt.Equals, note.ErrInvalidKey)
}

// FuzzApply checks that Apply accepts any decodable note without a panic,
// never changes its receiver, and advances the number by one on success.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"number":1,"changes":[{"op":"add","team":{"name":"a","limit":{"milli-cpu":1}}}]}`))
	f.Add([]byte(`{"number":1,"changes":[{"op":"withdraw","key":{"id":"a"}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var n note.Note
		if json.Unmarshal(data, &n) != nil {
			return
		}
		before := note.NewState()
		after, err := before.Apply(n)
		if err == nil && after.Number != before.Number+1 {
			t.Fatalf("applying note %d gave a configuration with number %d", n.Number, after.Number)
		}
		if len(before.Teams)+len(before.Keys)+len(before.Services) > 0 {
			t.Fatal("Apply modified its receiver")
		}
	})
}
