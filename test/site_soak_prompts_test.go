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
	// crashingInterval is the time between two requests with it.
	crashingInterval = 150 * time.Millisecond
)

// crashingPrompts ends engines of a soak that begin to answer a request with crashingPart in its prompt.
type crashingPrompts struct {
	soak  *siteSoak
	links []*harness.Forwarder

	mu sync.Mutex
	// restarts counts the starts of each engine after the first, isDown says which have ended.
	restarts []int
	isDown   []bool
	// ends and runs are when engines ended and when requests with the part ran.
	ends, runs []time.Time
}

// newCrashingPrompts lets the engines of a soak, each behind its link, end under the part.
func newCrashingPrompts(s *siteSoak, links []*harness.Forwarder) *crashingPrompts {
	c := &crashingPrompts{soak: s, links: links, restarts: make([]int, len(links)), isDown: make([]bool, len(links))}
	s.group.OnBegin(func(rank int, r *http.Request) bool {
		if !strings.Contains(r.Header.Get("Prompt-Prefix"), crashingPart+":") {
			return true
		}
		c.run(rank)
		return false
	})
	return c
}

// run runs a request with the part at an engine, which ends. It is back after serverRestartTime.
func (c *crashingPrompts) run(rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, time.Now())
	if c.isDown[rank] {
		return
	}
	c.isDown[rank] = true
	c.ends = append(c.ends, time.Now())
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

// sendCrashingDrafts sends requests with the part to all gateways in turn.
func (s *siteSoak) sendCrashingDrafts() {
	addresses := s.newAddressCache()
	client := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
	for n := 0; !isClosed(s.stop); n++ {
		path := fmt.Sprintf("c%d", n)
		address := addresses.pick()
		s.callers.Go(func() {
			readStreamOf(client, address, path, fmt.Sprintf("first:40,topic%d:100,%s:60,%s:20", n%3, crashingPart, path))
		})
		time.Sleep(crashingInterval)
	}
}

// checkCrashingPrompts checks that hardly any request with the part has run since the faults ended and five
// engines had ended under it.
func (s *siteSoak) checkCrashingPrompts(calmSince time.Time) {
	s.t.Helper()
	c := s.prompts
	c.mu.Lock()
	defer c.mu.Unlock()
	known := calmSince
	if len(c.ends) >= maxCrashes && c.ends[maxCrashes-1].After(known) {
		known = c.ends[maxCrashes-1]
	}
	later := 0
	for _, at := range c.runs {
		if at.After(known.Add(contactTime)) {
			later++
		}
	}
	s.t.Logf("seed %d: %d engines ended under a part of prompts, %d requests with it ran, %d of them when it had to be known", s.seed, len(c.ends), len(c.runs), later)
	if len(c.ends) == 0 {
		s.t.Errorf("seed %d: no engine ended under a part of prompts: the check proves nothing", s.seed)
	}
	if len(c.ends) >= maxCrashes && later > maxLaterRequests {
		s.t.Errorf("seed %d: %d requests with a part under which engines had ended reached engines later than %v after the faults", s.seed, later, contactTime)
	}
}
