package test

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

const (
	// maxRequestCrashes is the number of servers that may end under one request before entries must know it.
	maxRequestCrashes = 3
	// newsTime is the time in which entries must have heard of an end.
	newsTime = 500 * time.Millisecond
	// soundInterval is the time between two sound requests.
	soundInterval = 15 * time.Millisecond
	// deadly names what ends the servers in the tests of this file.
	deadly = "deadly"
)

// repeatedRequest is a request that callers repeat under new IDs, and the sound ones beside it.
type repeatedRequest struct {
	name string
	// interval is the time between two repeats, soundInterval that between two sound requests; zero stands for
	// soundInterval, the constant.
	interval, soundInterval time.Duration
	// bad and sound return the path and the prompt of request n.
	bad, sound func(n int) (path, prompt string)
	// gateways is the number of entries.
	gateways int
	lockStep bool
	// eventsBefore is the number of events that the answer brings before its server ends.
	eventsBefore int
	inShort      bool
}

// repeatedRequests are the requests of TestARequestThatCrashesServersIsKeptFromThem. What is bad has the word
// deadly in its path or its prompt.
func repeatedRequests() []repeatedRequest {
	const often, rarely = 60 * time.Millisecond, 500 * time.Millisecond
	own := func(route string) func(int) (string, string) {
		return func(n int) (string, string) { return fmt.Sprintf("/%s/sound-%d", route, n), "" }
	}
	same := func(route string) func(int) (string, string) {
		return func(int) (string, string) { return "/" + route + "/" + deadly, "" }
	}
	soundPrompt := func(n int) (string, string) {
		return fmt.Sprintf("/draft/sound-%d", n), fmt.Sprintf("first:40,topic%d:100,sound-%d:20", n%3, n)
	}
	return []repeatedRequest{
		{name: "a stream without parts", bad: same("draft"), sound: own("draft"), interval: often, gateways: 4},
		{name: "a stream without parts, all answers break off", bad: same("draft"), sound: own("draft"), interval: often, gateways: 4, lockStep: true},
		{name: "a stream without parts, rarely", bad: same("draft"), sound: own("draft"), interval: rarely, gateways: 4},
		{name: "a stream that ends servers midway", bad: same("chat"), sound: own("draft"), interval: often, gateways: 4, eventsBefore: 3},
		{name: "a stream that ends servers midway and is resumed", bad: same("draft"), sound: own("draft"), interval: often, gateways: 4, eventsBefore: 2},
		{
			name: "a stream that ends servers midway while hardly anything else runs", bad: same("chat"), sound: own("draft"), interval: often,
			soundInterval: 250 * time.Millisecond, gateways: 4, eventsBefore: 3, inShort: true,
		},
		{name: "a plain request", bad: same("look"), sound: own("look"), interval: often, gateways: 4, inShort: true},
		{name: "a plain request that may run once", bad: same("push"), sound: own("look"), interval: often, gateways: 4},
		{name: "a plain request at many entries", bad: same("look"), sound: own("look"), interval: 20 * time.Millisecond, gateways: 12},
		{name: "a stream with parts of others", sound: soundPrompt, interval: often, gateways: 4, inShort: true, bad: func(int) (string, string) {
			return "/draft/" + deadly, "first:40,topic1:100," + deadly + ":20"
		}},
		{name: "a last part", sound: soundPrompt, interval: often, gateways: 4, bad: func(n int) (string, string) {
			return fmt.Sprintf("/draft/other-%d", n), "first:40,topic1:100," + deadly + ":20"
		}},
		{name: "a last part behind a rare one", sound: soundPrompt, interval: rarely, gateways: 4, bad: func(n int) (string, string) {
			return fmt.Sprintf("/draft/other-%d", n), "first:40,rare:100," + deadly + ":20"
		}},
	}
}

// Guards against one request that callers repeat under new IDs ending one server after the other, and against
// sound requests being refused for what they share with it.
func TestARequestThatCrashesServersIsKeptFromThem(t *testing.T) {
	t.Parallel()
	const duration = 12 * time.Second
	for _, test := range repeatedRequests() {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if !test.inShort {
				skipIfShort(t)
			}
			c := &crashingSite{lockStep: test.lockStep, eventsBefore: test.eventsBefore, causes: []string{deadly}, cause: func(seen fakeplatform.ReceivedRequest) string {
				if strings.Contains(seen.Request.URL.Path+seen.Request.Header.Get("Prompt-Prefix"), deadly) {
					return deadly
				}
				return ""
			}}
			c.start(t, test.gateways)
			sound, stopSound := c.startCaller("sound", cmp.Or(test.soundInterval, soundInterval), test.sound)
			time.Sleep(2 * time.Second)
			began := time.Now()
			_, stopBad := c.startCaller("bad", test.interval, test.bad)
			time.Sleep(time.Until(began.Add(duration)))
			end := time.Now()
			stopBad()
			stopSound()
			c.checkRepeated(t, sound, began, end)
		})
	}
}

// checkRepeated checks what reached the servers after the third crash, and that all sound requests were served
// from contactTime after it.
func (c *crashingSite) checkRepeated(t *testing.T, sound *crashCaller, began, end time.Time) {
	t.Helper()
	known := c.checkKnown(t, maxRequestCrashes, newsTime, began)
	before, _ := sound.share(began.Add(-time.Second), began)
	after, sent := sound.share(known.Add(contactTime), end.Add(-time.Second))
	t.Logf("%.2f of the sound requests were served before and %.2f of %d after the first crashes; answers by status: %v", before, after, sent, sound.statuses)
	if after < 0.99*before || sent == 0 {
		t.Errorf("%.2f of %d sound requests were served, %.2f before", after, sent, before)
	}
}
