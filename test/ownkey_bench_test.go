package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/harness"
)

// keyRecords returns how many records the log's stream of keys has received.
func keyRecords(b *testing.B, c *harness.Cluster) int64 {
	b.Helper()
	answer, err := http.Get(c.Platform.URL() + "/log/streams/keys/records?limit=1")
	if err != nil {
		b.Fatal(err)
	}
	defer answer.Body.Close()
	var page struct {
		Next int64 `json:"next"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&page); err != nil {
		b.Fatal(err)
	}
	return page.Next
}

// pushVariant is one of two ways to push at most once, with the latencies of its pushes.
type pushVariant struct {
	key       func(ctx context.Context, c *harness.Cluster, caller *harness.Caller, n int) (string, error)
	mu        sync.Mutex
	latencies []time.Duration
	failures  map[string]int
}

func (k *pushVariant) push(c *harness.Cluster, caller *harness.Caller, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	began := time.Now()
	key, err := k.key(ctx, c, caller, n)
	var reply harness.Reply
	if err == nil {
		reply, err = caller.Push(ctx, c.Entries[n%len(c.Entries)].Public, key, "x")
	}
	took := time.Since(began)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil || reply.Status != http.StatusOK {
		if k.failures == nil {
			k.failures = map[string]int{}
		}
		k.failures[fmt.Sprint(reply.Code, reply.Name, reply.Ran, err)]++
		return
	}
	k.latencies = append(k.latencies, took)
}

func (k *pushVariant) report(b *testing.B, name string) {
	slices.Sort(k.latencies)
	percentile := func(fraction float64) float64 {
		return float64(k.latencies[int(fraction*float64(len(k.latencies)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(percentile(0.5), name+"-p50-ms")
	b.ReportMetric(percentile(0.95), name+"-p95-ms")
	b.Logf("%s: %d pushes answered, failures %v", name, len(k.latencies), k.failures)
}

// BenchmarkOwnKeys pushes under tickets, which are fetched first, and under the caller's own keys,
// side by side in one run: rate of each a second for 4 seconds, spread over all entries.
func BenchmarkOwnKeys(b *testing.B) {
	for _, rate := range []int{50, 500} {
		b.Run(fmt.Sprintf("%d-a-second", rate), func(b *testing.B) {
			spec := harness.Spec{Bin: binDir, Domains: domains, Dir: b.TempDir(), Entries: 3, Services: 3, Direct: true}
			c := harness.StartCluster(b, spec)
			caller := harness.NewKeepAliveCaller(harness.Key)
			ticketed := &pushVariant{key: func(ctx context.Context, c *harness.Cluster, caller *harness.Caller, n int) (string, error) {
				ticket, err := caller.RequestTicket(ctx, c.Entries[n%len(c.Entries)].Public, harness.Service)
				return ticket.Ticket, err
			}}
			keyed := &pushVariant{key: func(_ context.Context, _ *harness.Cluster, _ *harness.Caller, n int) (string, error) {
				return fmt.Sprint("key ", n), nil
			}}
			before := keyRecords(b, c)
			var wg sync.WaitGroup
			tick := time.NewTicker(time.Second / time.Duration(rate))
			defer tick.Stop()
			for n := range 4 * rate {
				<-tick.C
				wg.Go(func() { ticketed.push(c, caller, n) })
				wg.Go(func() { keyed.push(c, caller, n) })
			}
			wg.Wait()
			ticketed.report(b, "ticketed")
			keyed.report(b, "keyed")
			b.ReportMetric(float64(keyRecords(b, c)-before)/float64(len(keyed.latencies)), "appends/key")
			b.ReportMetric(float64(keyRecords(b, c)-before)/4, "appends/s")
		})
	}
}
