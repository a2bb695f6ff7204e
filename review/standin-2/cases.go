package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// route returns a route of a configuration.
func route(name, prefix, kind, service string, timeout, attempts int, further string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path-prefix":%q,"route-type":%q,"timeout-ms":%d,"target-latency-ms":500,"priority":1,"service":%q,"attempts":%d,"allow-anonymous":false%s}`,
		name, host, prefix, kind, timeout, service, attempts, further)
}

// config returns a configuration with one service for streams and two for calls.
func config(version int) string {
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"health-path":"/healthz","max-connections":328,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}`, name)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s],"services":[%s,%s,%s],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},`+
		`"tenants":[{"name":"hule930","api-keys":[%q],"priority":1}]}`, version,
		route("r-1", "/draft/", "stream", drafts, 8000, 2, `,"resumable":true,"gap-aim-ms":120`),
		route("r-2", "/read/", "idempotent", calls, 2000, 2, ""),
		route("r-3", "/take/", "non_idempotent", calls, 2000, 1, ""),
		service(drafts), service(calls), service(notes), apiKey)
}

var zones = []string{"lake-north", "lake-mid", "lake-south"}

// The services of the configuration.
const (
	drafts = "huvo11a"
	calls  = "wuno96b"
	notes  = "jemi70a"
)

// startWorkers starts workers of a service, one zone after the other.
func (r *rig) startWorkers(service string, n, concurrency int, flags ...string) []*worker {
	var all []*worker
	for i := range n {
		all = append(all, r.startWorker(newInstance(), service, zones[i%len(zones)], concurrency, flags...))
	}
	return all
}

func newInstance() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

// spoiledConfig returns a configuration with a route to each of the two services; with more, the second service
// has another route.
func spoiledConfig(version int, more bool) string {
	text := strings.Replace(config(version), `"routes":[`, `"routes":[`+route("r-4", "/note/", "idempotent", notes, 2000, 2, "")+",", 1)
	if more {
		text = strings.Replace(text, `"routes":[`, `"routes":[`+route("r-5", "/more/", "idempotent", notes, 2000, 2, "")+",", 1)
	}
	return text
}

// playSpoiled lets one of the three workers of a service at a time spoil 3 in a hundred of its answers for 5 s.
// Later, when all workers have long been sound, a route to that service is added. Its requests must be served a
// quarter as often as those on the first routes.
func playSpoiled(r *rig) bool {
	const (
		rounds, length        = 12, 5 * time.Second
		before, calm          = 3 * time.Second, 8 * time.Second
		apply, steady         = 2 * time.Second, 8 * time.Second
		interval, minRequests = 15 * time.Millisecond, 20
		minServed             = 0.25
	)
	r.store.put("keyed.op", "config", spoiledConfig(7, false))
	workers := r.startWorkers(notes, 3, 6, "-spoiled", "3")
	r.startWorkers(calls, 3, 6)
	r.startGateways(zones[0], zones[1])
	begun := time.Now()
	addedAt := before + rounds*length + calm
	go func() {
		time.Sleep(before)
		for round := range rounds {
			if r.trouble {
				workers[round%len(workers)].spoil(length)
			}
			time.Sleep(length)
		}
		r.note("all workers are sound from now on")
		time.Sleep(calm)
		r.store.put("keyed.op", "config", spoiledConfig(9, true))
		r.note("the store has acknowledged configuration 9, with another route")
	}()
	var early, first, added servedCounts
	every(interval, begun.Add(addedAt+apply+steady), func(n int) {
		sent := time.Since(begun)
		isSteady := sent >= addedAt+apply
		switch {
		case isSteady && n%3 == 0:
			added.add(r.read("/more/2f"))
		case isSteady && n%3 == 1:
			first.add(r.read("/read/2f"))
		case isSteady:
			first.add(r.read("/note/2f"))
		case sent < before:
			early.add(r.read("/note/2f"))
		case n%8 == 0:
			r.read("/read/2f")
		default:
			r.read("/note/2f")
		}
	})
	r.note("served before the trouble: %.3f of %d requests", early.ratio(), early.sent)
	r.note("served in steady state after it: %.3f of %d on the first routes, %.3f of %d on the added one", first.ratio(), first.sent, added.ratio(), added.sent)
	if added.sent >= minRequests && added.ratio() < minServed*first.ratio() {
		r.breaks("%.3f of the requests on the added route were served, and %.3f of those on the first ones", added.ratio(), first.ratio())
	}
	return r.verdict()
}

