package entry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/ticket"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/member"
	"github.com/apricothub/apricothub/internal/result"
)

// A customer makes up versions and tickets. Nothing may be kept of them after their requests.
func TestInventedNamesAreForgotten(t *testing.T) {
	agent := newFakeAgent(t, "b1", wholeAnswer("x"))
	e, url := startEntry(t, agent)
	for i := range 20 {
		invented := ticket.Encode(&api.Ticket{AgentVm: "b1", Incarnation: "1", Seq: uint32(i), Mac: []byte("no")})
		sendRequest(t, url, completions, "Apricothub-Version", "v"+strconv.Itoa(i), "Idempotency-Key", invented)
	}
	sendRequest(t, url, completions)
	eventually(t, "nothing in flight", func() bool { return len(e.directory.dump().InFlight) == 0 })
	if len(e.sizes.averages) != 1 {
		t.Errorf("%d sizes are kept", len(e.sizes.averages))
	}
}

// An agent's process is replaced while its old link is still up, as after a pause. Reports and
// grants of the old process must not be taken for those of the new one.
func TestReportsOfAReplacedProcessAreIgnored(t *testing.T) {
	agent := newFakeAgent(t, "b1", wholeAnswer("x"))
	e, _ := startEntry(t, agent)
	current := e.node.State().Peers["b1"]
	old := &member.Peer{Hello: &api.Hello{Vm: "b1", Role: api.Role_ROLE_AGENT, Incarnation: "0"}, Session: current.Session}
	e.directory.handleMessage(old, &api.Control{Body: &api.Control_Status{Status: &api.BackendStatus{Model: "m", Limit: 99}}})
	foreign := &api.TicketBlock{AgentVm: "b2", Incarnation: "1", Count: 10, Key: []byte("k"), LifetimeMs: 1000, ExpiryMs: 1000}
	e.directory.handleMessage(current, &api.Control{Body: &api.Control_Block{Block: foreign}})
	if limit := e.directory.backends()[0].Limit; limit != 8 {
		t.Errorf("limit %d, want 8", limit)
	}
	e.directory.mu.Lock()
	defer e.directory.mu.Unlock()
	if _, ok := e.directory.ticketLifetimes["b2"]; ok {
		t.Error("an agent granted tickets of another agent")
	}
}

// Agents come and go for months. Nothing may be kept of those that are gone.
func TestGoneAgentsAreForgotten(t *testing.T) {
	agent := newFakeAgent(t, "b1", wholeAnswer("x"))
	e, url := startEntry(t, agent)
	sendRequest(t, url, "/v1/tickets")
	e.directory.setPeers(&member.State{})
	e.directory.mu.Lock()
	defer e.directory.mu.Unlock()
	if left := len(e.directory.lastReport) + len(e.directory.ticketLifetimes) + len(e.directory.blockRequestedAt) + len(e.directory.status); left != 0 {
		t.Errorf("%d map entries are left", left)
	}
}

// Somebody guesses keys. Past a limit, an address must be refused with any key, except for the
// callers behind it whose key was valid before. Other addresses must not be affected.
func TestGuessingKeysIsBounded(t *testing.T) {
	g := newGuessLimiter()
	now := time.Unix(0, 0)
	if !g.allowValidKey(now, "10.0.0.1", 7) {
		t.Fatal("a good key is refused")
	}
	allowed := 0
	for range 1000 {
		if g.allowWrongKey(now, "10.0.0.1") {
			allowed++
		}
	}
	if allowed > guessBurst {
		t.Errorf("%d wrong keys allowed", allowed)
	}
	if !g.allowValidKey(now, "10.0.0.1", 7) || g.allowValidKey(now, "10.0.0.1", 8) || !g.allowValidKey(now, "10.0.0.2", 8) {
		t.Error("a known caller or another address is refused, or an unknown caller is not")
	}
	if now = now.Add(time.Minute); !g.allowValidKey(now, "10.0.0.1", 8) {
		t.Error("an address is never accepted again")
	}
	for i := range 3 * maxTrackedCallers {
		g.allowValidKey(now, strconv.Itoa(i), 1)
	}
	if len(g.knownCallers) > maxTrackedCallers {
		t.Errorf("%d callers are tracked", len(g.knownCallers))
	}

	_, url := startEntry(t)
	limited := false
	for range 2 * guessBurst {
		r, _ := http.NewRequest(http.MethodPost, url+completions, strings.NewReader("{}"))
		r.Header.Set("Authorization", "Bearer guess")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		limited = limited || resp.StatusCode == http.StatusTooManyRequests && resp.Header.Get("Retry-After") != ""
	}
	if !limited {
		t.Error("wrong keys are not limited")
	}
}

