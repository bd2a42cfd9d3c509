package load

import (
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const scrapeTimeout = 5 * time.Second

// InstanceUsage is the resource usage of one instance. In a report, Cores,
// PeerBytes and HTTPBytes are means per second of the run, and MiB is the memory
// at its end. A MetricsSample holds totals since the process start instead of
// the means.
type InstanceUsage struct {
	MetricsURL string `json:"page"`
	Leading    bool   `json:"leading"`
	// Applying is set if the instance applies log entries, that is, holds a
	// replica.
	Applying bool    `json:"applying"`
	Cores    float64 `json:"cores"`
	MiB      float64 `json:"mib"`
	// PeerBytes and HTTPBytes include both directions.
	PeerBytes float64 `json:"peer-bytes-per-second"`
	HTTPBytes float64 `json:"http-bytes-per-second"`
}

// MetricsSample holds the counters of a cell's control plane at one time, summed
// over its instances and for each of them. The key of decideBuckets is the upper
// bound of a bucket in seconds, its value the cumulative count.
type MetricsSample struct {
	takenAt       time.Time
	cpuSeconds    float64
	peerBytes     float64
	decideBuckets map[float64]float64
	instances     []InstanceUsage
}

// SampleMetrics scrapes the metrics endpoints of the instances. Instances that
// share a process report the same CPU time, which is counted only once if
// sharedProcess is set.
func SampleMetrics(ctx context.Context, urls []string, sharedProcess bool) (MetricsSample, error) {
	sample := MetricsSample{
		takenAt:       time.Now(),
		decideBuckets: map[float64]float64{},
	}
	for i, url := range urls {
		families, err := scrape(ctx, url)
		if err != nil {
			return sample, err
		}
		if i == 0 || !sharedProcess {
			sample.cpuSeconds += metricSum(families["process_cpu_seconds_total"])
		}
		sample.peerBytes += metricSum(families["jasmineward_peer_written_bytes_total"])
		sample.addDecideBuckets(families["jasmineward_decide_seconds"])
		sample.instances = append(sample.instances, InstanceUsage{
			MetricsURL: url,
			Leading:    metricSum(families["jasmineward_leading"]) > 0,
			Applying:   metricSum(families["jasmineward_commands_applied_total"]) > 0,
			Cores:      metricSum(families["process_cpu_seconds_total"]),
			MiB:        metricSum(families["process_resident_memory_bytes"]) / (1 << 20),
			PeerBytes: metricSum(families["jasmineward_peer_written_bytes_total"]) +
				metricSum(families["jasmineward_peer_read_bytes_total"]),
			HTTPBytes: metricSum(families["jasmineward_http_written_bytes_total"]) +
				metricSum(families["jasmineward_http_read_bytes_total"]),
		})
	}
	return sample, nil
}

func scrape(ctx context.Context, url string) (map[string]*dto.MetricFamily, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Wrap(err, "parse metrics")
	}
	return families, nil
}

func metricSum(family *dto.MetricFamily) float64 {
	sum := 0.0
	for _, metric := range family.GetMetric() {
		sum += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return sum
}

func (s *MetricsSample) addDecideBuckets(family *dto.MetricFamily) {
	for _, metric := range family.GetMetric() {
		for _, bucket := range metric.GetHistogram().GetBucket() {
			s.decideBuckets[bucket.GetUpperBound()] += float64(bucket.GetCumulativeCount())
		}
	}
}

// fillReport writes the usage since the earlier sample into the report.
func (s MetricsSample) fillReport(earlier MetricsSample, report *Report) {
	seconds := s.takenAt.Sub(earlier.takenAt).Seconds()
	if seconds <= 0 {
		return
	}
	report.ControlCores = (s.cpuSeconds - earlier.cpuSeconds) / seconds
	report.ControlBytes = (s.peerBytes - earlier.peerBytes) / seconds
	report.DecideP99 = s.decideQuantile(earlier, 0.99) * 1e6
	for i, current := range s.instances {
		previous := earlier.instances[i]
		current.Cores = (current.Cores - previous.Cores) / seconds
		current.PeerBytes = (current.PeerBytes - previous.PeerBytes) / seconds
		current.HTTPBytes = (current.HTTPBytes - previous.HTTPBytes) / seconds
		report.Instances = append(report.Instances, current)
	}
}

// decideQuantile returns the upper bound, in seconds, of the histogram bucket of
// decision times that contains the quantile.
func (s MetricsSample) decideQuantile(earlier MetricsSample, q float64) float64 {
	count := 0.0
	for bound, value := range s.decideBuckets {
		count = max(count, value-earlier.decideBuckets[bound])
	}
	lowest := math.Inf(1)
	for bound, value := range s.decideBuckets {
		if value-earlier.decideBuckets[bound] >= q*count && bound < lowest {
			lowest = bound
		}
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return lowest
}
