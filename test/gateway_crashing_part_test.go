package test

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apricothub/apricothub/platform"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

const (
	// contactTime is the time after which an entry that is undisturbed must act on what others know.
	contactTime = 3 * time.Second
	// maxCrashes is the number of servers that may end before entries must know the part, and
	// maxLaterRequests that of requests with it that may reach servers afterwards.
	maxCrashes, maxLaterRequests = 5, 3
	// serverRestartTime is the time until a server that has ended is back under another ID.
	serverRestartTime = 1200 * time.Millisecond
	// promptTime is the time that a server takes to read a prompt.
	promptTime = 30 * time.Millisecond
	// crashEvents is the number of events of a whole stream.
	crashEvents = 5
)

// crashingSite is a site whose servers end as they begin to answer some requests, or when the test says so.
type crashingSite struct {
	*site
	// cause returns what about a request ends the servers, one of causes; empty for a sound request.
	cause  func(fakeplatform.ReceivedRequest) string
	causes []string
	// lockStep means that the answers of all servers break off when one of them ends, unframed that answers
	// have neither a length nor chunks, and that those to bad requests end with their connection alone.
	lockStep, unframed bool
	// eventsBefore is the number of whole events that a bad stream brings before its server ends.
	eventsBefore int

	mu      sync.Mutex
	running map[string]*fakeplatform.Server
	started int
	// crashes and arrivals are the times at which servers ended by each cause, and at which requests
	// with it reached servers.
	crashes, arrivals map[string][]time.Time
}

// startCrashingSite starts a site whose servers end under some parts of prompts.
func startCrashingSite(t *testing.T, gateways int, lockStep, unframed bool, badParts ...string) *crashingSite {
	t.Helper()
	c := &crashingSite{lockStep: lockStep, unframed: unframed, causes: badParts, cause: func(seen fakeplatform.ReceivedRequest) string {
		prompt := seen.Request.Header.Get("Prompt-Prefix")
		if i := slices.IndexFunc(badParts, func(part string) bool { return strings.Contains(prompt, part+":") }); i >= 0 {
			return badParts[i]
		}
		return ""
	}}
	c.start(t, gateways)
	return c
}

func (c *crashingSite) start(t *testing.T, gateways int) {
	t.Helper()
	c.running = make(map[string]*fakeplatform.Server)
	c.crashes, c.arrivals = make(map[string][]time.Time), make(map[string][]time.Time)
	c.site = startSite(t, gateways, c.answer)
	c.mu.Lock()
	for _, s := range c.servers {
		c.running[s.ID()] = s
	}
	c.mu.Unlock()
	for i := range 5 {
		c.startServer(domains[i%len(domains)])
	}
	time.Sleep(time.Second)
}

// startServer starts a server under a new ID.
func (c *crashingSite) startServer(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	id := fmt.Sprintf("n-%d", c.started)
	c.running[id] = c.store.ServeAt(c.t, fakeplatform.Registration{ID: id, FailureDomain: domain, Concurrency: 8, DiscardRequests: true}, c.answer)
}

// end ends a server, and starts another one in its place after serverRestartTime. It returns false if the
// server has ended already.
func (c *crashingSite) end(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.running[id]
	if s == nil {
		return false
	}
	delete(c.running, id)
	s.Kill()
	if c.lockStep {
		for _, other := range c.running {
			other.BreakConnections()
		}
	}
	time.AfterFunc(serverRestartTime, func() {
		c.store.Put(platform.TopicServers, id, "")
		c.startServer(domains[0])
	})
	return true
}

// answer is the handler of the servers.
func (c *crashingSite) answer(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
	cause := c.cause(seen)
	if cause != "" {
		c.mu.Lock()
		c.arrivals[cause] = append(c.arrivals[cause], time.Now())
		c.mu.Unlock()
	}
	time.Sleep(promptTime)
	isStream := strings.HasPrefix(seen.Request.URL.Path, "/draft/") || strings.HasPrefix(seen.Request.URL.Path, "/chat/")
	if cause != "" {
		if isStream && !c.unframed {
			c.beginStream(seen, conn)
		} else if isStream {
			_, _ = io.WriteString(conn, c.unframedHead(seen))
		}
		c.crash(seen.Request.Header.Get("Target-Instance"), cause)
		return false
	}
	if !isStream {
		return fakeplatform.Echo(seen, conn)
	}
	return c.stream(seen, conn)
}

