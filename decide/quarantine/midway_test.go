package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// drafts returns the parts of a request with shared parts that may end a server midway, under a digest of its own.
func drafts(n int, sharedIDs ...string) []Part {
	parts := request(fmt.Sprint("digest", n), fmt.Sprint("last", n), sharedIDs...)
	for _, id := range sharedIDs {
		parts = append(parts, Part{ID: MidwayID(id), Scope: Midway})
	}
	return parts
}

// Guards against servers that end in the middle of all answers with one part in their prompts.
func TestAPartThatEndsServersMidwayIsQuarantined(t *testing.T) {
	w := newWorld(t, 3)
	w.entries[0].RecordSound(service, drafts(0, "first"), true, w.now)
	for n := 1; n <= 2; n++ {
		e, parts := w.entries[n], drafts(n, "first", bad)
		e.RecordSound(service, parts, false, w.now)
		w.pass(50 * msec)
		e.RecordEnd(w.server(), service, parts, true, w.now)
		w.pass(600 * msec)
		w.entries[0].RecordSound(service, drafts(10+n, "first"), true, w.now)
		w.pass(100 * msec)
	}
	w.checkQuarantined(MidwayID(bad))
	if w.maySend(0, drafts(20, "first", bad)) || !w.maySend(0, drafts(21, "first")) {
		t.Error("a request with the part is sent, or one without it is not")
	}
}

// Guards against a service standing still after an outage, in which many answers were under way, until the first
// answer is whole.
func TestPartsThatAllShareAreNotHeldBackAfterAnOutage(t *testing.T) {
	for _, isKnown := range []bool{true, false} {
		w := newWorld(t, 3)
		if isKnown {
			w.entries[0].RecordSound(service, drafts(0, "first"), true, w.now)
			// Another entry knows the topics.
			w.entries[1].RecordSound(service, drafts(0, "first", "topic0", "topic1"), true, w.now)
			w.pass(200 * msec)
		}
		for n := range 6 {
			w.entries[n%3].RecordEnd(w.server(), service, drafts(n, "first", fmt.Sprint("topic", n%2)), true, w.now)
		}
		w.pass(100 * msec)
		for range 100 {
			w.pass(50 * msec)
			w.checkQuarantined()
			for i := range w.entries {
				if parts := drafts(50, "first", "topic0"); !w.maySend(i, parts) {
					t.Fatalf("parts known as sound: %v: entry %d holds back what all requests share", isKnown, i)
				}
			}
			w.entries[1].RecordSound(service, drafts(60, "first"), false, w.now)
		}
	}
}

// Guards against a part that few requests have being refused since its answers were under way at two outages.
func TestARarePartIsNotBlamedForOutagesMidway(t *testing.T) {
	w := newWorld(t, 3)
	w.entries[0].RecordSound(service, drafts(0, "first"), true, w.now)
	for n := 1; n <= 3; n++ {
		w.pass(3 * time.Second)
		for i := range 3 {
			parts := drafts(10*n+i, "first", fmt.Sprint("topic", i))
			if i == 0 {
				parts = drafts(10*n, "first", "rare")
			}
			w.entries[i].RecordEnd(w.server(), service, parts, true, w.now)
		}
		w.pass(500 * msec)
		w.entries[n%3].RecordSound(service, drafts(10*n+5, "first"), true, w.now)
		w.pass(500 * msec)
		w.checkQuarantined()
	}
}
