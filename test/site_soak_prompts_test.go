package test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/apricothub/apricothub/test/harness"
)

const (
	// crashingPart is the part of a prompt that ends engines in the soak.
	crashingPart = "crash"
	// deadlyPath is the path of a request that ends engines and that callers repeat under new IDs.
	deadlyPath = "deadly"
	// crashingInterval is the time between two requests with it.
	crashingInterval = 150 * time.Millisecond
)

// crashingPrompts ends engines of a soak that begin to answer a request with crashingPart in its prompt, or the
// one at deadlyPath.
type crashingPrompts struct {
	soak  *siteSoak
	links []*harness.Forwarder

	mu sync.Mutex
	// restarts counts the starts of each engine after the first, isDown says which have ended.
	restarts []int
	isDown   []bool
	// causes are crashingPart and deadlyPath.
	causes map[string]*crashes
}

// crashes are the ends of engines by one cause.
type crashes struct {
	// known is the number of ends after which entries must know the cause.
	known int
	// ends and runs are when engines ended and when requests with the cause ran.
	ends, runs []time.Time
}

// newCrashingPrompts lets the engines of a soak, each behind its link, end under the part.
func newCrashingPrompts(s *siteSoak, links []*harness.Forwarder) *crashingPrompts {
	c := &crashingPrompts{
		soak: s, links: links, restarts: make([]int, len(links)), isDown: make([]bool, len(links)),
		causes: map[string]*crashes{crashingPart: {known: maxCrashes}, deadlyPath: {known: maxRequestCrashes}},
	}
	s.group.OnBegin(func(rank int, r *http.Request) bool {
		switch {
		case r.URL.Path == "/draft/"+deadlyPath:
			c.run(rank, deadlyPath)
		case strings.Contains(r.Header.Get("Prompt-Prefix"), crashingPart+":"):
			c.run(rank, crashingPart)
		default:
			return true
		}
		return false
	})
	return c
}

// run runs a request with a cause at an engine, which ends. It is back after serverRestartTime.
func (c *crashingPrompts) run(rank int, cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	by := c.causes[cause]
	by.runs = append(by.runs, time.Now())
	if c.isDown[rank] {
		return
	}
	c.isDown[rank] = true
	by.ends = append(by.ends, time.Now())
	c.links[rank].EndProcess()
	go func() {
		c.soak.group.Crash(rank, serverRestartTime)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.isDown[rank] = false
		c.restarts[rank]++
		if err := c.links[rank].StartProcess(); err != nil {
			c.soak.t.Errorf("seed %d: rank %d: %v", c.soak.seed, rank, err)
		}
		c.soak.store.RegisterEngine(rank, c.links[rank].Address, "drafts", domains[rank%len(domains)], c.restarts[rank])
	}()
}

// sendCrashingDrafts sends requests with the part, and repeats of the one at deadlyPath, to all gateways in turn.
func (s *siteSoak) sendCrashingDrafts() {
	addresses := s.newAddressCache()
	client := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
	for n := 0; !isClosed(s.stop); n++ {
		path := fmt.Sprintf("c%d", n)
		address := addresses.pick()
		if n%3 == 0 {
			s.callers.Go(func() {
				s.retries.recordSent()
				readStreamOf(client, address, deadlyPath, path, fmt.Sprintf("first:40,topic1:100,%s:20", deadlyPath))
			})
		}
		s.callers.Go(func() {
			s.retries.recordSent()
			readStreamOf(client, address, path, path, fmt.Sprintf("first:40,topic%d:100,%s:60,%s:20", n%3, crashingPart, path))
		})
		time.Sleep(crashingInterval)
	}
}

// checkCrashingPrompts checks that hardly any request with a cause has run since the faults ended and enough
// engines had ended by it.
func (s *siteSoak) checkCrashingPrompts(calmSince time.Time) {
	s.t.Helper()
	c := s.prompts
	c.mu.Lock()
	defer c.mu.Unlock()
	for cause, by := range c.causes {
		known := calmSince
		if len(by.ends) >= by.known && by.ends[by.known-1].After(known) {
			known = by.ends[by.known-1]
		}
		later := 0
		for _, at := range by.runs {
			if at.After(known.Add(contactTime)) {
				later++
			}
		}
		s.t.Logf("seed %d: %d engines ended by %s, %d requests with it ran, %d of them when it had to be known", s.seed, len(by.ends), cause, len(by.runs), later)
		if len(by.ends) == 0 {
			s.t.Errorf("seed %d: no engine ended by %s: the check proves nothing", s.seed, cause)
		}
		if len(by.ends) >= by.known && later > maxLaterRequests {
			s.t.Errorf("seed %d: %d requests with %s reached engines later than %v after the faults and %d ends", s.seed, later, cause, contactTime, by.known)
		}
	}
}