// servedCounts counts requests, and those of them that were served.
type servedCounts struct {
	mu          sync.Mutex
	sent, count int
}

func (c *servedCounts) add(isServed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if isServed {
		c.count++
	}
}

func (c *servedCounts) ratio() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.count) / float64(max(c.sent, 1))
}

// read sends one request that may be repeated, and reports whether it was served.
func (r *rig) read(path string) bool {
	g := r.gateways[rand.IntN(len(r.gateways))]
	q := call{method: "GET", path: path, attempt: newAttempt(), deadline: 4 * time.Second}
	c, err := connect(g.callers)
	if err != nil {
		r.note("%s to %s: no connection: %v", q.attempt, g.name, err)
		return false
	}
	defer c.close()
	r.note("%s to %s: %s %s", q.attempt, g.name, q.method, q.path)
	a := c.send(q)
	r.note("%s from %s: status %d, ended as complete: %v, %d bytes, error: %v", q.attempt, g.name, a.status, a.isWhole, len(a.body), a.err)
	return a.status == 200 && a.isWhole && a.signature != "" && a.body == wholeCall(q.attempt)
}

// shapeConfig returns a configuration whose service for streams has engines with expert maps of a shape.
func shapeConfig(version, sets, experts, places int) string {
	engine := fmt.Sprintf(`"cold-per-s":0.0,"engine":{"concurrency":12,"kv-tokens":280000,"kv-bytes":35136,"bandwidth-mbps":180000.0,"stride":4,`+
		`"models":[{"name":"m"}],"step_ms":4.55,"per_seq_ms":0.905,"context_per_k":0.0183,"read_per_s":61400.0,"pairs_per_m":0.525,"chunk":512,`+
		`"report_lag_ms":200.0,"usual":{"prompt":835,"answer":97},"sets":%d,"experts":%d,"places":%d,"spare":3,"expert-mb":2200.0,"expert-share":0.85,"form_ms":600.0}}`,
		sets, experts, places)
	return strings.Replace(config(version), `"cold-per-s":0.0}`, engine, 1)
}

// playExperts publishes a configuration in which the engines of a service have other expert maps, while calls of
// another service are under way.
func playExperts(r *rig) bool {
	const apply, before, after = 2 * time.Second, 6 * time.Second, 6 * time.Second
	ips := newIPs(2 + groupRanks)
	r.ports = freePorts(ips, 5)
	r.store.put("keyed.op", "config", shapeConfig(7, layerSets, expertsOfSet, expertPlaces))
	r.startWorkers(calls, 3, 12, "-work-time", "150ms")
	r.startGroup(drafts, ips[2:], r.ports[4])
	r.startGatewaysAt(ips[:2], zones[0], zones[1])
	for _, g := range r.gateways {
		r.watch(g)
	}
	time.Sleep(2 * time.Second)
	var cuts cutCounts
	begun := time.Now()
	go func() {
		time.Sleep(before)
		sets, experts, places := layerSets, expertsOfSet, expertPlaces
		if r.trouble {
			sets, experts, places = 3, 96, 11
		}
		cuts.from(time.Now(), apply+time.Second)
		r.store.put("keyed.op", "config", shapeConfig(9, sets, experts, places))
		r.note("the store has acknowledged configuration 9: %d sets of %d experts, %d places", sets, experts, places)
	}()
	every(10*time.Millisecond, begun.Add(before+after), func(n int) { r.call(n%2 == 0, &cuts) })
	inside, outside := cuts.ratios()
	r.note("of the requests sent around the configuration, %.4f were cut; of the others %.4f", inside, outside)
	if inside > 3*outside {
		for _, attempt := range cuts.attempts {
			r.breaks("%s had been passed on to a worker, and its connection ended without an answer", attempt)
		}
	}
	return r.verdict()
}

// cutCounts counts the requests that were passed on to a worker and whose connection ended without a complete
// answer, around a configuration and at other times.
type cutCounts struct {
	mu                      sync.Mutex
	start, end              time.Time
	sentInside, sentOutside int
	cutInside, cutOutside   int
	attempts                []string
}

// from sets the span that counts as around the configuration.
func (c *cutCounts) from(start time.Time, length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start, c.end = start, start.Add(length)
}

