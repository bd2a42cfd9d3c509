package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/jasmineward/jasmineward/internal/entry"
	"github.com/jasmineward/jasmineward/internal/note"
)

type waitFlags struct {
	wait time.Duration
}

func newWaitFlags(set *flag.FlagSet) *waitFlags {
	f := &waitFlags{}
	set.DurationVar(&f.wait, "wait", 5*time.Second, "how long to wait until the note is active on every instance")
	return f
}

// readNote reads a release note, in JSON if the file has the extension .json and
// else in TOML.
func readNote(path string) (note.Note, error) {
	var n note.Note
	data, err := os.ReadFile(path)
	if err != nil {
		return n, errors.Wrapf(errUsage, "note: %s", err)
	}
	if filepath.Ext(path) == ".json" {
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&n)
	} else {
		decoder := toml.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&n)
	}
	if err != nil {
		return n, errors.Wrapf(errUsage, "note %s: %s", path, err)
	}
	return n, nil
}

func noteCheck(ctx context.Context, t *tool, args []string) error {
	return t.sendNote(ctx, "note check", args, true, func(response entry.NoteResponse) error {
		return t.print(response, []string{"NOTE", "RESULT"},
			[][]string{{strconv.FormatUint(response.InForce.Number, 10), "sound"}})
	})
}

func noteDiff(ctx context.Context, t *tool, args []string) error {
	return t.sendNote(ctx, "note diff", args, true, func(response entry.NoteResponse) error {
		rows := make([][]string, 0, len(response.Diff))
		for _, d := range response.Diff {
			rows = append(rows, []string{string(d.Op), d.ItemType, d.Name, d.Before, d.After})
		}
		return t.print(response.Diff, []string{"OP", "THING", "NAME", "BEFORE", "AFTER"}, rows)
	})
}

func noteApply(ctx context.Context, t *tool, args []string) error {
	return t.sendNote(ctx, "note apply", args, false, func(response entry.NoteResponse) error {
		return t.print(response, []string{"NOTE", "IN-FORCE", "BEHIND"}, [][]string{{
			strconv.FormatUint(response.InForce.Number, 10), "yes", strings.Join(response.Lagging, " "),
		}})
	})
}

// sendNote sends the release note in the file that is the only argument of the
// command, and passes the response to show. With check, the cell only checks the
// note.
func (t *tool) sendNote(
	ctx context.Context, name string, args []string, check bool, show func(entry.NoteResponse) error,
) error {
	rest, extra, err := t.parse(name, args, 1)
	if err != nil {
		return err
	}
	n, err := readNote(rest[0])
	if err != nil {
		return err
	}
	c, err := t.operatorsClient()
	if err != nil {
		return err
	}
	wait := time.Duration(0)
	if f, ok := extra.(*waitFlags); ok {
		wait = f.wait
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout()+wait)
	defer cancel()
	response, err := c.ApplyNote(ctx, n, check, wait)
	if err != nil {
		return err
	}
	return show(response)
}

func noteGet(ctx context.Context, t *tool, args []string) error {
	if _, _, err := t.parse("note get", args, 0); err != nil {
		return err
	}
	c, err := t.operatorsClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout())
	defer cancel()
	response, err := c.ActiveConfig(ctx)
	if err != nil {
		return err
	}
	state := response.InForce
	rows := [][]string{{
		"note", strconv.FormatUint(state.Number, 10),
		"digest " + state.Digest + " behind [" + strings.Join(response.Lagging, " ") + "]",
	}}
	for _, name := range state.TeamNames() {
		team := state.Teams[name]
		rows = append(rows, []string{"team", name, fmt.Sprintf("share %g limit %+v", team.Weight(), team.Limit)})
	}
	for _, name := range state.ServiceNames() {
		s := state.Services[name]
		rows = append(rows, []string{
			"service", name,
			fmt.Sprintf("team %s kind %s open %t urgent %t preemptible %t", s.Team, s.Kind, s.Open, s.Urgent, s.Preemptible),
		})
	}
	for _, id := range state.KeyIDs() {
		rows = append(rows, []string{"key", id, "team " + state.Keys[id].Team})
	}
	return t.print(response, []string{"THING", "NAME", "VALUE"}, rows)
}

func keyNew(_ context.Context, t *tool, args []string) error {
	rest, _, err := t.parse("key new", args, 2)
	if err != nil {
		return err
	}
	secret, key, err := note.NewKey(rest[0], rest[1])
	if err != nil {
		return err
	}
	if t.asJSON {
		return t.print(struct {
			Key   string   `json:"key"`
			Entry note.Key `json:"entry"`
		}{
			Key:   secret,
			Entry: key,
		}, nil, nil)
	}
	_, err = fmt.Fprintf(t.out, "key, shown only once: %s\n\nfor a release note:\n\n[[changes]]\nop = \"add\"\n"+
		"key = { id = %q, team = %q, digest = %q }\n", secret, key.ID, key.Team, key.Digest)
	if err != nil {
		return errors.Wrap(err, "print")
	}
	return nil
}