// beginStream sends the events of a bad stream that come before its server ends, and a part of the next one.
func (c *crashingSite) beginStream(seen fakeplatform.ReceivedRequest, conn net.Conn) {
	_, _ = io.WriteString(conn, fakeplatform.StreamHead(seen))
	resumeAfter, _ := strconv.Atoi(seen.ResumeAfter())
	for n := range c.eventsBefore {
		_, _ = io.WriteString(conn, fakeplatform.Chunk(fakeplatform.Event(resumeAfter+n+1)))
		time.Sleep(promptTime / 3)
	}
	_, _ = io.WriteString(conn, fakeplatform.Chunk(fmt.Sprintf("id: %d\nda", resumeAfter+c.eventsBefore+1)))
}

// crash ends a server by a cause.
func (c *crashingSite) crash(id, cause string) {
	if c.end(id) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.crashes[cause] = append(c.crashes[cause], time.Now())
	}
}

// unframedHead returns the head of a stream without chunks.
func (c *crashingSite) unframedHead(seen fakeplatform.ReceivedRequest) string {
	return strings.Replace(fakeplatform.StreamHead(seen), "Transfer-Encoding: chunked\r\n", "", 1)
}

// stream sends a whole stream, from the event on that the caller lacks.
func (c *crashingSite) stream(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
	head, piece, tail := fakeplatform.StreamHead(seen), fakeplatform.Chunk, "0\r\n\r\n"
	if c.unframed {
		head = c.unframedHead(seen)
		piece, tail = func(text string) string { return text }, ""
	}
	_, _ = io.WriteString(conn, head)
	resumeAfter, _ := strconv.Atoi(seen.ResumeAfter())
	for n := resumeAfter + 1; n <= crashEvents; n++ {
		if _, err := io.WriteString(conn, piece(fakeplatform.Event(n))); err != nil {
			return false
		}
		time.Sleep(promptTime / 3)
	}
	_, err := io.WriteString(conn, tail)
	return err == nil && !c.unframed
}

