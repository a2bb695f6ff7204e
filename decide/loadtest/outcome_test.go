package loadtest

import (
	"testing"
	"time"
)

// want is what callers must see in a scenario. Zero values are not checked.
type want struct {
	scenario string
	// others is the least part of the requests answered in time of every customer
	// but the hog; all the same of every customer.
	others, all float64
	// goodput is the least part of the capacity that ends in answers in time.
	goodput float64
	// first and refusal bound the 95th percentiles of the times to the first token
	// and to a refusal.
	first, refusal time.Duration
	// late and overloads are the most allowed.
	late, overloads int
}

// atOnce is a refusal without a wait: the time of a round trip to an agent.
const atOnce = 10 * time.Millisecond

var wants = []want{
	{scenario: "steady, 70%", all: 1, first: 400 * time.Millisecond},
	{scenario: "burst: one customer, 4 times the capacity for 2 s", others: 1, refusal: atOnce},
	{scenario: "skew: one customer at 50 times its share", others: 1, goodput: 0.97, refusal: atOnce},
	{scenario: "one backend server 10 times slower", all: 0.998, first: 450 * time.Millisecond, late: 3},
	{scenario: "1 request in 20 is 8 times as long", all: 1},
	{scenario: "reports 2 s old, 80%", all: 1, first: 370 * time.Millisecond},
	{scenario: "saturation, 100%", first: 1500 * time.Millisecond, all: 0.95, goodput: 0.97, refusal: atOnce, late: 10},
	{scenario: "saturation, 150%", first: 2200 * time.Millisecond, goodput: 0.97, refusal: atOnce, late: 50},
	{scenario: "saturation, 200%", first: 2400 * time.Millisecond, goodput: 0.97, refusal: atOnce, late: 50},
	{scenario: "saturation, 400%", first: 3 * time.Second, goodput: 0.97, refusal: atOnce, late: 50},
	{scenario: "retry storm at 150%", goodput: 0.97, late: 150},
	// An engine that answers at a level pace until it is warm gives no sign by which
	// to know when. The first probes cost some overloads; they must not repeat.
	{scenario: "all new and cold, warm in one step, 30%", all: 0.6, late: 30, overloads: 12},
	// Between the moment that a warm backend server turns cold and the first sign
	// of it no limit can know; 12 of them get some 6 requests each in that time.
	{scenario: "all backend servers turn cold, 50%", all: 0.65, late: 100, overloads: 80},
}

func TestOutcomesUnderLoad(t *testing.T) {
	byName := map[string]Scenario{}
	for _, s := range Scenarios {
		byName[s.Name] = s
	}
	if len(wants) != len(byName) {
		t.Fatalf("%d scenarios are checked of %d", len(wants), len(byName))
	}
	for _, w := range wants {
		for _, seed := range []uint64{1, 2} {
			t.Run(w.scenario, func(t *testing.T) {
				t.Parallel()
				s := byName[w.scenario]
				w.check(t, s, s.Run(Own(), seed))
			})
		}
	}
}

func (w want) check(t *testing.T, s Scenario, r *Run) {
	t.Helper()
	from, to := s.Settled(), s.Until()
	all := r.Outcome("", from, to)
	if all.Share() < w.all {
		t.Errorf("%.4f of all in time, want %.4f: %+v", all.Share(), w.all, all.Codes)
	}
	for _, c := range r.setup.Customers {
		if o := r.Outcome(c.Name, from, to); c.Name != Hog && o.Share() < w.others {
			t.Errorf("%s: %.4f in time, want %.4f: %+v", c.Name, o.Share(), w.others, o.Codes)
		}
	}
	if part := r.Goodput(from, to) / Capacity(r.setup.Backends); part < w.goodput {
		t.Errorf("goodput is %.3f of the capacity, want %.3f", part, w.goodput)
	}
	if first := Quantile(all.First, 0.95); w.first > 0 && first > w.first {
		t.Errorf("first token p95 %v, want %v", first, w.first)
	}
	if refusal := Quantile(all.ToRefusal, 0.95); w.refusal > 0 && refusal > w.refusal {
		t.Errorf("time to refusal p95 %v, want %v", refusal, w.refusal)
	}
	if all.Late > w.late {
		t.Errorf("%d late, want %d at most", all.Late, w.late)
	}
	if cost := r.Cost(); cost.Overloads > w.overloads {
		t.Errorf("%d overloads of cold backend servers, want %d at most", cost.Overloads, w.overloads)
	}
}

// All backend servers turn cold at once, at half load, and nobody is told. Callers
// see refusals while there is no capacity, and then everything in time again.
// Without the limiter each one falls over under the load as often as it restarts.
func TestAllColdRecovers(t *testing.T) {
	t.Parallel()
	s := Scenarios[len(Scenarios)-1]
	for _, p := range []Policy{Own(), RoundRobin()} {
		r := s.Run(p, 1)
		back := r.Outcome("", s.Until()-20*time.Second, s.Until())
		own := p.Name == Own().Name
		if own && back.Share() < 0.999 {
			t.Errorf("%s: %.4f in time at the end", p.Name, back.Share())
		}
		if !own && back.Share() > 0.1 {
			t.Errorf("%s: %.4f in time: the fake is too kind to show anything", p.Name, back.Share())
		}
	}
}

const (
	leave = 50 * time.Second
	back  = 70 * time.Second
	end   = 110 * time.Second
)

