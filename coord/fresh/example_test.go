package fresh_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/fresh"
)

// The log goes out. While a majority of the entries is heard and none of them has applied more, no
// change can have been accepted, and the process serves. When it is cut off from them as well, it
// cannot know, and refuses new work.
func Example() {
	const limit = 2 * time.Second
	tracker := fresh.New("entry-1", limit)
	tracker.SetMembers([]string{"entry-1", "entry-2", "entry-3"})
	tracker.SetEntries([]string{"entry-1", "entry-2", "entry-3"})
	tracker.SetApplied(7)
	tracker.ConfirmTail(1 * time.Second)
	fmt.Println(tracker.State(2 * time.Second))

	for at := 2 * time.Second; at <= 8*time.Second; at += time.Second {
		tracker.HandleKnowledge("entry-2", at, &api.Knowledge{Applied: 7, EvidenceAgeMs: at.Milliseconds() - 1000, Ready: true}, 7)
	}
	fmt.Println(tracker.State(8 * time.Second))
	fmt.Println(tracker.State(20 * time.Second))
	// Output:
	// fresh
	// outage
	// isolated
}

// An entry hears only one of six other entries. That one has heard enough members of three failure
// domains, or received counts of them, that hold no more. Five of seven are a majority and the
// additional one that counts of others need.
func ExampleTracker_HandleCounts() {
	tracker := fresh.New("entry-1", 2*time.Second)
	domains := map[string]string{
		"entry-1": "a", "entry-2": "a", "entry-3": "a", "entry-4": "b", "entry-5": "b", "entry-6": "c", "entry-7": "c",
	}
	tracker.SetEntries(slices.Collect(maps.Keys(domains)))
	tracker.SetDomains(domains)
	tracker.SetApplied(7)
	tracker.ConfirmTail(0)
	fmt.Println(tracker.State(8 * time.Second))
	tracker.HandleCounts("entry-2", 8*time.Second, &api.Counts{Applied: 7, Domains: []*api.DomainCount{
		{Domain: "a", Entries: 2, EntriesAgeMs: 200, Members: 2, MembersAgeMs: 200},
		{Domain: "b", Entries: 2, EntriesAgeMs: 900, Members: 2, MembersAgeMs: 900},
		{Domain: "c", Entries: 1, EntriesAgeMs: 400, Members: 1, MembersAgeMs: 400},
	}}, 7)
	fmt.Println(tracker.State(8*time.Second), "until", tracker.ServesUntil(8*time.Second))
	// Output:
	// isolated
	// outage until 9.1s
}