// A caller asks a replaced entry for addresses before its first links are up, when it does not know
// other entries yet. If it named itself, it would get requests and refuse them for lack of backend
// servers, though other entries have some. The caller must be told that it is starting, and ask
// another.
func TestAddressesOfAnEntryThatStarts(t *testing.T) {
	e, _ := startEntry(t)
	s := *e.node.State()
	s.Linked, s.ServeUntil = false, clock.Now()+time.Minute
	named, err := e.listAddresses(&s)
	if result.FromError(err).Code != api.ResultCode_STARTING {
		t.Errorf("got %v, %v", named, err)
	}
}

// Callers must get the addresses of the entries that accept their requests, without those that are
// draining, marked out, not ready, suspect or isolated. That applies to the answering entry too.
func TestAddresses(t *testing.T) {
	e, url := startEntry(t)
	state := *e.node.State()
	addresses := func() string {
		resp, err := http.Get(url + "/v1/addresses")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return string(text)
	}
	if got := addresses(); !strings.Contains(got, "127.0.0.1:1") {
		t.Errorf("got %s", got)
	}
	other := newFakeAgent(t, "e2", nil)
	session, err := link.Dial(other.address, other.config, other)
	if err != nil {
		t.Fatal(err)
	}
	good := member.Peer{
		Hello: &api.Hello{Vm: "e2", Role: api.Role_ROLE_ENTRY, PublicAddress: "e2", FailureDomain: "a"}, Session: session, Ready: true,
	}
	draining, starting, agent := good, good, good
	draining.Draining = true
	starting.Ready = false
	agent.Hello = &api.Hello{Role: api.Role_ROLE_AGENT, PublicAddress: "e2"}
	for name, c := range map[string]struct {
		peer     member.Peer
		isolated bool
		out      bool
		want     string
	}{
		"good": {good, false, false, "e1 e2"}, "draining": {draining, false, false, "e1"}, "not ready": {starting, false, false, "e1"},
		"an agent": {agent, false, false, "e1"}, "this one isolated": {good, true, false, "e2"}, "this one out": {good, false, true, "e2"},
		"none": {draining, true, false, ""}, "none in service": {draining, false, true, "e1"},
	} {
		s := state
		s.Linked, s.OutOfService, s.Peers = true, c.out, map[string]*member.Peer{"e2": &c.peer}
		s.ServeUntil = clock.Now() + time.Minute
		if c.isolated {
			s.ServeUntil = 0
		}
		var got []string
		named, _ := e.listAddresses(&s)
		for _, a := range named.Addresses {
			got = append(got, strings.Replace(a.Address, "127.0.0.1:1", "e1", 1))
		}
		if strings.Join(got, " ") != c.want {
			t.Errorf("%s: %v, want %s", name, got, c.want)
		}
	}
	session.Close(io.EOF)
	eventually(t, "a suspect link", session.Suspect)
	state.Peers = map[string]*member.Peer{"e2": &good}
	if got, _ := e.listAddresses(&state); len(got.Addresses) != 1 {
		t.Errorf("a suspect entry is listed: %v", got)
	}
}
