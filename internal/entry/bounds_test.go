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

// A customer invents versions and tickets. Nothing may be kept of them when their
// requests are over.
func TestInventedNamesAreForgotten(t *testing.T) {
	agent := newFakeAgent(t, "b1", whole("x"))
	e, url := startEntry(t, agent)
	for i := range 20 {
		invented := ticket.Encode(&api.Ticket{AgentVm: "b1", Incarnation: "1", Seq: uint32(i), Mac: []byte("no")})
		ask(t, url, completions, "Apricothub-Version", "v"+strconv.Itoa(i), "Idempotency-Key", invented)
	}
	ask(t, url, completions)
	eventually(t, "nothing in flight", func() bool { return len(e.directory.dump().InFlight) == 0 })
	if len(e.sizes.usual) != 1 {
		t.Errorf("%d sizes are kept", len(e.sizes.usual))
	}
}

// An agent's process is replaced while its old link still stands, as after a pause. What
// the old one reports and grants must not pass for the new one's.
func TestAnOldIncarnationIsNotHeard(t *testing.T) {
	agent := newFakeAgent(t, "b1", whole("x"))
	e, _ := startEntry(t, agent)
	now := e.node.State().Peers["b1"]
	old := &member.Peer{Hello: &api.Hello{Vm: "b1", Role: api.Role_ROLE_AGENT, Incarnation: "0"}, Session: now.Session}
	e.directory.message(old, &api.Control{Body: &api.Control_Status{Status: &api.BackendStatus{Model: "m", Limit: 99}}})
	foreign := &api.TicketBlock{AgentVm: "b2", Incarnation: "1", Count: 10, Key: []byte("k"), LifetimeMs: 1000, ExpiryMs: 1000}
	e.directory.message(now, &api.Control{Body: &api.Control_Block{Block: foreign}})
	if limit := e.directory.backends()[0].Limit; limit != 8 {
		t.Errorf("limit %d", limit)
	}
	e.directory.mu.Lock()
	defer e.directory.mu.Unlock()
	if _, ok := e.directory.lifetimes["b2"]; ok {
		t.Error("an agent granted tickets of another")
	}
}

// Agents come and go for months; nothing of those that are gone may stay.
func TestGoneAgentsAreForgotten(t *testing.T) {
	agent := newFakeAgent(t, "b1", whole("x"))
	e, url := startEntry(t, agent)
	ask(t, url, "/v1/tickets")
	e.directory.setPeers(&member.State{})
	e.directory.mu.Lock()
	defer e.directory.mu.Unlock()
	if left := len(e.directory.heard) + len(e.directory.lifetimes) + len(e.directory.asked) + len(e.directory.status); left != 0 {
		t.Errorf("%d entries stay", left)
	}
}

// Somebody guesses keys. Past a bound an address gets no more tries, whatever key comes,
// but those callers behind it whose key was good before go on; other addresses too.
func TestGuessingKeysIsBounded(t *testing.T) {
	g := newGuesses()
	now := time.Unix(0, 0)
	if !g.good(now, "10.0.0.1", 7) {
		t.Fatal("a good key is refused")
	}
	allowed := 0
	for range 1000 {
		if g.wrong(now, "10.0.0.1") {
			allowed++
		}
	}
	if allowed > guessBurst {
		t.Errorf("%d guesses", allowed)
	}
	if !g.good(now, "10.0.0.1", 7) || g.good(now, "10.0.0.1", 8) || !g.good(now, "10.0.0.2", 8) {
		t.Error("the wrong callers are refused")
	}
	if now = now.Add(time.Minute); !g.good(now, "10.0.0.1", 8) {
		t.Error("an address is refused for ever")
	}
	for i := range 3 * maxGuessers {
		g.good(now, strconv.Itoa(i), 1)
	}
	if len(g.known) > maxGuessers {
		t.Errorf("%d callers are remembered", len(g.known))
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
		t.Error("a guesser is not limited")
	}
}

// An entry is replaced, and a caller asks it for addresses before its first links stand.
// Nobody else has told it of other entries yet. Named itself, it would get requests and
// refuse them for lack of backend servers, though other entries have some: the caller must
// be told that this one is starting, and ask another.
func TestAddressesOfAnEntryThatStarts(t *testing.T) {
	e, _ := startEntry(t)
	s := *e.node.State()
	s.Linked, s.ServeUntil = false, clock.Now()+time.Minute
	named, err := e.addresses(&s)
	if result.FromError(err).Code != api.ResultCode_STARTING {
		t.Errorf("got %v, %v", named, err)
	}
}

// Callers are told the entries that may take their requests: not one that is draining,
// out, not ready, suspect or isolated, be it this one.
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
		s.Linked, s.Out, s.Peers = true, c.out, map[string]*member.Peer{"e2": &c.peer}
		s.ServeUntil = clock.Now() + time.Minute
		if c.isolated {
			s.ServeUntil = 0
		}
		var got []string
		named, _ := e.addresses(&s)
		for _, a := range named.Addresses {
			got = append(got, strings.Replace(a.Address, "127.0.0.1:1", "e1", 1))
		}
		if strings.Join(got, " ") != c.want {
			t.Errorf("%s: %v, want %s", name, got, c.want)
		}
	}
	session.Close(io.EOF)
	eventually(t, "suspect", session.Suspect)
	state.Peers = map[string]*member.Peer{"e2": &good}
	if got, _ := e.addresses(&state); len(got.Addresses) != 1 {
		t.Errorf("a suspect entry is named: %v", got)
	}
}