// Requests with one part in their prompts end the servers that begin to answer them, one after the other,
// while sound requests have the caller and the other parts of the prompt in common with them.
func TestRequestsWithAPartThatCrashesServersAreKeptFromThem(t *testing.T) {
	t.Parallel()
	const duration = 12 * time.Second
	for _, test := range []struct {
		name               string
		lockStep, unframed bool
		badParts           []string
		// interval is the time between two requests with a bad part.
		interval time.Duration
		// disturb injects faults meanwhile.
		disturb func(c *crashingSite)
		// eventsBefore is the number of events that an answer brings before its server ends.
		eventsBefore int
		inShort      bool
	}{
		{name: "one part", badParts: []string{"bad"}, interval: 60 * time.Millisecond},
		{name: "each entry sees it now and then", badParts: []string{"bad"}, interval: 500 * time.Millisecond},
		{name: "all answers break off", lockStep: true, badParts: []string{"bad"}, interval: 60 * time.Millisecond, inShort: true},
		{name: "answers without a length", unframed: true, badParts: []string{"bad"}, interval: 60 * time.Millisecond, inShort: true},
		{name: "one part midway", badParts: []string{"bad"}, interval: 60 * time.Millisecond, eventsBefore: 3},
		{name: "two parts", badParts: []string{"bad", "evil"}, interval: 60 * time.Millisecond},
		{name: "entries restart in turn", badParts: []string{"bad"}, interval: 60 * time.Millisecond, disturb: func(c *crashingSite) {
			for _, g := range c.gateways {
				time.Sleep(1500 * time.Millisecond)
				g.restart()
			}
		}},
		{name: "all entries restart at once", badParts: []string{"bad"}, interval: 60 * time.Millisecond, disturb: func(c *crashingSite) {
			time.Sleep(5 * time.Second)
			for _, g := range c.gateways {
				g.Signal(syscall.SIGKILL)
			}
			for _, g := range c.gateways {
				g.restart()
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if !test.inShort {
				skipIfShort(t)
			}
			c := startCrashingSite(t, 4, test.lockStep, test.unframed, test.badParts...)
			c.eventsBefore = test.eventsBefore
			sound, stopSound := c.startCrashCaller("sound", 15*time.Millisecond, func(n int) string {
				return fmt.Sprintf("first:40,topic%d:100", n%3)
			})
			time.Sleep(2 * time.Second)
			began := time.Now()
			_, stopBad := c.startCrashCaller("bad", test.interval, func(n int) string {
				return fmt.Sprintf("first:40,topic%d:100,%s:60", n%3, test.badParts[n/len(c.gateways)%len(test.badParts)])
			})
			if test.disturb != nil {
				go test.disturb(c)
			}
			time.Sleep(time.Until(began.Add(duration)))
			end := time.Now()
			stopBad()
			stopSound()
			c.check(t, sound, began, end)
		})
	}
}

// restart kills a gateway and starts it again.
func (g *gatewayProcess) restart() {
	g.Signal(syscall.SIGKILL)
	g.Kill()
	g.Restart()
}

// check checks what reached the servers after the fifth crash by each cause, and how sound requests fared
// from 2 x contactTime after it.
func (c *crashingSite) check(t *testing.T, sound *crashCaller, began, end time.Time) {
	t.Helper()
	known := c.checkKnown(t, maxCrashes, contactTime, began)
	before, _ := sound.share(began.Add(-time.Second), began)
	after, sent := sound.share(known.Add(2*contactTime), end.Add(-time.Second))
	t.Logf("%.2f of the sound requests were served before and %.2f of %d after the first crashes; answers by status: %v", before, after, sent, sound.statuses)
	if after < before/2 {
		t.Errorf("%.2f of the sound requests were served, want half of %.2f", after, before)
	}
}

// checkKnown checks that hardly any request reached a server later than within after the given number of
// servers had ended by its cause. It returns when that many had ended by each cause.
func (c *crashingSite) checkKnown(t *testing.T, ends int, within time.Duration, began time.Time) time.Time {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := began
	for _, cause := range c.causes {
		crashes := c.crashes[cause]
		t.Logf("%d servers ended under %s, %d requests with it reached servers", len(crashes), cause, len(c.arrivals[cause]))
		if len(crashes) == 0 {
			t.Errorf("no server ended under %s: the test proves nothing", cause)
			continue
		}
		last := crashes[min(len(crashes), ends)-1]
		if last.After(known) {
			known = last
		}
		later := 0
		for _, at := range c.arrivals[cause] {
			if at.After(last.Add(within)) {
				later++
			}
		}
		if len(crashes) >= ends && later > maxLaterRequests {
			t.Errorf("%d requests with %s reached servers later than %v after %d had ended", later, cause, within, ends)
		}
	}
	return known
}

// Servers end for other reasons, some at once and with requests that they have not begun to answer, while
// all requests share parts of their prompts and entries that restart do not know these as sound: no part
// may be blamed.
func TestPartsThatAllRequestsShareAreNotBlamedForOutages(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCrashingSite(t, 4, false, false)
	sound, stop := c.startCrashCaller("sound", 10*time.Millisecond, func(n int) string {
		return fmt.Sprintf("first:40,topic%d:100", n%3)
	})
	time.Sleep(time.Second)
	for round := range 6 {
		c.mu.Lock()
		var ids []string
		for id := range c.running {
			ids = append(ids, id)
		}
		c.mu.Unlock()
		for _, id := range ids[:len(ids)/2] {
			c.end(id)
		}
		c.gateways[round%len(c.gateways)].restart()
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	calm := time.Now()
	time.Sleep(3 * time.Second)
	end := time.Now()
	stop()
	after, sent := sound.share(calm, end.Add(-time.Second))
	t.Logf("%.2f of %d requests were served after the outages; answers by status: %v", after, sent, sound.statuses)
	if sound.quarantined > 0 {
		t.Errorf("%d requests were refused because of their prompts", sound.quarantined)
	}
	if after < 0.95 || sent < 100 {
		t.Errorf("%.2f of %d requests were served after the outages", after, sent)
	}
}