// add counts a request that was sent at a time and ended at another one.
func (c *cutCounts) add(attempt string, sent, ended time.Time, isCut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isInside := !c.start.IsZero() && ended.After(c.start) && sent.Before(c.end)
	switch {
	case isInside && isCut:
		c.cutInside++
		c.attempts = append(c.attempts, attempt)
	case isCut:
		c.cutOutside++
	}
	if isInside {
		c.sentInside++
	} else {
		c.sentOutside++
	}
}

// ratios returns the parts of the requests that were cut.
func (c *cutCounts) ratios() (inside, outside float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.cutInside) / float64(max(c.sentInside, 1)), float64(c.cutOutside) / float64(max(c.sentOutside, 1))
}

// call sends a request that may run at most once, or one that may be repeated, and counts it.
func (r *rig) call(atMostOnce bool, cuts *cutCounts) {
	g := r.gateways[rand.IntN(len(r.gateways))]
	q := call{method: "GET", path: "/read/fi50/2f", attempt: newAttempt(), deadline: 4 * time.Second}
	if atMostOnce {
		q.method, q.path, q.header = "POST", "/take/2f", "Content-Length: 0\r\n"
	}
	c, err := connect(g.callers)
	if err != nil {
		r.note("%s to %s: no connection: %v", q.attempt, g.name, err)
		return
	}
	defer c.close()
	r.note("%s to %s: %s %s", q.attempt, g.name, q.method, q.path)
	sent := time.Now()
	a := c.send(q)
	ended := time.Now()
	r.note("%s from %s: status %d, ended as complete: %v, %d bytes, error: %v", q.attempt, g.name, a.status, a.isWhole, len(a.body), a.err)
	// What the worker says of its run comes a moment later.
	time.Sleep(200 * time.Millisecond)
	cuts.add(q.attempt, sent, ended, !a.isWhole && r.hasRun(q.attempt))
}

// foreignKey is a key that no configuration holds.
const foreignKey = "zzzzzzzzzzzzzzzzzzzz"

// playTenants takes away the only key, then also the tenant that had it. Requests with the key that was taken away,
// and with one that never was there, must not run.
func playTenants(r *rig) bool {
	const apply, span = 2 * time.Second, 3 * time.Second
	r.store.put("keyed.op", "config", config(7))
	r.startWorkers(calls, 3, 6)
	r.startGateways(zones[0], zones[1])
	for i, tenants := range []string{
		`[{"name":"hule930","api-keys":["` + apiKey + `"],"priority":1}]`,
		`[{"name":"hule930","api-keys":[],"priority":1}]`,
		`[]`,
	} {
		if i > 0 && !r.trouble {
			break
		}
		version := 9 + 2*i
		r.store.put("keyed.op", "config", tenantsConfig(version, tenants))
		r.note("the store has acknowledged configuration %d: tenants %s", version, tenants)
		time.Sleep(apply)
		every(50*time.Millisecond, time.Now().Add(span), func(n int) {
			r.callWithKey(foreignKey, version, true)
			r.callWithKey(apiKey, version, i > 0)
		})
	}
	return r.verdict()
}

func tenantsConfig(version int, tenants string) string {
	head, _, _ := strings.Cut(config(version), `"tenants":`)
	return head + `"tenants":` + tenants + "}"
}

// callWithKey sends a request with a key. mustRefuse means that it must not run.
func (r *rig) callWithKey(key string, version int, mustRefuse bool) {
	g := r.gateways[rand.IntN(len(r.gateways))]
	q := call{method: "GET", path: "/read/fi50/2f", attempt: newAttempt(), deadline: 4 * time.Second, key: key}
	c, err := connect(g.callers)
	if err != nil {
		r.note("%s to %s: no connection: %v", q.attempt, g.name, err)
		return
	}
	defer c.close()
	r.note("%s to %s: %s %s with key %s", q.attempt, g.name, q.method, q.path, key)
	a := c.send(q)
	r.note("%s from %s: status %d, %d bytes, error: %v", q.attempt, g.name, a.status, len(a.body), a.err)
	time.Sleep(200 * time.Millisecond)
	if mustRefuse && r.hasRun(q.attempt) {
		r.breaks("%s with key %s has run over %v after configuration %d", q.attempt, key, 2*time.Second, version)
	}
}
