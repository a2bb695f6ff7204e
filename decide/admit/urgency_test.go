package admit

import (
	"slices"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

const (
	ms = time.Millisecond
	// urgentPriority, usualPriority and bulkPriority are priorities of this package: higher is more urgent.
	urgentPriority, usualPriority, bulkPriority = 0, -1, -2
	// streamTime is the time that a request runs, streamWait how long it may wait, streamObjective when
	// it must start to be on time.
	streamTime, streamWait, streamObjective = 2 * second, 1300 * ms, 300 * ms
)

// limitedAdmitter returns an admitter of four teams with equal shares, whose starts are limited.
func limitedAdmitter(slots int, ratios map[int]float64) *Admitter {
	a := New(Config{DefaultWorkTime: streamTime, MaxRetryAfter: 10 * second})
	var customers []CustomerShare
	for _, name := range []string{"a", "b", "c", "d"} {
		customers = append(customers, CustomerShare{Name: name, Plan: "teams", Weight: 1, Burst: 4})
	}
	a.SetPlans([]PlanShare{{"teams", 1}}, customers)
	a.SetTotalCapacity("m", slots, 1)
	a.SetCapacity("m", slots)
	a.SetRatios("m", ratios)
	return a
}

func stream(id uint64, team string, priority int, now time.Duration) Request {
	return Request{
		ID: id, Customer: team, Offer: "m", Deadline: now + 8*second, Priority: priority,
		OnTimeBy: now + streamObjective, MaxWait: streamWait,
	}
}

// kind is a kind of requests of a team.
type kind struct {
	team     string
	priority int
}

// outcome counts requests that started on time, started late, and were refused.
type outcome struct{ asked, onTime, late, refused int }

func (o outcome) served() int { return o.onTime + o.late }

type outcomes map[kind]*outcome

// of returns the sum over the kinds of a priority whose team is not the given one.
func (o outcomes) of(priority int, except string) outcome {
	sum := outcome{}
	for k, n := range o {
		if k.priority == priority && k.team != except {
			sum = outcome{sum.asked + n.asked, sum.onTime + n.onTime, sum.late + n.late, sum.refused + n.refused}
		}
	}
	return sum
}

func (o outcomes) at(r Request) *outcome {
	k := kind{r.Customer, r.Priority}
	if o[k] == nil {
		o[k] = &outcome{}
	}
	return o[k]
}

// arrivals is how many requests of each priority a team sends per second.
type arrivals map[string]map[int]float64

// play plays arrivals for some seconds on one entry that divides its slots by its own demand, and returns
// the outcomes.
func play(t *testing.T, slots int, load arrivals, duration time.Duration) outcomes {
	t.Helper()
	a := limitedAdmitter(slots, nil)
	out := make(outcomes)
	type tracked struct {
		Request
		endsAt time.Duration
	}
	requests := make(map[uint64]*tracked)
	started := func(id uint64, now time.Duration) {
		r := requests[id]
		// Lengths differ, so that slots become free one by one.
		r.endsAt = now + streamTime/2 + time.Duration(id%11)*streamTime/10
		if now <= r.OnTimeBy {
			out.at(r.Request).onTime++
		} else {
			out.at(r.Request).late++
		}
	}
	credit := make(map[string]map[int]float64)
	lastID := uint64(0)
	const tick = 10 * ms
	for now := time.Duration(0); now < duration+10*second; now += tick {
		for id, r := range requests {
			if r.endsAt > 0 && r.endsAt <= now {
				a.Done(now, id, streamTime)
				delete(requests, id)
			}
		}
		// Slots do not limit starts while ratios do.
		ratios := divide(a.Demand("m"), slots)
		a.SetRatios("m", ratios)
		a.SetCapacity("m", slots)
		if ratios != nil {
			a.SetCapacity("m", len(requests)+1)
		}
		for _, r := range a.Next(now) {
			if r.Action == Start {
				started(r.ID, now)
			} else {
				out.at(requests[r.ID].Request).refused++
				delete(requests, r.ID)
			}
		}
		if now >= duration {
			continue
		}
		for _, team := range []string{"a", "b", "c", "d"} {
			if credit[team] == nil {
				credit[team] = make(map[int]float64)
			}
			for _, priority := range []int{bulkPriority, usualPriority, urgentPriority} {
				credit[team][priority] += load[team][priority] * tick.Seconds()
				for ; credit[team][priority] >= 1; credit[team][priority]-- {
					lastID++
					r := stream(lastID, team, priority, now)
					requests[lastID] = &tracked{Request: r}
					out.at(r).asked++
					switch d := a.Admit(now, r); d.Action {
					case Start:
						started(lastID, now)
					case Refuse:
						out.at(r).refused++
						delete(requests, lastID)
						if d.RetryAfter <= 0 {
							t.Fatalf("a refusal without a time to come back: %+v", d)
						}
					case Wait:
					}
				}
			}
		}
	}
	return out
}

// divide gives slots to the more urgent requests first, with a floor of a tenth for each priority.
func divide(demand map[int]int, slots int) map[int]float64 {
	sum := 0
	for _, n := range demand {
		sum += n
	}
	if sum <= slots {
		return nil
	}
	left, ratios := float64(slots), make(map[int]float64)
	for _, p := range []int{urgentPriority, usualPriority, bulkPriority} {
		if n := float64(demand[p]); n > 0 {
			ratios[p] = min(1, max(left, 0.1*float64(slots))/n)
			left -= ratios[p] * n
		}
	}
	return ratios
}

func fraction(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// Pattern: the least urgent kind comes at six times its usual, and the slots do not suffice. The other
// kinds must not notice.
func TestBulkBurstLeavesUrgentRequestsOnTime(t *testing.T) {
	load := arrivals{}
	for _, team := range []string{"a", "b", "c", "d"} {
		load[team] = map[int]float64{urgentPriority: 4, usualPriority: 5, bulkPriority: 11}
	}
	out := play(t, 80, load, 8*second)
	for _, priority := range []int{urgentPriority, usualPriority} {
		if o := out.of(priority, ""); fraction(o.onTime, o.asked) < 0.98 {
			t.Errorf("priority %d: %+v", priority, o)
		}
	}
	if o := out.of(bulkPriority, ""); fraction(o.served(), o.asked) < 0.15 || o.refused == 0 {
		t.Errorf("bulk: %+v", o)
	}
}

// Pattern: all kinds come at twice what the slots take. The most urgent kind must be on time, and each
// other kind keeps some service.
func TestAllKindsInSurplus(t *testing.T) {
	load := arrivals{}
	for _, team := range []string{"a", "b", "c", "d"} {
		load[team] = map[int]float64{urgentPriority: 7, usualPriority: 9, bulkPriority: 4}
	}
	out := play(t, 80, load, 8*second)
	if o := out.of(urgentPriority, ""); fraction(o.onTime, o.asked) < 0.95 {
		t.Errorf("urgent: %+v", o)
	}
	for _, priority := range []int{usualPriority, bulkPriority} {
		if o := out.of(priority, ""); fraction(o.served(), o.asked) < 0.1 {
			t.Errorf("priority %d: %+v", priority, o)
		}
	}
}

// Pattern: one team floods with requests marked urgent. The urgent requests of the other teams must be on
// time, and their bulk must not starve.
func TestAFloodOfUrgentRequestsHitsItsOwnTeam(t *testing.T) {
	load := arrivals{"a": {urgentPriority: 100}}
	for _, team := range []string{"b", "c", "d"} {
		load[team] = map[int]float64{urgentPriority: 4, bulkPriority: 1}
	}
	out := play(t, 80, load, 8*second)
	if o := out.of(urgentPriority, "a"); fraction(o.onTime, o.asked) < 0.9 {
		t.Errorf("urgent requests of the other teams: %+v", o)
	}
	if o := out.of(bulkPriority, "a"); fraction(o.served(), o.asked) < 0.9 {
		t.Errorf("bulk of the other teams: %+v", o)
	}
	if o := out[kind{"a", urgentPriority}]; o.refused < o.asked/2 {
		t.Errorf("the flood: %+v", *o)
	}
}

// Requests start by urgency; within a kind the one that can still be on time goes before one that cannot,
// and one that comes back after a refusal, with less time left, before a new one.
func TestOrderOfLimitedStarts(t *testing.T) {
	a := limitedAdmitter(8, map[int]float64{urgentPriority: 0, usualPriority: 0, bulkPriority: 0})
	now := 10 * second
	late := stream(1, "a", urgentPriority, now)
	late.OnTimeBy = now - 1
	returning := stream(4, "b", usualPriority, now)
	returning.Deadline -= 2 * second
	for _, r := range []Request{late, stream(2, "b", bulkPriority, now), stream(3, "c", usualPriority, now), returning, stream(5, "d", urgentPriority, now)} {
		r.MaxWait = time.Hour
		r.Deadline += time.Hour
		if d := a.Admit(now, r); d.Action != Wait {
			t.Fatalf("request %d: %+v", r.ID, d)
		}
	}
	a.SetRatios("m", map[int]float64{})
	var order []uint64
	for _, r := range a.Next(now) {
		order = append(order, r.ID)
	}
	if want := []uint64{5, 1, 4, 3, 2}; !slices.Equal(order, want) {
		t.Errorf("started in the order %v, want %v", order, want)
	}
}

// A request that cannot start within its patience must be refused at once, not after it has waited.
func TestAWaitBeyondPatienceIsRefusedAtOnce(t *testing.T) {
	a := limitedAdmitter(8, map[int]float64{bulkPriority: 0.1})
	refused := false
	for id := uint64(1); id < 40 && !refused; id++ {
		d := a.Admit(0, stream(id, "a", bulkPriority, 0))
		refused = d.Action == Refuse
		if refused && (d.RetryAfter < streamWait/2 || d.Code != api.ResultCode_OVER_SHARE && d.Code != api.ResultCode_SATURATED) {
			t.Errorf("refused with %+v", d)
		}
	}
	if !refused {
		t.Error("forty requests of bulk wait for one slot")
	}
	if d := a.Admit(0, stream(100, "b", urgentPriority, 0)); d.Action != Start {
		t.Errorf("an urgent request behind waiting bulk: %+v", d)
	}
}

// A server is full after all, and a started request is queued again. Its priority must not count as
// running.
func TestRequeuedRequestsDoNotCountAsRunning(t *testing.T) {
	a := limitedAdmitter(8, map[int]float64{})
	a.Admit(0, stream(1, "a", urgentPriority, 0))
	a.Requeue(0, 1)
	if d := a.Demand("m"); d[urgentPriority] != 1 {
		t.Errorf("demand %v, want one request", d)
	}
	a.Cancel(0, 1)
	if d := a.Demand("m"); len(d) != 0 {
		t.Errorf("demand %v after the request was cancelled", d)
	}
}

// The caller of SetRatios sets more slots than there are, since the ratios limit starts. If shares were
// counted in slots, no team would ever be beyond its own, and a flood would go before all others.
func TestSharesAreCountedInPlaces(t *testing.T) {
	a := limitedAdmitter(1000, nil)
	for id := range uint64(6) {
		a.Admit(0, stream(id+1, "a", urgentPriority, 0))
	}
	a.SetRatios("m", map[int]float64{urgentPriority: 0.75})
	flood, other := stream(10, "a", urgentPriority, 0), stream(11, "b", urgentPriority, ms)
	for _, r := range []Request{flood, other} {
		r.MaxWait = time.Hour
		if d := a.Admit(ms, r); d.Action != Wait {
			t.Fatalf("request %d: %+v", r.ID, d)
		}
	}
	for id := range uint64(3) {
		a.Done(2*ms, id+1, streamTime)
	}
	started := a.Next(2 * ms)
	if len(started) != 1 || started[0].ID != other.ID {
		t.Errorf("started %+v, want the request of the team within its share", started)
	}
}
