package admin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"

	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/internal/result"
)

// maxDumpBytes limits the size of a dump. A part that no longer fits is replaced by its size, so
// that a dump taken under load does not use the memory that the process needs.
const maxDumpBytes = 8 << 20

// maxDumpItems limits the items of one list in a dump.
const maxDumpItems = 500

// TruncatedList holds the first items of a long list and the length of the whole list.
type TruncatedList[T any] struct {
	Total int `json:"total"`
	Shown []T `json:"shown"`
}

// TruncateList returns the first items of a list for a dump, together with the count of all items.
func TruncateList[T any](items []T) TruncatedList[T] {
	return TruncatedList[T]{Total: len(items), Shown: items[:min(len(items), maxDumpItems)]}
}

// omittedPart replaces a part of a dump that does not fit or cannot be encoded.
type omittedPart struct {
	Bytes  int    `json:"bytes"`
	Reason string `json:"left_out"`
}

func (h *handler) dump(w http.ResponseWriter, r *http.Request) {
	parts, err := h.process.Dump(r.Context())
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	body := make(map[string]json.RawMessage, len(parts))
	remaining := maxDumpBytes
	for _, part := range parts {
		text := encodePart(part.Value)
		if len(text) > remaining {
			text = encodePart(omittedPart{Bytes: len(text), Reason: "the dump would be larger than its bound"})
		}
		remaining -= len(text)
		body[part.Name] = text
	}
	writeJSON(w, body)
}

func encodePart(value any) json.RawMessage {
	text, err := marshalPart(value)
	if err != nil {
		text, _ = json.Marshal(omittedPart{Reason: err.Error()})
	}
	return text
}

func marshalPart(value any) ([]byte, error) {
	if message, ok := value.(proto.Message); ok {
		return protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	}
	return json.Marshal(value)
}

// metrics writes one line `name value` for each metric, sorted by name, or JSON with ?format=json.
func (h *handler) metrics(w http.ResponseWriter, r *http.Request) {
	values := map[string]float64{}
	if status, err := h.process.Status(r.Context()); err == nil {
		values = statusGauges(status)
	}
	addRuntimeGauges(values)
	// The default registry holds the metrics of packages that are not tied to one process, such as
	// logging.
	for _, registry := range []metrics.Registry{h.process.Metrics(), metrics.DefaultRegistry} {
		registry.Each(func(name string, metric any) { addMetric(values, name, metric) })
	}
	if r.URL.Query().Get("format") == "json" {
		writeJSON(w, values)
		return
	}
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	var text bytes.Buffer
	for _, name := range names {
		fmt.Fprintf(&text, "%s %s\n", name, strconv.FormatFloat(values[name], 'f', -1, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(text.Bytes())
}

func addMetric(values map[string]float64, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		values[name] = float64(m.Count())
	case metrics.Gauge:
		values[name] = float64(m.Value())
	case metrics.GaugeFloat64:
		values[name] = m.Value()
	case metrics.Meter:
		values[name+".count"] = float64(m.Count())
		values[name+".rate1m"] = m.Rate1()
	case metrics.Histogram:
		s := m.Snapshot()
		addDistribution(values, name, s.Count(), s.Mean(), float64(s.Max()), s.Percentiles(quantiles))
	case metrics.Timer:
		s := m.Snapshot()
		addDistribution(values, name, s.Count(), s.Mean(), float64(s.Max()), s.Percentiles(quantiles))
	}
}

var quantiles = []float64{0.5, 0.95, 0.99}

func addDistribution(values map[string]float64, name string, count int64, mean, maximum float64, percentiles []float64) {
	values[name+".count"] = float64(count)
	values[name+".mean"] = mean
	values[name+".max"] = maximum
	for i, q := range quantiles {
		values[fmt.Sprintf("%s.p%g", name, q*100)] = percentiles[i]
	}
}
