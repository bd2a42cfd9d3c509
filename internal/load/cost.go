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

// Instance is what one instance spent a second during a run.
type Instance struct {
	Page    string `json:"page"`
	Leading bool   `json:"leading"`
	// Applying tells that the instance keeps a replica of the log.
	Applying bool    `json:"applying"`
	Cores    float64 `json:"cores"`
	MiB      float64 `json:"mib"`
	// PeerBytes and HTTPBytes count both directions.
	PeerBytes float64 `json:"peer-bytes-per-second"`
	HTTPBytes float64 `json:"http-bytes-per-second"`
}

// Cost is what a cell has spent on control, added up over its instances.
type Cost struct {
	at      time.Time
	seconds float64
	bytes   float64
	decide  map[float64]float64
	each    []Instance
}

// ReadCost reads the metrics pages of the instances. Instances that share
// a process report the same processor time, which is then counted once.
func ReadCost(ctx context.Context, pages []string, shared bool) (Cost, error) {
	cost := Cost{
		at:     time.Now(),
		decide: map[float64]float64{},
	}
	for i, page := range pages {
		families, err := scrape(ctx, page)
		if err != nil {
			return cost, err
		}
		if i == 0 || !shared {
			cost.seconds += valueOf(families["process_cpu_seconds_total"])
		}
		cost.bytes += valueOf(families["jasmineward_peer_written_bytes_total"])
		cost.addDecide(families["jasmineward_decide_seconds"])
		cost.each = append(cost.each, Instance{
			Page:     page,
			Leading:  valueOf(families["jasmineward_leading"]) > 0,
			Applying: valueOf(families["jasmineward_commands_applied_total"]) > 0,
			Cores:    valueOf(families["process_cpu_seconds_total"]),
			MiB:      valueOf(families["process_resident_memory_bytes"]) / (1 << 20),
			PeerBytes: valueOf(families["jasmineward_peer_written_bytes_total"]) +
				valueOf(families["jasmineward_peer_read_bytes_total"]),
			HTTPBytes: valueOf(families["jasmineward_http_written_bytes_total"]) +
				valueOf(families["jasmineward_http_read_bytes_total"]),
		})
	}
	return cost, nil
}

func scrape(ctx context.Context, page string) (map[string]*dto.MetricFamily, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, page, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
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

func valueOf(family *dto.MetricFamily) float64 {
	sum := 0.0
	for _, metric := range family.GetMetric() {
		sum += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return sum
}

func (c *Cost) addDecide(family *dto.MetricFamily) {
	for _, metric := range family.GetMetric() {
		for _, bucket := range metric.GetHistogram().GetBucket() {
			c.decide[bucket.GetUpperBound()] += float64(bucket.GetCumulativeCount())
		}
	}
}

// add puts what was spent since an earlier reading into the report.
func (c Cost) add(before Cost, report *Report) {
	seconds := c.at.Sub(before.at).Seconds()
	if seconds <= 0 {
		return
	}
	report.ControlCores = (c.seconds - before.seconds) / seconds
	report.ControlBytes = (c.bytes - before.bytes) / seconds
	report.DecideP99 = c.decideQuantile(before, 0.99) * 1e6
	for i, now := range c.each {
		was := before.each[i]
		now.Cores = (now.Cores - was.Cores) / seconds
		now.PeerBytes = (now.PeerBytes - was.PeerBytes) / seconds
		now.HTTPBytes = (now.HTTPBytes - was.HTTPBytes) / seconds
		report.Instances = append(report.Instances, now)
	}
}

// decideQuantile returns the bound of the bucket that holds the quantile.
func (c Cost) decideQuantile(before Cost, q float64) float64 {
	count := 0.0
	for bound, value := range c.decide {
		count = max(count, value-before.decide[bound])
	}
	best := math.Inf(1)
	for bound, value := range c.decide {
		if value-before.decide[bound] >= q*count && bound < best {
			best = bound
		}
	}
	if math.IsInf(best, 1) {
		return 0
	}
	return best
}
