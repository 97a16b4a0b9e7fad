package metrics

import "github.com/prometheus/client_golang/prometheus"

// factory creates and registers collectors in the namespace.
type factory struct{ reg prometheus.Registerer }

func register[C prometheus.Collector](f factory, c C) C {
	f.reg.MustRegister(c)
	return c
}

func (f factory) counter(name, help string) prometheus.Counter {
	return register(f, prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}))
}

// counterFunc registers a counter that is read from value. The labels are
// alternating names and values, and must differ between functions with one name.
func (f factory) counterFunc(name, help string, value func() float64, labels ...string) {
	constant := prometheus.Labels{}
	for i := 0; i+1 < len(labels); i += 2 {
		constant[labels[i]] = labels[i+1]
	}
	register(f, prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: constant}, value))
}

func (f factory) counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return register(f, prometheus.NewCounterVec(
		prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels))
}

func (f factory) gaugeFunc(name, help string, value func() float64) {
	register(f, prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

func (f factory) gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return register(f, prometheus.NewGaugeVec(
		prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels))
}

func (f factory) histogram(name, help string, buckets []float64) prometheus.Histogram {
	return register(f, prometheus.NewHistogram(
		prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}))
}

func (f factory) histogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return register(f, prometheus.NewHistogramVec(
		prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels))
}
