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

// A caller sends a push with its own key, of which an earlier copy may have run through another
// entry. A refusal before the key is resolved must not say "not run" unless the caller states that
// this is its first try: the caller would take a new key and push twice.
func TestRefusalsOfOwnKeysAreTrue(t *testing.T) {
	_, url := startEntry(t, serviceAgent(t, "b1", wholeAnswer("x")))
	for name, c := range map[string]struct {
		path, key, header, value string
		ran, ranFirstTry         string
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
		if got := sendRequest(t, url, c.path, headers...); got.status == 200 || got.ran != c.ran {
			t.Errorf("%s: %+v", name, got)
		}
		if got := sendRequest(t, url, c.path, append(headers, headerFirstTry, "yes")...); got.status == 200 || got.ran != c.ranFirstTry {
			t.Errorf("%s, first try: %+v", name, got)
		}
	}
}

// holdKeys makes the entry hold n bindings of a customer that were made a minute ago.
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

// A team's program makes a new key for each try until its bindings fill the space. Another team
// sends its first push in an hour with its own key, which must not be refused because of the first
// team. The first team must be refused at once by its own quota, until its oldest bindings are
// released.
func TestALoudCustomersKeysLeaveRoom(t *testing.T) {
	e, url := startEntry(t, serviceAgent(t, "b1", wholeAnswer("x")))
	push := func() reply {
		return sendRequest(t, url, "/services/s/push", "Idempotency-Key", "new", headerFirstTry, "yes", "Apricothub-Deadline-Ms", "300")
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
	// Bindings are kept for 20 minutes, and these are a minute old.
	if wait := got.retryAfterMs / 1000; wait < 18*60 || wait > 21*60 {
		t.Errorf("retry after %d s, want about 19 minutes", wait)
	}
	state := e.keys.dump()
	if c := state.Customers[1]; c.Customer != "c" || c.Held != keybind.MaxHeldBindings/2+1 || c.Own != keybind.MaxHeldBindings/2 || state.Lent <= state.Lendable {
		t.Errorf("the dump shows %+v", state)
	}
	// Nobody else binds a key, and the bindings are at the end of their retention. This entry must
	// release them with a record of its own instead of waiting for the next record of a caller.
	e.keys.mu.Lock()
	defer e.keys.mu.Unlock()
	e.keys.ages = keybind.NewAgeTracker(e.keys.retention)
	e.keys.ages.Observe(clock.Now()-e.keys.retention, 1)
	if !e.keys.keepaliveDue() {
		t.Error("no keepalive record is due although bindings can be released")
	}
}
