package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

func withPrompt(prompt string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Prompt-Prefix", prompt) }
}

// putQuarantine stores a quarantine that began two hours ago and ends in left.
func putQuarantine(t *testing.T, store *fakeplatform.Store, part string, left time.Duration) {
	t.Helper()
	value, err := proto.Marshal(&api.StoredQuarantine{
		BegunAtUnixMs: time.Now().Add(-2 * time.Hour).UnixMilli(), UntilUnixMs: time.Now().Add(left).UnixMilli(), Strikes: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	store.Put(topicQuarantines, part, string(value))
}

// All entries have restarted and forgotten a part that ends servers: requests with it must be refused at
// once, with the time for which that lasts, and sound ones be served.
func TestARestartedEntryReadsStoredQuarantines(t *testing.T) {
	const left = 40 * time.Second
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), fakeplatform.CallerKey)
	server := store.Serve(t, "i-1", fakeplatform.Echo)
	putQuarantine(t, store, "bad", left)
	putQuarantine(t, store, "old", -storedFor-time.Second)
	e := start(t, settingsFor(store))
	e.until("the quarantine is in force", func() bool {
		return e.ask(http.MethodPost, "/look/1", "a", withPrompt("first:1,bad:2,own:3")).status == http.StatusServiceUnavailable
	})
	sent := len(server.Requests())
	began := time.Now()
	got := e.ask(http.MethodPost, "/look/1", "b", withPrompt("first:1,bad:2,own:3"))
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.header.Get(result.Header) != "215 PROMPT_QUARANTINED" || err != nil || seconds < 30 || seconds > (left+maxRetryAfter).Seconds() {
		t.Errorf("a request with the part got %v", got)
	}
	if took := time.Since(began); took > time.Second || len(server.Requests()) != sent {
		t.Errorf("it was refused after %v, and the server has %d requests, %d before", took, len(server.Requests()), sent)
	}
	if got := e.ask(http.MethodPost, "/look/1", "c", withPrompt("first:1,own:3")); got.status != http.StatusOK {
		t.Errorf("a request without the part got %v", got)
	}
	if quarantined, _ := e.prompts.dump(clock.Now()); len(quarantined) != 1 || quarantined[0].Part != "bad" || quarantined[0].Times != 1 {
		t.Errorf("the state for operators holds %+v", quarantined)
	}
	e.until("a quarantine that is long over leaves the store", func() bool {
		listing, err := e.store.ListNewest(t.Context(), topicQuarantines)
		return err == nil && len(listing.Records) == 1
	})
}
