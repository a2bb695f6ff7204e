package admin

import (
	"runtime"

	"github.com/apricothub/apricothub/internal/adminapi"
)

// statusGauges returns the gauges derived from a status. docs/METRICS.md lists them.
func statusGauges(s *adminapi.Status) map[string]float64 {
	values := map[string]float64{
		"status.ready":           boolGauge(s.Process.Ready),
		"status.draining":        boolGauge(s.Process.Draining),
		"status.isolated":        boolGauge(s.Process.Freshness == "isolated"),
		"status.applied":         float64(s.Process.Applied),
		"status.evidence.age.ms": float64(s.Process.EvidenceAgeMs),
		"status.uptime.ms":       float64(s.Process.UptimeMs),
		"status.log.reachable":   boolGauge(s.Log.Reachable),
		"status.log.down.ms":     float64(s.Log.DownMs),
		"status.marks.out":       float64(marksOut(s.Marks)),
	}
	addMemberGauges(values, s)
	addBackendGauges(values, s.Backends)
	for _, g := range s.Groups {
		values["status.group."+g.Name+".step"] = float64(g.Step)
		values["status.group."+g.Name+".still.ms"] = float64(g.StepAgeMs)
		values["status.group."+g.Name+".skew.ms"] = g.SkewMs
		values["status.group."+g.Name+".ranks.slow"] = float64(g.SlowRanks)
		values["status.group."+g.Name+".map"] = float64(g.MapVersion)
		values["status.group."+g.Name+".agents.missing"] = float64(g.AgentsAll - g.Agents)
	}
	return values
}

func addMemberGauges(values map[string]float64, s *adminapi.Status) {
	silent, behind := 0, int64(0)
	for _, m := range s.Members {
		switch m.Link {
		case "up":
			behind = max(behind, s.Process.Applied-m.Applied)
		case "suspect", "down":
			silent++
		}
	}
	values["status.members"] = float64(len(s.Members))
	values["status.members.silent"] = float64(silent)
	values["status.members.behind"] = float64(behind)
}

func addBackendGauges(values map[string]float64, backends []adminapi.Backend) {
	var cold, refusing, silent int
	var running, queued, limit int32
	for _, b := range backends {
		running, queued, limit = running+b.Running, queued+b.Queued, limit+b.Limit
		if b.Cold {
			cold++
		}
		if b.Refusing != "" {
			refusing++
		}
		if b.Silent {
			silent++
		}
	}
	values["status.backends"] = float64(len(backends))
	values["status.backends.cold"] = float64(cold)
	values["status.backends.refusing"] = float64(refusing)
	values["status.backends.silent"] = float64(silent)
	values["status.backends.running"] = float64(running)
	values["status.backends.queued"] = float64(queued)
	values["status.backends.limit"] = float64(limit)
}

// addRuntimeGauges adds gauges of the Go runtime.
func addRuntimeGauges(values map[string]float64) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	values["process.goroutines"] = float64(runtime.NumGoroutine())
	values["process.heap.bytes"] = float64(memory.HeapAlloc)
}

func marksOut(marks []adminapi.Mark) int {
	out := 0
	for _, m := range marks {
		if m.Out {
			out++
		}
	}
	return out
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
