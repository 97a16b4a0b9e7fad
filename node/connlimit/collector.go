package connlimit

import "github.com/prometheus/client_golang/prometheus"

var (
	openConns  = prometheus.NewDesc("papayahoist_open_connections", "Open connections, by port.", []string{"port"}, nil)
	heldBytes  = prometheus.NewDesc("papayahoist_clients_held_bytes", "Estimated memory that clients' connections and requests hold.", nil, nil)
	limitHits  = prometheus.NewDesc("papayahoist_clients_limited_total", "Connections and requests that were closed or refused at a limit, by port and result.", []string{"port", "result"}, nil)
	limitNames = [...]string{"evicted", "refused"}
)

// Describe implements prometheus.Collector.
func (l *Limiter) Describe(ch chan<- *prometheus.Desc) {
	ch <- openConns
	ch <- heldBytes
	ch <- limitHits
}

// Collect implements prometheus.Collector.
func (l *Limiter) Collect(ch chan<- prometheus.Metric) {
	ch <- prometheus.MustNewConstMetric(heldBytes, prometheus.GaugeValue, float64(l.used()))
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.ports {
		ch <- prometheus.MustNewConstMetric(openConns, prometheus.GaugeValue, float64(p.Conns()), p.Name)
		for i, n := range [...]uint64{p.evicted.Load(), p.refused.Load()} {
			ch <- prometheus.MustNewConstMetric(limitHits, prometheus.CounterValue, float64(n), p.Name, limitNames[i])
		}
	}
}
