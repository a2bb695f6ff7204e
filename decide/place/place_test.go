package place

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"pgregory.net/rapid"
)

// The seed is fixed so that every run is the same; "make explore" uses another one.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

const model = "model:m"

func servers(n int) []Server {
	out := make([]Server, n)
	for i := range out {
		out[i] = Server{VM: fmt.Sprint("vm-", i), Domain: fmt.Sprint(i % 3), Offers: []string{model}, Weight: 1}
	}
	return out
}

func newTable(n int) *Table {
	t := NewTable(rand.New(rand.NewPCG(1, 2)), Config{})
	t.SetServers(servers(n))
	for _, s := range servers(n) {
		t.Report(s.VM, 0, Report{Limit: 32, FullLimit: 32})
	}
	return t
}

func TestRefusalCodes(t *testing.T) {
	table := newTable(2)
	pick := func(offer string) api.ResultCode {
		_, code := table.Pick(0, Request{Offer: offer})
		return code
	}
	if code := pick("model:other"); code != api.ResultCode_NO_BACKEND {
		t.Fatalf("unknown model: %v", code)
	}
	for i := range 2 {
		table.Report(fmt.Sprint("vm-", i), 0, Report{Limit: 32, FullLimit: 32, Running: 32, Queued: 4})
	}
	if code := pick(model); code != api.ResultCode_SATURATED {
		t.Fatalf("all full: %v", code)
	}
	if vm, _ := table.Pick(0, Request{Offer: model, WithinShare: true}); vm == "" {
		t.Fatal("no server for a customer within its share")
	}
	for i := range 2 {
		table.Report(fmt.Sprint("vm-", i), 0, Report{Limit: 2, FullLimit: 32, Running: 2})
	}
	if code := pick(model); code != api.ResultCode_COLD {
		t.Fatalf("all cold and full: %v", code)
	}
	for i := range 2 {
		table.SetSuspect(fmt.Sprint("vm-", i), true)
	}
	if code := pick(model); code != api.ResultCode_NO_BACKEND {
		t.Fatalf("all suspect: %v", code)
	}
}

func TestUnavailableServersGetNoRequests(t *testing.T) {
	table := newTable(6)
	table.SetSuspect("vm-0", true)
	table.Report("vm-3", 0, Report{Limit: 32, FullLimit: 32, Refusing: true})
	table.SetDomainWeight("1", 0)
	table.Started("vm-2", 0)
	table.Ended("vm-2", 0, Outcome{Refused: true})
	for range 200 {
		vm, code := table.Pick(0, Request{Offer: model})
		if vm != "vm-5" {
			t.Fatalf("picked %q (%v), want the only one left", vm, code)
		}
	}
	if _, code := table.Pick(0, Request{Offer: model, Avoid: []string{"vm-5"}}); code == api.ResultCode_OK {
		t.Fatal("picked a server that is to be avoided")
	}
	seen := map[string]bool{}
	for range 200 {
		vm, _ := table.Pick(time.Second, Request{Offer: model})
		seen[vm] = true
	}
	if !seen["vm-2"] {
		t.Fatal("a server that refused a request got none after its backoff")
	}
}

// The only agent stops, or its domain is marked out, and says so in a refusal before the entry
// learns of it otherwise. No other request may be sent there, even after the backoff, until a
// report says that the agent accepts requests.
func TestAgentThatRefusesAllGetsNoRequestsUntilItsReport(t *testing.T) {
	table := newTable(1)
	table.Started("vm-0", 0)
	table.Ended("vm-0", 0, Outcome{Refused: true, RefusesAll: true})
	for _, now := range []time.Duration{0, time.Second, time.Minute} {
		if vm, code := table.Pick(now, Request{Offer: model}); code != api.ResultCode_NO_BACKEND {
			t.Fatalf("after %v: %q, %v", now, vm, code)
		}
	}
	table.Report("vm-0", time.Minute, Report{Limit: 32, FullLimit: 32})
	if _, code := table.Pick(time.Minute, Request{Offer: model}); code != api.ResultCode_OK {
		t.Fatalf("after the report: %v", code)
	}
}

func TestPrefixAffinityWithinBound(t *testing.T) {
	table := newTable(10)
	first, _ := table.Pick(0, Request{Offer: model, Prefix: 7})
	placed := 0
	for range 32 {
		vm, _ := table.Pick(0, Request{Offer: model, Prefix: 7})
		if vm != first {
			break
		}
		table.Started(vm, 0)
		placed++
	}
	if placed < 4 || placed > 12 {
		t.Fatalf("%d requests of one prefix on one backend server while nine idle", placed)
	}
}

func TestAdapterAffinity(t *testing.T) {
	table := NewTable(rand.New(rand.NewPCG(1, 2)), Config{})
	list := servers(10)
	list[4].Offers = append(list[4].Offers, "adapter:x")
	table.SetServers(list)
	for _, s := range list {
		table.Report(s.VM, 0, Report{Limit: 32, FullLimit: 32})
	}
	if vm, _ := table.Pick(0, Request{Offer: model, Adapter: "adapter:x"}); vm != "vm-4" {
		t.Fatalf("picked %q, which has not loaded the adapter", vm)
	}
}