// Operators mark a failure domain out at 70% of what the others bear, and bring it
// back in cold start. No caller notices: no request is lost or late, no cold
// backend server gets more than it bears, and first tokens come about as soon.
func TestMarkedDomainCostsNothing(t *testing.T) {
	t.Parallel()
	r := moveDomain(func(r *Run) { r.Mark("a", true) }, func(r *Run) { r.Mark("a", false) })
	quiet, moved := r.Outcome("", settled, leave), r.Outcome("", leave, end)
	if moved.InTime != moved.Asked {
		t.Errorf("lost: %+v %+v", moved.Asked-moved.InTime, moved.Codes)
	}
	if cost := r.Cost(); cost.Overloads != 0 || cost.Falls != 0 {
		t.Errorf("overloads %d, falls %d", cost.Overloads, cost.Falls)
	}
	before, after := Quantile(quiet.First, 0.95), Quantile(moved.First, 0.95)
	if float64(after) > 1.3*float64(before) {
		t.Errorf("first token p95 %v, quiet %v", after, before)
	}
}

// A failure domain dies at the same load. Callers lose only what was in flight
// there and may not be repeated; the rest is sent again once the silence shows.
func TestDeadDomainCostsOnlyWhatMayNotRepeat(t *testing.T) {
	t.Parallel()
	r := moveDomain(func(r *Run) { r.Kill("a") }, func(r *Run) { r.Revive("a") })
	o, cost := r.Outcome("", settled, end), r.Cost()
	if cost.Unresumed == 0 {
		t.Fatal("nothing was in flight: the test shows nothing")
	}
	if o.Failed != cost.Unresumed || o.Late+o.Refused != 0 {
		t.Errorf("failed %d, late %d, refused %d; %d were in flight and may not repeat", o.Failed, o.Late, o.Refused, cost.Unresumed)
	}
	asked := 0.0
	for _, c := range r.setup.Customers {
		asked += c.Rate
	}
	if got := r.Goodput(leave+2*time.Second, leave+4*time.Second); got < 0.9*asked {
		t.Errorf("goodput %.0f/s two seconds after, %.0f/s asked", got, asked)
	}
	if cost.Overloads != 0 {
		t.Errorf("overloads %d", cost.Overloads)
	}
}

func moveDomain(out, in func(*Run)) *Run {
	setup := Today(Own(), 0.7*2/3)
	setup.Stop = end
	for i := range setup.Customers {
		setup.Customers[i].Repeatable = 0.5
	}
	r := New(setup)
	r.At(leave, func() { out(r) })
	r.At(back, func() { in(r) })
	r.Until(end + 10*time.Second)
	return r
}

// One customer asks for 4 times the capacity for a second. Most of it is refused at
// once, with a time to come back. Callers who come back then, once, are served: the
// times are spread at the pace at which places free up.
func TestTimeToComeBackIsTrue(t *testing.T) {
	t.Parallel()
	setup := Today(Own(), 0.5)
	burst(&setup)
	hog := &setup.Customers[len(setup.Customers)-1]
	hog.Honour = true
	hog.To = hog.From + time.Second
	setup.Stop = 70 * time.Second
	r := New(setup)
	r.Until(100 * time.Second)
	again, served := 0, 0
	for _, q := range r.requests {
		if q.asked < 2 {
			continue
		}
		again++
		if q.result == inTime {
			served++
		}
	}
	if again < 200 {
		t.Fatalf("%d came back: the test shows nothing", again)
	}
	if served < again*9/10 {
		t.Errorf("%d of %d who came back when told were served", served, again)
	}
}

// One prompt in 20 is 8 times as long, and some come together at one warm backend
// server. Its first tokens are late for a moment. That must not be taken for cold:
// each time, the backend server would be at its cold limit for seconds.
func TestMixedSizesAreNotTakenForCold(t *testing.T) {
	t.Parallel()
	setup := Today(Own(), 0.5)
	mixed(&setup)
	setup.Stop = 120 * time.Second
	r := New(setup)
	falls, last := 0, map[string]int{}
	for at := 70 * time.Second; at < setup.Stop; at += 100 * time.Millisecond {
		r.Until(at)
		for _, vm := range r.vms {
			limit := r.agents[vm].limit.Limit()
			if limit == r.agents[vm].backend.Cold && last[vm] > limit {
				falls++
			}
			last[vm] = limit
		}
	}
	if falls > 3 {
		t.Errorf("%d falls of 12 warm backend servers in 50 s", falls)
	}
}

// Operators take a failure domain out and bring it back while the others get 5% more
// than they can do. Callers are refused until the returned one has warmed up, which it
// does by the little work it bears: half a minute after, callers are answered again.
func TestReturnedDomainWarmsUpUnderLoad(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		setup := Today(Own(), 0.7)
		setup.Seed, setup.Stop = seed, end
		r := New(setup)
		r.At(leave, func() { r.Mark("a", true) })
		r.At(back, func() { r.Mark("a", false) })
		r.Until(end + 10*time.Second)
		o := r.Outcome("", back+28*time.Second, end)
		if o.Share() < 0.999 {
			t.Errorf("seed %d: %d of %d not answered, %+v", seed, o.Asked-o.InTime, o.Asked, o.Codes)
		}
		if cost := r.Cost(); cost.Overloads != 0 {
			t.Errorf("seed %d: %d overloads", seed, cost.Overloads)
		}
	}
}
