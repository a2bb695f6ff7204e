package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/apricothub/apricothub/decide/admit"
	"github.com/apricothub/apricothub/decide/cold"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/decide/queue"
	"github.com/apricothub/apricothub/decide/shift"
)

// measureDecisions returns the time and allocations of each decision by size, as a Markdown table.
func measureDecisions() string {
	t := markdownTable{head: []string{"decision", "size", "ns", "allocations"}}
	for _, n := range []int{15, 370, 3700} {
		size := fmt.Sprintf("%d backend servers", n)
		addCost(&t, "place: Pick, Started, Ended", size, pickServer(n, false))
		addCost(&t, "place: the same, prefix known", size, pickServer(n, true))
		addCost(&t, "place: Report", size, recordReport(n))
	}
	for _, n := range []int{10, 7300} {
		size := fmt.Sprintf("%d customers", n)
		addCost(&t, "admit: Offer and Done, room free", size, admitRequest(n, false))
		addCost(&t, "admit: Offer, Done and Next, saturated", size, admitRequest(n, true))
		addCost(&t, "queue: Push and Pop, 16 waiting", size, pushAndPop(n))
	}
	addCost(&t, "cold: TryStart, Observe, Done", "1 backend server", limitColdServer())
	addCost(&t, "shift: Weight", "12 failure domains", shiftWeight())
	return "Sequential, one core, mean of some hundred thousand decisions.\n\n" + t.String()
}

// addCost measures the time and allocations of a decision and adds them to the table.
func addCost(t *markdownTable, name, size string, decide func(i int)) {
	const warmUp, runs = 20000, 300000
	for i := range warmUp {
		decide(i)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	from := time.Now()
	for i := range runs {
		decide(warmUp + i)
	}
	took := time.Since(from)
	runtime.ReadMemStats(&after)
	allocations := float64(after.Mallocs-before.Mallocs) / runs
	t.add(name, size, fmt.Sprint(took.Nanoseconds()/runs), fmt.Sprintf("%.2f", allocations))
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func newServers(n int) []place.Server {
	servers := make([]place.Server, n)
	for i := range servers {
		servers[i] = place.Server{
			VM: fmt.Sprintf("vm-%04d", i), Domain: fmt.Sprint(i % 12),
			Offers: []string{"model:m"}, Weight: 1,
		}
	}
	return servers
}

func pickServer(n int, withPrefix bool) func(int) {
	rng := newRand()
	table := place.NewTable(rng, place.Config{})
	servers := newServers(n)
	table.SetServers(servers)
	for _, s := range servers {
		table.Report(s.VM, 0, place.Report{Limit: 32, FullLimit: 32, Running: rng.IntN(24), WorkTime: time.Second})
	}
	inFlight := make([]string, 4*n)
	return func(i int) {
		now := time.Duration(i) * time.Microsecond
		req := place.Request{Offer: "model:m"}
		if withPrefix {
			req.Prefix = uint64(i%1000) + 1
		}
		slot := i % len(inFlight)
		if inFlight[slot] != "" {
			table.Ended(inFlight[slot], now, place.Outcome{Latency: time.Second})
		}
		inFlight[slot], _ = table.Pick(now, req)
		table.Started(inFlight[slot], now)
	}
}

func recordReport(n int) func(int) {
	rng := newRand()
	table := place.NewTable(rng, place.Config{})
	servers := newServers(n)
	table.SetServers(servers)
	return func(i int) {
		table.Report(servers[i%n].VM, time.Duration(i), place.Report{Limit: 32, FullLimit: 32, Running: rng.IntN(40)})
	}
}

func admitRequest(n int, saturated bool) func(int) {
	a := admit.New(admit.Config{MaxQueue: 1 << 16, MaxWait: time.Hour})
	plans := []admit.PlanShare{{Name: "gold", Share: 3}, {Name: "basic", Share: 1}}
	customers := make([]admit.CustomerShare, n)
	for i := range customers {
		customers[i] = admit.CustomerShare{Name: fmt.Sprintf("customer-%d", i), Plan: plans[i%2].Name, Weight: 1, Burst: 1 << 20}
	}
	a.SetPlans(plans, customers)
	const slots = 1000
	a.SetCapacity("model:m", slots)
	var id uint64
	offer := func(i int) {
		id++
		a.Admit(0, admit.Request{ID: id, Customer: customers[i%n].Name, Offer: "model:m", Deadline: time.Hour})
	}
	if !saturated {
		return func(i int) {
			offer(i)
			a.Done(0, id, time.Millisecond)
		}
	}
	var running []uint64
	for i := range 2*slots + n {
		offer(i)
		if i < slots {
			running = append(running, id)
		}
	}
	return func(i int) {
		offer(i)
		slot := i % len(running)
		a.Done(0, running[slot], time.Millisecond)
		for _, r := range a.Next(0) {
			running[slot] = r.ID
		}
	}
}

func pushAndPop(n int) func(int) {
	q := queue.New(17)
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("customer-", i)
	}
	push := func(i int) {
		q.Push(0, queue.Item{ID: uint64(i), Share: names[i%n], Deadline: time.Hour + time.Duration(i%100)})
	}
	for i := range 16 {
		push(1<<40 + i)
	}
	return func(i int) {
		push(i)
		q.Pop()
	}
}

func limitColdServer() func(int) {
	l := cold.New(cold.Config{ColdLimit: 2, FullLimit: 32}, 0)
	return func(i int) {
		now := time.Duration(i) * time.Millisecond
		l.TryStart(now)
		l.Observe(now, 150*time.Millisecond)
		l.Done(now, cold.Outcome{Took: time.Second})
	}
}

func shiftWeight() func(int) {
	s := shift.New(shift.Config{})
	names := make([]string, 12)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	s.Leave(0, names[0])
	return func(i int) { s.Weight(time.Duration(i), names[i%12]) }
}