func TestTooSlowForTheDeadline(t *testing.T) {
	table := newTable(3)
	table.Report("vm-1", 0, Report{Limit: 32, FullLimit: 32, WorkTime: 10 * time.Second})
	for range 100 {
		if vm, _ := table.Pick(0, Request{Offer: model, TimeLeft: 5 * time.Second}); vm == "vm-1" {
			t.Fatal("picked a backend server that takes 10 s with 5 s left")
		}
	}
}

// An agent's report is 2 s old, and this entry has started 10 requests there since. The entry must
// add them to the reported requests of the others.
func TestStaleReportKeepsOwnInFlight(t *testing.T) {
	table := newTable(1)
	for range 10 {
		table.Started("vm-0", time.Second)
	}
	table.Report("vm-0", 2*time.Second, Report{Limit: 32, FullLimit: 32, Running: 12, Age: 2 * time.Second})
	table.Report("vm-0", 60*time.Second, Report{Limit: 32, FullLimit: 32, Running: 22, Age: 0})
	if got := table.byVM["vm-0"].load(); got != 22 {
		t.Fatalf("load %d, want 10 own and 12 of others", got)
	}
}

// After any sequence of changes, the sums and lists of an offer must equal those computed anew from
// its servers.
func TestSumsMatchServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(rand.New(rand.NewPCG(1, 2)), Config{})
		table.SetServers(servers(5))
		var now time.Duration
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			vm := fmt.Sprint("vm-", rapid.IntRange(0, 6).Draw(t, "vm"))
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				table.Report(vm, now, Report{Limit: rapid.IntRange(0, 4).Draw(t, "limit"), FullLimit: 4, Running: rapid.IntRange(0, 5).Draw(t, "running")})
			case 1:
				table.SetSuspect(vm, rapid.Bool().Draw(t, "suspect"))
			case 2:
				table.Started(vm, now)
			case 3:
				table.Ended(vm, now, Outcome{Refused: rapid.Bool().Draw(t, "refused")})
			case 4:
				table.SetDomainWeight("1", rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "weight"))
			case 5:
				table.SetServers(servers(rapid.IntRange(1, 7).Draw(t, "servers")))
			}
			checkSums(t, table)
		}
	})
}

func checkSums(t *rapid.T, table *Table) {
	o := table.offers[model]
	var up, limit, free int
	listed := map[state]int{}
	for _, s := range table.servers {
		c := table.contributionOf(s)
		up, limit, free = up+boolToInt(c.isUp), limit+c.limit, free+c.free
		listed[c.state]++
		if c.state != closed && o.byState[c.state][s.memberships[0].index] != s {
			t.Fatalf("%s is not at its index in the list", s.VM)
		}
	}
	if up != o.upCount || limit != o.limit || free != o.free {
		t.Fatalf("sums %d %d %d, want %d %d %d", o.upCount, o.limit, o.free, up, limit, free)
	}
	if len(o.byState[open]) != listed[open] || len(o.byState[full]) != listed[full] {
		t.Fatalf("lists of %d and %d, want %v", len(o.byState[open]), len(o.byState[full]), listed)
	}
}

func TestRetryBudgetIsATenth(t *testing.T) {
	var b RetryBudget
	retries := 0
	for range 1000 {
		b.CountRequest()
		if b.SpendRetry() {
			retries++
		}
	}
	if retries > 110 {
		t.Fatalf("%d retries of 1000 requests", retries)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{15, 370, 3700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := newTable(n)
			req := Request{Offer: model, Prefix: 7, TimeLeft: time.Second}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				vm, _ := table.Pick(time.Duration(i), req)
				table.Started(vm, time.Duration(i))
				table.Ended(vm, time.Duration(i), Outcome{})
			}
		})
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	table := newTable(3700)
	req := Request{Offer: model, Prefix: 7, Avoid: []string{"vm-1"}}
	if n := testing.AllocsPerRun(1000, func() { table.Pick(0, req) }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

// The VM list is read again, in another order, with one VM removed and one added. What is known of
// prompt prefixes at the VMs that stay must not be lost: each forgotten prefix is a prompt that is
// processed again.
func TestPrefixesSurviveANewList(t *testing.T) {
	table := newTable(10)
	holder, _ := table.Pick(0, Request{Offer: model, Prefix: 7})
	removedVM := "vm-0"
	if holder == removedVM {
		removedVM = "vm-1"
	}
	var list []Server
	for _, s := range slices.Backward(servers(11)) {
		if s.VM != removedVM {
			list = append(list, s)
		}
	}
	table.SetServers(list)
	table.Report("vm-10", 0, Report{Limit: 32, FullLimit: 32})
	for range 20 {
		if vm, _ := table.Pick(0, Request{Offer: model, Prefix: 7}); vm != holder {
			t.Fatalf("picked %q, the prefix is at %q", vm, holder)
		}
	}
}
