// Package sizes predicts the resource cost of each role in a cell under a
// planned load. It measures single operations on one machine, fits a linear
// model to each, and generates the tables of docs/CAPACITY.md.
package sizes

import (
	"math"
	"sort"
)

// Point is one measurement: the cost Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// LinearModel describes a cost as y = intercept + slope * x.
type LinearModel struct {
	Name string `json:"name"`
	// YUnit is the unit of the cost, XUnit that of the size.
	YUnit     string  `json:"unit"`
	XUnit     string  `json:"per"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// MaxResidual is the largest absolute residual, as a fraction of the
	// largest absolute y.
	MaxResidual float64 `json:"residual"`
	// MinSlope and MaxSlope are the extremes over repeated runs.
	MinSlope float64 `json:"low"`
	MaxSlope float64 `json:"high"`
}

// Fit fits a line to the points by least squares.
func Fit(name, yUnit, xUnit string, points []Point) LinearModel {
	m := LinearModel{
		Name:   name,
		YUnit:  yUnit,
		XUnit:  xUnit,
		Points: points,
	}
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY, maxY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
		maxY = max(maxY, math.Abs(p.Y))
	}
	if denominator := n*sumXX - sumX*sumX; denominator != 0 {
		m.Slope = (n*sumXY - sumX*sumY) / denominator
	}
	m.Intercept = (sumY - m.Slope*sumX) / n
	for _, p := range points {
		residual := math.Abs(p.Y - m.Predict(p.X))
		if maxY > 0 {
			m.MaxResidual = max(m.MaxResidual, residual/maxY)
		}
	}
	m.MinSlope, m.MaxSlope = m.Slope, m.Slope
	return m
}

// Predict returns the cost at size x.
func (m LinearModel) Predict(x float64) float64 {
	return m.Intercept + m.Slope*x
}

// MergeRuns combines repeated runs of one measurement: it returns the run with
// the median slope and the slope range of all runs.
func MergeRuns(runs []LinearModel) LinearModel {
	sorted := append([]LinearModel(nil), runs...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Slope < sorted[j].Slope })
	median := sorted[len(sorted)/2]
	median.MinSlope = sorted[0].Slope
	median.MaxSlope = sorted[len(sorted)-1].Slope
	return median
}

// ClusterRun is the measured cost of each role in a run of a whole cell.
type ClusterRun struct {
	Name string `json:"name"`
	// The load of the run.
	Workers         int     `json:"workers"`
	RunningTasks    int     `json:"running"`
	StartsPerSecond float64 `json:"starts-per-second"`
	JobsPerSecond   float64 `json:"jobs-per-second"`
	EntryInstances  int     `json:"entries"`
	RetainedJobs    int     `json:"kept-jobs"`
	Leader          Cost    `json:"leader"`
	Follower        Cost    `json:"follower"`
	Entry           Cost    `json:"entry"`
	LimitsExceeded  bool    `json:"broken"`
	WaitP99         float64 `json:"wait-p99-ms"`
}

// Cost is the resource usage of one instance.
type Cost struct {
	Cores          float64 `json:"cores"`
	MiB            float64 `json:"mib"`
	BytesPerSecond float64 `json:"bytes-per-second"`
}

// Measurements is the content of docs/capacity.json.
type Measurements struct {
	Models      []LinearModel `json:"slopes"`
	ClusterRuns []ClusterRun  `json:"held"`
}

// Model returns the model with the name, or a zero model if there is none.
func (m Measurements) Model(name string) LinearModel {
	for _, m := range m.Models {
		if m.Name == name {
			return m
		}
	}
	return LinearModel{}
}
