package sizes

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// The budget of a node for control, as the users' plan states it.
const (
	budgetCores = 0.044
	budgetMiB   = 32
	budgetBytes = 17_000
)

// ReadFile reads the committed data.
func ReadFile(path string) (File, error) {
	var f File
	data, err := os.ReadFile(path)
	if err != nil {
		return f, errors.Wrap(err, "read sizes")
	}
	if err := json.Unmarshal(data, &f); err != nil {
		return f, errors.Wrap(err, "decode sizes")
	}
	return f, nil
}

// WriteFile writes the data.
func WriteFile(path string, f File) error {
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode sizes")
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o600); err != nil {
		return errors.Wrap(err, "write sizes")
	}
	return nil
}

// Tables returns the tables of the page by their names.
func (f File) Tables() map[string]string {
	return map[string]string{
		"slopes": f.slopeTable(),
		"roles":  f.roleTable(),
		"held":   f.heldTable(),
	}
}

func (f File) slopeTable() string {
	rows := [][]string{{"cost", "unit", "slope per", "slope", "spread", "intercept", "largest residual"}}
	for _, s := range f.Slopes {
		rows = append(rows, []string{
			s.Name, s.Unit, s.Per, number(s.Slope),
			number(s.Low) + " to " + number(s.High), number(s.Intercept),
			fmt.Sprintf("%.0f%%", 100*s.Residual),
		})
	}
	return markdown(rows)
}

func (f File) roleTable() string {
	rows := [][]string{{
		"role", "state", "messages/s", "cores", "MiB", "KB/s", "syncs/s", "within a node's budget", "carried by",
	}}
	for _, r := range Planned().Roles(f) {
		rows = append(rows, []string{
			r.Name, r.State, number(r.Messages), number(r.Cost.Cores), number(r.Cost.MiB),
			number(r.Cost.Bytes / 1000), number(r.Syncs), verdict(r.Cost), r.Mechanism,
		})
	}
	return markdown(rows)
}

// verdict names the parts of the budget that the cost is over.
func verdict(c Cost) string {
	var over []string
	if c.Cores > budgetCores {
		over = append(over, "cores")
	}
	if c.MiB > budgetMiB {
		over = append(over, "memory")
	}
	if c.Bytes > budgetBytes {
		over = append(over, "bytes")
	}
	if len(over) == 0 {
		return "yes"
	}
	return "no: " + strings.Join(over, ", ")
}

func (f File) heldTable() string {
	rows := [][]string{{"run", "role", "what", "predicted", "measured", "error"}}
	for _, h := range f.Held {
		plan := h.plan()
		roles := plan.Roles(f)
		rows = append(rows, heldRows(h.Name, "voter, leading", roles[0].Cost, h.Leader)...)
		rows = append(rows, heldRows(h.Name, "voter, following", roles[1].Cost, h.Follower)...)
		if h.Entries > 0 {
			rows = append(rows, heldRows(h.Name, "entry instance", roles[3].Cost, h.Entry)...)
		}
	}
	return markdown(rows)
}

// plan returns the plan by which the run is predicted.
func (h Held) plan() Plan {
	p := Planned()
	p.Workers = h.Workers
	p.Running = h.Running
	p.Starts = h.Starts
	p.Jobs = h.Jobs
	p.Entries = max(h.Entries, 1)
	p.Kept = h.Kept
	p.Teams = 3
	p.Notes = 2
	return p
}

func heldRows(run, role string, predicted, measured Cost) [][]string {
	row := func(what string, p, m float64) []string {
		return []string{run, role, what, number(p), number(m), fmt.Sprintf("%+.0f%%", 100*(p-m)/m)}
	}
	return [][]string{
		row("cores", predicted.Cores, measured.Cores),
		row("MiB", predicted.MiB, measured.MiB),
		row("KB/s", predicted.Bytes/1000, measured.Bytes/1000),
	}
}

func markdown(rows [][]string) string {
	var out strings.Builder
	for i, row := range rows {
		out.WriteString("| " + strings.Join(row, " | ") + " |\n")
		if i == 0 {
			out.WriteString("|" + strings.Repeat(" --- |", len(row)) + "\n")
		}
	}
	return out.String()
}

func number(v float64) string {
	return fmt.Sprintf("%.3g", v)
}

func formatState(mebibytes float64) string {
	return fmt.Sprintf("%.1f MiB", mebibytes)
}

// Fill returns the page with each table between its markers replaced.
func (f File) Fill(page string) (string, error) {
	for name, table := range f.Tables() {
		begin, end := "<!-- table "+name+" -->\n", "<!-- end "+name+" -->"
		from := strings.Index(page, begin)
		to := strings.Index(page, end)
		if from < 0 || to < from {
			return "", errors.Errorf("page has no table %q", name)
		}
		page = page[:from+len(begin)] + table + page[to:]
	}
	return page, nil
}
