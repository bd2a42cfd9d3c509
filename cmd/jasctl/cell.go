package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/client"
	"github.com/jasmineward/jasmineward/internal/entry"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

func (t *tool) fetchCell(ctx context.Context, name string, args []string) (entry.CellResponse, error) {
	if _, _, err := t.parse(name, args, 0); err != nil {
		return entry.CellResponse{}, err
	}
	c, err := t.operatorsClient()
	if err != nil {
		return entry.CellResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout())
	defer cancel()
	return c.Cell(ctx)
}

func cellStatus(ctx context.Context, t *tool, args []string) error {
	cell, err := t.fetchCell(ctx, "cell status", args)
	if err != nil {
		return err
	}
	rows := [][]string{
		{"cell", cell.Cell},
		{"leader", cell.Leader},
		{"term", strconv.FormatUint(cell.Term, 10)},
		{"commit", strconv.FormatUint(cell.CommitIndex, 10)},
		{"targets", strconv.Itoa(len(cell.Targets))},
		{"tasks waiting", strconv.Itoa(cell.WaitingTasks)},
		{"tasks running", strconv.Itoa(cell.RunningTasks)},
		{"packing", fmt.Sprintf("%.3f", cell.Packing)},
	}
	for _, team := range cell.Teams {
		rows = append(rows, []string{
			"team " + team.Name,
			fmt.Sprintf("share %g now %.3f running %d queued %d over-limit %t",
				team.Weight, team.Share, team.Tasks, team.Queued, team.OverLimit),
		})
	}
	return t.print(cell, []string{"WHAT", "VALUE"}, rows)
}

func instanceList(ctx context.Context, t *tool, args []string) error {
	cell, err := t.fetchCell(ctx, "instance list", args)
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(cell.Instances))
	for _, i := range cell.Instances {
		rows = append(rows, []string{
			i.Name, i.Domain, i.Role, strconv.FormatUint(i.NoteNumber, 10), i.SinceLastContact.Round(time.Millisecond).String(),
		})
	}
	return t.print(cell.Instances, []string{"NAME", "DOMAIN", "ROLE", "NOTE", "SILENT"}, rows)
}

func instanceAdd(_ context.Context, t *tool, args []string) error {
	if _, _, err := t.parse("instance add", args, 0); err != nil {
		return err
	}
	_, err := fmt.Fprintln(t.out, "to add an instance, start jasmined with the address of any other instance in"+
		" [peers] addresses; with a data-folder it becomes a learner, and a voter if one is needed")
	if err != nil {
		return errors.Wrap(err, "print")
	}
	return nil
}

// callByName calls the operators' API with the name that is the only argument of
// the command, and returns the name and the response.
func callByName[V any](
	ctx context.Context, t *tool, command string, args []string,
	call func(ctx context.Context, c *client.Client, name string) (V, error),
) (string, V, error) {
	var zero V
	rest, _, err := t.parse(command, args, 1)
	if err != nil {
		return "", zero, err
	}
	c, err := t.operatorsClient()
	if err != nil {
		return "", zero, err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout())
	defer cancel()
	response, err := call(ctx, c, rest[0])
	return rest[0], response, err
}

func instanceRemove(ctx context.Context, t *tool, args []string) error {
	remove := func(ctx context.Context, c *client.Client, name string) ([]raft.Member, error) {
		return c.RemoveInstance(ctx, name)
	}
	_, members, err := callByName(ctx, t, "instance remove", args, remove)
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(members))
	for _, m := range members {
		rows = append(rows, []string{m.Name, m.Domain, strconv.FormatBool(m.Voter)})
	}
	return t.print(members, []string{"NAME", "DOMAIN", "VOTER"}, rows)
}

func targetList(ctx context.Context, t *tool, args []string) error {
	cell, err := t.fetchCell(ctx, "target list", args)
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(cell.Targets))
	for _, v := range cell.Targets {
		state := "live"
		switch {
		case v.Leaving:
			state = "leaving"
		case v.Quarantined:
			state = "quarantined"
		}
		rows = append(rows, []string{
			v.ID, v.Domain, v.Rack, state,
			fmt.Sprintf("%d/%d", v.Running, v.Slots),
			fmt.Sprintf("%d/%d", v.MilliCPUUsed, v.MilliCPU),
			fmt.Sprintf("%d/%d", v.MemoryMiBUsed, v.MemoryMiB),
		})
	}
	return t.print(cell.Targets, []string{"ID", "DOMAIN", "RACK", "STATE", "SLOTS", "MILLI-CPU", "MEMORY-MIB"}, rows)
}

func targetDrain(ctx context.Context, t *tool, args []string) error {
	drain := func(ctx context.Context, c *client.Client, name string) (entry.LeaveResponse, error) {
		return c.Drain(ctx, name)
	}
	name, response, err := callByName(ctx, t, "target drain", args, drain)
	if err != nil {
		return err
	}
	return t.print(response, []string{"TARGET", "STILL-RUNNING"}, [][]string{{name, strconv.Itoa(response.Running)}})
}
