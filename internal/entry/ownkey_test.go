package entry

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/keybind"
	"github.com/apricothub/apricothub/coord/ticket"
	"github.com/apricothub/apricothub/internal/clock"
)

// A caller sends a push with a key of its own; an earlier copy may have run through
// another entry. What this entry refuses before it knows what the key is bound to, it
// must not call "not run", unless the caller vouches for the first try: the caller would
// take a new key and push twice.
func TestRefusalsOfOwnKeysAreTrue(t *testing.T) {
	_, url := startEntry(t, serviceAgent(t, "b1", whole("x")))
	for name, c := range map[string]struct {
		path, key, header, value string
		again, first             string
	}{
		"unknown service": {"/services/none/push", "k", "", "", "unknown", "no"},
		"unknown key":     {"/services/s/push", "k", "Authorization", "Bearer none", "unknown", "no"},
		"deadline past":   {"/services/s/push", "k", "Apricothub-Deadline-Ms", "0", "unknown", "no"},
		"bound too late":  {"/services/s/push", "k", "Apricothub-Deadline-Ms", "50", "unknown", "unknown"},
		"too long a key":  {"/services/s/push", strings.Repeat("k", 256), "", "", "no", "no"},
		"spoilt ticket":   {"/services/s/push", "t1.x", "", "", "no", "no"},
		"a completion":    {completions, "k", "Apricothub-Version", "9", "no", "no"},
	} {
		headers := []string{"Idempotency-Key", c.key}
		if c.header != "" {
			headers = append(headers, c.header, c.value)
		}
		if got := ask(t, url, c.path, headers...); got.status == 200 || got.ran != c.again {
			t.Errorf("%s: %+v", name, got)
		}
		if got := ask(t, url, c.path, append(headers, headerFirst, "yes")...); got.status == 200 || got.ran != c.first {
			t.Errorf("%s, first try: %+v", name, got)
		}
	}
}

// holdKeys makes the entry hold so many bindings of a customer, bound a minute ago.
func holdKeys(t *testing.T, e *entry, customer string, n int) {
	t.Helper()
	e.keys.mu.Lock()
	defer e.keys.mu.Unlock()
	named := &api.Ticket{AgentVm: "b1", Customer: ticket.CustomerDigest(customer)}
	var all []*api.KeyBinding
	for i := range n {
		key := keybind.KeyOf(customer, strconv.Itoa(i))
		all = append(all, &api.KeyBinding{Key: key[:], Request: key[:], Ticket: named})
	}
	record, _ := keybind.EncodeRecord(all, e.keys.fold.Next(), -1, time.Now().Add(-time.Minute).UnixMilli())
	if _, err := e.keys.fold.Apply(e.keys.fold.Next(), record); err != nil {
		t.Fatal(err)
	}
}

// A team's program makes a new key in each try, as fast as it may, until its bindings
// fill the room. Another team's deposit, the first in the hour, comes with its own key.
// It must not be refused for the loud team's sake. The loud team is refused at once, by
// its own limit, until its oldest bindings run out.
func TestALoudCustomersKeysLeaveRoom(t *testing.T) {
	e, url := startEntry(t, serviceAgent(t, "b1", whole("x")))
	push := func() reply {
		return ask(t, url, "/services/s/push", "Idempotency-Key", "new", headerFirst, "yes", "Apricothub-Deadline-Ms", "300")
	}
	holdKeys(t, e, "loud", keybind.MaxHeldBindings)
	if got := push(); strings.Contains(got.result, "KEYS_FULL") || strings.Contains(got.result, "OVER_SHARE") {
		t.Errorf("a customer without any key is refused: %+v", got)
	}
	holdKeys(t, e, "c", keybind.MaxHeldBindings/2+1)
	got := push()
	if !strings.Contains(got.result, "OVER_SHARE") || got.ran != "no" {
		t.Errorf("the loud customer: %+v", got)
	}
	// Bindings are held for 20 minutes, and these are a minute old.
	if wait := got.retryMs / 1000; wait < 18*60 || wait > 21*60 {
		t.Errorf("told to come back after %d s", wait)
	}
	state := e.keys.dump()
	if c := state.Customers[1]; c.Customer != "c" || c.Held != keybind.MaxHeldBindings/2+1 || c.Own != keybind.MaxHeldBindings/2 || state.Lent <= state.Lendable {
		t.Errorf("the dump tells of %+v", state)
	}
	// Nobody else binds a key, and the bindings are as old as they are held: this entry
	// lets go of them by itself, and does not wait for the next record that somebody needs.
	e.keys.mu.Lock()
	defer e.keys.mu.Unlock()
	e.keys.ages = keybind.NewAgeTracker(e.keys.hold)
	e.keys.ages.Observe(clock.Now()-e.keys.hold, 1)
	if !e.keys.beatDue() {
		t.Error("callers who were told to come back are refused for want of a record")
	}
}
