package test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/test/harness"
)

// Callers send invalid input: unknown keys, models and services, malformed or oversized bodies,
// deadlines in the past, forged tickets and tickets of other customers. Each must get a numbered
// result with a message at once; nothing may reach a backend server and no process may exit.
func TestBadInputStopsAtTheEntry(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 1, Engines: 1, Services: 1, Entry: harness.Settings{"limits": {"body-bytes": "2048", "header-bytes": "4096"}}})
	address := c.Entries[0].Public
	caller, unknownCaller, otherCustomer := harness.NewCaller(harness.Key), harness.NewCaller("no-such-key"), harness.NewCaller(harness.OtherKey)
	ticket, err := caller.RequestTicket(t.Context(), address, harness.Service)
	if err != nil {
		t.Fatal(err)
	}
	forged := ticket.Ticket[:len(ticket.Ticket)-6] + "AAAAAA"
	completion := func(body string, header map[string]string) harness.Request {
		return harness.Request{Method: "POST", Path: "/v1/completions", Header: header, Body: body}
	}
	const validBody = `{"model":"price-writer","prompt":"x","max_tokens":1}`
	cases := []struct {
		name    string
		caller  *harness.Caller
		request harness.Request
		code    api.ResultCode
		status  int
		ran     string
	}{
		{"unknown key", unknownCaller, completion(validBody, nil), api.ResultCode_UNKNOWN_KEY, 401, harness.RanNo},
		{"no key", harness.NewCaller(""), completion(validBody, nil), api.ResultCode_UNKNOWN_KEY, 401, harness.RanNo},
		{"not JSON", caller, completion(`{"model":`, nil), api.ResultCode_BAD_REQUEST, 400, harness.RanNo},
		{"no model", caller, completion(`{"prompt":"x"}`, nil), api.ResultCode_BAD_REQUEST, 400, harness.RanNo},
		{"no prompt", caller, completion(`{"model":"price-writer"}`, nil), api.ResultCode_BAD_REQUEST, 400, harness.RanNo},
		{"unknown model", caller, completion(`{"model":"nope","prompt":"x"}`, nil), api.ResultCode_UNKNOWN_MODEL, 404, harness.RanNo},
		{"version not served", caller, completion(validBody, map[string]string{"Apricothub-Version": "9"}), api.ResultCode_NO_BACKEND, 503, harness.RanNo},
		{"adapter not in the plan", caller, completion(validBody, map[string]string{"Apricothub-Adapter": "x"}), api.ResultCode_NOT_IN_PLAN, 403, harness.RanNo},
		{"deadline in the past", caller, completion(validBody, map[string]string{"Apricothub-Deadline": "2020-01-01T00:00:00Z"}), api.ResultCode_DEADLINE_PAST, 400, harness.RanNo},
		{"deadline of no time", caller, completion(validBody, map[string]string{"Apricothub-Deadline-Ms": "0"}), api.ResultCode_DEADLINE_PAST, 400, harness.RanNo},
		{"deadline not a number", caller, completion(validBody, map[string]string{"Apricothub-Deadline-Ms": "soon"}), api.ResultCode_BAD_REQUEST, 400, harness.RanNo},
		{"priority too high", caller, completion(validBody, map[string]string{"Apricothub-Priority": "99"}), api.ResultCode_BAD_REQUEST, 400, harness.RanNo},
		{"large body", caller, completion(strings.Repeat("x", 4096), nil), api.ResultCode_BODY_TOO_LARGE, 413, harness.RanNo},
		{"bad Last-Event-ID", caller, completion(validBody, map[string]string{"Last-Event-ID": "1"}), api.ResultCode_BAD_REQUEST, 400, harness.RanNo},
		{"wrong method", caller, harness.Request{Method: "GET", Path: "/v1/completions"}, api.ResultCode_METHOD_NOT_ALLOWED, 405, harness.RanNo},
		{"no such address", caller, harness.Request{Method: "GET", Path: "/v2/x"}, api.ResultCode_UNKNOWN_ADDRESS, 404, harness.RanNo},
		{"unknown service", caller, harness.Request{Method: "POST", Path: "/services/nope/push"}, api.ResultCode_UNKNOWN_SERVICE, 404, harness.RanNo},
		{"no ticket", caller, harness.PushRequest("t1.not-a-ticket", "bad"), api.ResultCode_TICKET_INVALID, 400, harness.RanNo},
		{"long key", caller, harness.PushRequest(strings.Repeat("k", 256), "bad"), api.ResultCode_KEY_INVALID, 400, harness.RanNo},
		{"key not ASCII", caller, harness.PushRequest("k\xe9y", "bad"), api.ResultCode_KEY_INVALID, 400, harness.RanNo},
		{"forged ticket", caller, harness.PushRequest(forged, "bad"), api.ResultCode_TICKET_INVALID, 400, harness.RanNo},
		{"foreign ticket", otherCustomer, harness.PushRequest(ticket.Ticket, "bad"), api.ResultCode_TICKET_FOREIGN, 403, harness.RanUnknown},
		{"ticket for nothing", caller, harness.Request{Method: "POST", Path: "/v1/tickets", Body: `{}`}, api.ResultCode_BAD_REQUEST, 400, harness.RanNo},
	}
	for _, tc := range cases {
		reply, err := tc.caller.Do(t.Context(), address, tc.request)
		if err != nil {
			t.Errorf("%s: %v", tc.name, err)
			continue
		}
		if reply.Code != int(tc.code) || reply.Status != tc.status || reply.Ran != tc.ran || reply.Message == "" {
			t.Errorf("%s: %d %s, status %d, ran %s, %q; want %s, status %d, ran %s", tc.name, reply.Code, reply.Name, reply.Status, reply.Ran, reply.Message, tc.code, tc.status, tc.ran)
		}
	}
	longHeader := completion(validBody, map[string]string{"X-Long": strings.Repeat("x", 16384)})
	if answer, err := caller.Send(t.Context(), address, longHeader); err == nil {
		if answer.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("an oversized header got status %d, want 431", answer.StatusCode)
		}
		_ = answer.Body.Close()
	}
	if n := len(c.ServiceAgents()[0].Backend.Ledger()); n != 0 {
		t.Errorf("%d calls reached the service", n)
	}
	if n := len(c.EngineAgents()[0].Backend.Record().Arrivals); n != 0 {
		t.Errorf("%d requests reached the engine", n)
	}
	if reply, err := caller.Push(t.Context(), address, ticket.Ticket, "good"); err != nil || reply.Status != http.StatusOK {
		t.Errorf("the valid ticket after the invalid requests: %+v, %v", reply, err)
	}
}
