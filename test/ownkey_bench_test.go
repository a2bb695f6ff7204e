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

// appended returns how many records the stream of keys has had.
func appended(b *testing.B, c *harness.Cluster) int64 {
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

// kindOfPush is one of two ways to push at most once, with what its pushes took.
type kindOfPush struct {
	key   func(ctx context.Context, c *harness.Cluster, caller *harness.Caller, n int) (string, error)
	mu    sync.Mutex
	took  []time.Duration
	wrong map[string]int
}

func (k *kindOfPush) push(c *harness.Cluster, caller *harness.Caller, n int) {
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
		if k.wrong == nil {
			k.wrong = map[string]int{}
		}
		k.wrong[fmt.Sprint(reply.Code, reply.Name, reply.Ran, err)]++
		return
	}
	k.took = append(k.took, took)
}

func (k *kindOfPush) report(b *testing.B, name string) {
	slices.Sort(k.took)
	at := func(part float64) float64 {
		return float64(k.took[int(part*float64(len(k.took)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), name+"-p50-ms")
	b.ReportMetric(at(0.95), name+"-p95-ms")
	b.Logf("%s: %d pushes answered whole, and %v", name, len(k.took), k.wrong)
}

// BenchmarkOwnKeys pushes under tickets, fetched first, and under keys of the caller's
// own, in turn and in one run: so many of each a second for 4 seconds, all entries alike.
func BenchmarkOwnKeys(b *testing.B) {
	for _, rate := range []int{50, 500} {
		b.Run(fmt.Sprintf("%d-a-second", rate), func(b *testing.B) {
			spec := harness.Spec{Bin: bin, Domains: domains, Dir: b.TempDir(), Entries: 3, Services: 3, Direct: true}
			c := harness.StartCluster(b, spec)
			caller := harness.NewKeepAliveCaller(harness.Key)
			ticketed := &kindOfPush{key: func(ctx context.Context, c *harness.Cluster, caller *harness.Caller, n int) (string, error) {
				ticket, err := caller.RequestTicket(ctx, c.Entries[n%len(c.Entries)].Public, harness.Service)
				return ticket.Ticket, err
			}}
			keyed := &kindOfPush{key: func(_ context.Context, _ *harness.Cluster, _ *harness.Caller, n int) (string, error) {
				return fmt.Sprint("key ", n), nil
			}}
			before := appended(b, c)
			var all sync.WaitGroup
			tick := time.NewTicker(time.Second / time.Duration(rate))
			defer tick.Stop()
			for n := range 4 * rate {
				<-tick.C
				all.Go(func() { ticketed.push(c, caller, n) })
				all.Go(func() { keyed.push(c, caller, n) })
			}
			all.Wait()
			ticketed.report(b, "ticketed")
			keyed.report(b, "keyed")
			b.ReportMetric(float64(appended(b, c)-before)/float64(len(keyed.took)), "appends/key")
			b.ReportMetric(float64(appended(b, c)-before)/4, "appends/s")
		})
	}
}
