package slopes

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/harness"
)

// BenchmarkProcesses compares builds under the same noise: one cluster per build runs at the same
// time, first without load and then with streams. It reports the processor time in thousandths of a
// core and the bytes on links, both per second and process.
//
//	APRICOTHUB_BINS=/old/bin,$PWD/bin go test -run - -bench Processes ./internal/measure/slopes
func BenchmarkProcesses(b *testing.B) {
	bins := strings.Split(os.Getenv("APRICOTHUB_BINS"), ",")
	if bins[0] == "" {
		b.Skip("APRICOTHUB_BINS names no directories of binaries")
	}
	clusters := make([]*harness.Cluster, len(bins))
	for i, bin := range bins {
		s := clusterSpec(b, bin, clusterSize{entries: 4, agents: 8})
		s.Dir = b.TempDir()
		clusters[i] = harness.StartCluster(b, s)
	}
	for b.Loop() {
		time.Sleep(settleTime)
		compare(b, "idle", bins, clusters)
		for _, c := range clusters {
			c.StartLoad(harness.LoadSpec{Callers: 8, Tokens: 64, KeepAlive: true, Seed: 1})
		}
		time.Sleep(settleTime)
		compare(b, "busy", bins, clusters)
	}
}

func compare(b *testing.B, phase string, bins []string, clusters []*harness.Cluster) {
	var entries, agents [][]sample
	from := time.Now()
	for _, c := range clusters {
		entries, agents = append(entries, takeSamples(b, c.Entries)), append(agents, takeSamples(b, c.Agents))
	}
	time.Sleep(idleTime)
	took := time.Since(from)
	for i, c := range clusters {
		entriesAfter := takeSamples(b, c.Entries)
		e, a := meanUsage(entries[i], entriesAfter, took), meanUsage(agents[i], takeSamples(b, c.Agents), took)
		answers := 0.0
		for j := range entriesAfter {
			answers += entriesAfter[j].answers - entries[i][j].answers
		}
		b.Logf("%s %s: entry %.2f m, %.0f B/s; agent %.2f m, %.0f B/s; %.1f answers/s",
			phase, bins[i], 1000*e.cpu, e.bytes, 1000*a.cpu, a.bytes, answers/took.Seconds())
	}
}
