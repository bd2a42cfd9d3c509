// Package sizes works out what each role of a cell costs at a planned size,
// from slopes measured on one machine, and writes the tables of
// docs/CAPACITY.md.
package sizes

import (
	"math"
	"sort"
)

// Point is one measurement at a size.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is how a cost grows: y = intercept + slope * x.
type Slope struct {
	Name string `json:"name"`
	// Unit is that of y, Per that of x.
	Unit      string  `json:"unit"`
	Per       string  `json:"per"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the largest distance of a point from the line, as a part
	// of the largest y.
	Residual float64 `json:"residual"`
	// Low and High are the least and the largest slope of several runs.
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// Fit returns the line of least squares through the points.
func Fit(name, unit, per string, points []Point) Slope {
	s := Slope{
		Name:   name,
		Unit:   unit,
		Per:    per,
		Points: points,
	}
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY, most float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
		most = max(most, math.Abs(p.Y))
	}
	if denominator := n*sumXX - sumX*sumX; denominator != 0 {
		s.Slope = (n*sumXY - sumX*sumY) / denominator
	}
	s.Intercept = (sumY - s.Slope*sumX) / n
	for _, p := range points {
		distance := math.Abs(p.Y - s.At(p.X))
		if most > 0 {
			s.Residual = max(s.Residual, distance/most)
		}
	}
	s.Low, s.High = s.Slope, s.Slope
	return s
}

// At returns the cost at the size.
func (s Slope) At(x float64) float64 {
	return s.Intercept + s.Slope*x
}

// Merge returns, for several runs of one measurement, the run of the median
// slope with the spread of all.
func Merge(runs []Slope) Slope {
	sorted := append([]Slope(nil), runs...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Slope < sorted[j].Slope })
	median := sorted[len(sorted)/2]
	median.Low = sorted[0].Slope
	median.High = sorted[len(sorted)-1].Slope
	return median
}

// Held is what a whole cell was measured to cost, role by role.
type Held struct {
	Name string `json:"name"`
	// Load of the run.
	Workers  int     `json:"workers"`
	Running  int     `json:"running"`
	Starts   float64 `json:"starts-per-second"`
	Jobs     float64 `json:"jobs-per-second"`
	Entries  int     `json:"entries"`
	Kept     int     `json:"kept-jobs"`
	Leader   Cost    `json:"leader"`
	Follower Cost    `json:"follower"`
	Entry    Cost    `json:"entry"`
	Broken   bool    `json:"broken"`
	WaitP99  float64 `json:"wait-p99-ms"`
}

// Cost is what one instance spends.
type Cost struct {
	Cores float64 `json:"cores"`
	MiB   float64 `json:"mib"`
	Bytes float64 `json:"bytes-per-second"`
}

// File is what the tool writes and the page is made from.
type File struct {
	Slopes []Slope `json:"slopes"`
	Held   []Held  `json:"held"`
}

// Find returns the slope of the name. A missing one is all zero.
func (f File) Find(name string) Slope {
	for _, s := range f.Slopes {
		if s.Name == name {
			return s
		}
	}
	return Slope{}
}
