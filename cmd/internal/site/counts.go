package site

import (
	"strings"

	dto "github.com/prometheus/client_model/go"
)

// Messages counts what all processes have sent, by kind.
type Messages struct {
	ByKind map[string]float64
	Bytes  float64
	// Wasted by reason, as the processes saw it themselves.
	Wasted map[string]float64
}

// Total is the number of messages sent.
func (m Messages) Total() float64 {
	var n float64
	for _, v := range m.ByKind {
		n += v
	}
	return n
}

// MessageCounts reads the counters of every process that runs or ran.
func (s *Site) MessageCounts() Messages {
	s.mu.Lock()
	registries := append(s.registries[:0:0], s.registries...)
	s.mu.Unlock()
	m := Messages{ByKind: make(map[string]float64), Wasted: make(map[string]float64)}
	for _, r := range registries {
		families, err := r.Gather()
		if err != nil {
			continue
		}
		for _, f := range families {
			m.add(f)
		}
	}
	return m
}

func (m *Messages) add(f *dto.MetricFamily) {
	name := strings.TrimPrefix(f.GetName(), "papayahoist_")
	for _, metric := range f.GetMetric() {
		labels := make(map[string]string)
		for _, l := range metric.GetLabel() {
			labels[l.GetName()] = l.GetValue()
		}
		value := metric.GetCounter().GetValue()
		switch {
		case name == "messages_total" && labels["direction"] == "sent":
			m.ByKind[labels["kind"]] += value
		case name == "message_bytes_total" && labels["direction"] == "sent":
			m.Bytes += value
		case name == "messages_wasted_total":
			m.Wasted[labels["reason"]] += value
		}
	}
}
