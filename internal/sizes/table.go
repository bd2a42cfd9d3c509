package sizes

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// The resources of a node that the users' plan allots to the control plane.
const (
	budgetCores          = 0.044
	budgetMiB            = 32
	budgetBytesPerSecond = 17_000
)

// ReadFile reads measurements from a JSON file.
func ReadFile(path string) (Measurements, error) {
	var m Measurements
	data, err := os.ReadFile(path)
	if err != nil {
		return m, errors.Wrap(err, "read capacity data")
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, errors.Wrap(err, "decode capacity data")
	}
	return m, nil
}

// WriteFile writes measurements to a JSON file.
func WriteFile(path string, m Measurements) error {
	data, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode capacity data")
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o600); err != nil {
		return errors.Wrap(err, "write capacity data")
	}
	return nil
}

// Tables returns the Markdown tables of docs/CAPACITY.md by name.
func (m Measurements) Tables() map[string]string {
	return map[string]string{
		"slopes": m.modelTable(),
		"roles":  m.roleTable(),
		"held":   m.comparisonTable(),
	}
}

func (m Measurements) modelTable() string {
	rows := [][]string{{"cost", "unit", "slope per", "slope", "spread", "intercept", "largest residual"}}
	for _, m := range m.Models {
		rows = append(rows, []string{
			m.Name, m.YUnit, m.XUnit, formatNumber(m.Slope),
			formatNumber(m.MinSlope) + " to " + formatNumber(m.MaxSlope), formatNumber(m.Intercept),
			fmt.Sprintf("%.0f%%", 100*m.MaxResidual),
		})
	}
	return markdownTable(rows)
}

func (m Measurements) roleTable() string {
	rows := [][]string{{
		"role", "state", "messages/s", "cores", "MiB", "KB/s", "syncs/s", "within a node's budget", "carried by",
	}}
	for _, r := range PlannedLoad().Roles(m) {
		rows = append(rows, []string{
			r.Name, r.StateSize, formatNumber(r.MessagesPerSecond), formatNumber(r.Cost.Cores), formatNumber(r.Cost.MiB),
			formatNumber(r.Cost.BytesPerSecond / 1000), formatNumber(r.SyncsPerSecond), budgetVerdict(r.Cost), r.Mechanism,
		})
	}
	return markdownTable(rows)
}

// budgetVerdict returns "yes" if the cost is within the budget, and otherwise
// names the resources that exceed it.
func budgetVerdict(c Cost) string {
	var exceeded []string
	if c.Cores > budgetCores {
		exceeded = append(exceeded, "cores")
	}
	if c.MiB > budgetMiB {
		exceeded = append(exceeded, "memory")
	}
	if c.BytesPerSecond > budgetBytesPerSecond {
		exceeded = append(exceeded, "bytes")
	}
	if len(exceeded) == 0 {
		return "yes"
	}
	return "no: " + strings.Join(exceeded, ", ")
}

func (m Measurements) comparisonTable() string {
	rows := [][]string{{"run", "role", "what", "predicted", "measured", "error"}}
	for _, run := range m.ClusterRuns {
		load := run.load()
		roles := load.Roles(m)
		rows = append(rows, comparisonRows(run.Name, "voter, leading", roles[0].Cost, run.Leader)...)
		rows = append(rows, comparisonRows(run.Name, "voter, following", roles[1].Cost, run.Follower)...)
		if run.EntryInstances > 0 {
			rows = append(rows, comparisonRows(run.Name, "entry instance", roles[3].Cost, run.Entry)...)
		}
	}
	return markdownTable(rows)
}

// load returns the load of the run, from which its costs are predicted.
func (run ClusterRun) load() Load {
	l := PlannedLoad()
	l.Workers = run.Workers
	l.RunningTasks = run.RunningTasks
	l.StartsPerSecond = run.StartsPerSecond
	l.JobsPerSecond = run.JobsPerSecond
	l.EntryInstances = max(run.EntryInstances, 1)
	l.RetainedJobs = run.RetainedJobs
	l.Teams = 3
	l.Notes = 2
	return l
}

func comparisonRows(run, role string, predicted, measured Cost) [][]string {
	row := func(what string, p, m float64) []string {
		return []string{run, role, what, formatNumber(p), formatNumber(m), fmt.Sprintf("%+.0f%%", 100*(p-m)/m)}
	}
	return [][]string{
		row("cores", predicted.Cores, measured.Cores),
		row("MiB", predicted.MiB, measured.MiB),
		row("KB/s", predicted.BytesPerSecond/1000, measured.BytesPerSecond/1000),
	}
}

func markdownTable(rows [][]string) string {
	var out strings.Builder
	for i, row := range rows {
		out.WriteString("| " + strings.Join(row, " | ") + " |\n")
		if i == 0 {
			out.WriteString("|" + strings.Repeat(" --- |", len(row)) + "\n")
		}
	}
	return out.String()
}

func formatNumber(v float64) string {
	return fmt.Sprintf("%.3g", v)
}

func formatMiB(mebibytes float64) string {
	return fmt.Sprintf("%.1f MiB", mebibytes)
}

// ReplaceTables returns the page with the contents of every table replaced. A
// table is enclosed in a start and an end marker.
func (m Measurements) ReplaceTables(page string) (string, error) {
	for name, table := range m.Tables() {
		startMarker, endMarker := "<!-- table "+name+" -->\n", "<!-- end "+name+" -->"
		start := strings.Index(page, startMarker)
		stop := strings.Index(page, endMarker)
		if start < 0 || stop < start {
			return "", errors.Errorf("page has no markers for table %q", name)
		}
		page = page[:start+len(startMarker)] + table + page[stop:]
	}
	return page, nil
}
