package meter

import (
	"cmp"
	"net/http"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"
)

// productPrefix begins the names of the product's metrics.
const productPrefix = "jasmineward_"

// Option changes the order in which a handler serves metrics.
type Option func(*order)

// WithFirst sets the names of metrics that come before all others, in that order.
func WithFirst(names ...string) Option {
	return func(o *order) { o.first = names }
}

// order is the order in which a handler serves metrics.
type order struct {
	first []string
}

// NewHandler returns a handler that serves the metrics of the gatherer, those of the
// product before those of the runtime. A reader that keeps only the first bytes of a
// response then has what tells most about the instance.
func NewHandler(gatherer prometheus.Gatherer, opts ...Option) http.Handler {
	var o order
	for _, opt := range opts {
		opt(&o)
	}
	ordered := prometheus.GathererFunc(func() ([]*dto.MetricFamily, error) {
		families, err := gatherer.Gather()
		slices.SortStableFunc(families, func(a, b *dto.MetricFamily) int {
			return cmp.Compare(o.rankOf(a), o.rankOf(b))
		})
		return families, err
	})
	return promhttp.HandlerFor(ordered, promhttp.HandlerOpts{})
}

// rankOf returns a negative number for metrics that come first, 0 for gauges and counters
// of the product, 1 for its histograms, which are long, and 2 for metrics of the runtime
// and the process.
func (o *order) rankOf(family *dto.MetricFamily) int {
	at := slices.Index(o.first, family.GetName())
	switch {
	case at >= 0:
		return at - len(o.first)
	case !strings.HasPrefix(family.GetName(), productPrefix):
		return 2
	case family.GetType() == dto.MetricType_HISTOGRAM:
		return 1
	}
	return 0
}
