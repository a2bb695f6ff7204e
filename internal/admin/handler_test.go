package admin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/admin"
	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/adminclient"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/settings"
)

const token = "0123456789abcdef"

// fakeProcess is a process with an in-memory log. A record is accepted when its base is current,
// and in force when no VM is missing.
type fakeProcess struct {
	mu         sync.Mutex
	lists      map[api.ListName]admin.ListInForce
	changes    map[string]adminapi.Change
	missing    []string
	nextOffset int64
	appendErr  error
	// applyDespiteError makes Append apply the record and still return appendErr.
	applyDespiteError bool
	appends           int
}

func newFakeProcess() *fakeProcess {
	return &fakeProcess{
		lists: map[api.ListName]admin.ListInForce{
			api.ListName_LIST_PLANS: {Offset: -1}, api.ListName_LIST_USES: {Offset: -1},
		},
		changes: map[string]adminapi.Change{},
	}
}

func (f *fakeProcess) Status(context.Context) (*adminapi.Status, error) {
	return &adminapi.Status{
		Process: adminapi.Process{VM: "entry-1", Role: "entry"},
		Members: []adminapi.Member{{Link: "up"}, {Link: "down"}, {Link: "suspect"}, {}},
		Groups:  []adminapi.Group{{Name: "g"}},
	}, nil
}

func (f *fakeProcess) Dump(context.Context) ([]admin.DumpPart, error) {
	secret := &api.EntrySettings{Link: &api.Links{Key: token, HeartbeatMs: 200}}
	return []admin.DumpPart{
		{Name: "settings", Value: settings.Redacted(secret)},
		{Name: "huge", Value: strings.Repeat("x", 9<<20)},
		{Name: "long", Value: admin.TruncateList(make([]int, 1000))},
		{Name: "broken", Value: func() {}},
	}, nil
}

func (f *fakeProcess) Ready() error { return result.New(api.ResultCode_STARTING) }

func (f *fakeProcess) Metrics() metrics.Registry {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.ok", r).Inc(12_000_000)
	h := metrics.GetOrRegisterHistogram("work.us", r, metrics.NewUniformSample(10))
	h.Update(5)
	return r
}

func (f *fakeProcess) List(list api.ListName) admin.ListInForce {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists[list]
}

func (f *fakeProcess) Mark(target api.MarkTarget, name string) *api.MarkState {
	return &api.MarkState{Target: target, Name: name, Offset: -1}
}

func (f *fakeProcess) Append(_ context.Context, record *api.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appends++
	if f.appendErr != nil && !f.applyDespiteError {
		return f.appendErr
	}
	change := adminapi.Change{ChangeID: record.GetChangeId(), Offset: f.nextOffset, State: adminapi.Accepted, Missing: f.missing}
	if len(f.missing) == 0 {
		change.State = adminapi.InForce
	}
	if list := record.GetList(); list != nil {
		f.lists[list.GetList()] = admin.ListInForce{
			Offset: f.nextOffset, Sections: list.GetSet(),
			Author: record.GetAuthor(), ChangeID: record.GetChangeId(),
		}
	}
	f.changes[record.GetChangeId()] = change
	f.nextOffset++
	return f.appendErr
}

func (f *fakeProcess) Change(id string) adminapi.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	if change, ok := f.changes[id]; ok {
		return change
	}
	return adminapi.Change{ChangeID: id, Offset: -1, State: adminapi.Pending}
}

func startServer(t *testing.T, f *fakeProcess) (*adminclient.Client, string) {
	t.Helper()
	server := httptest.NewServer(admin.Handler(f, f, token))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	client, err := adminclient.New(address, token)
	if err != nil {
		t.Fatal(err)
	}
	return client, server.URL
}

const uses = "[plan large]\nshare = 3\n"

func publish(client *adminclient.Client, id, text string, base int64, wanted adminapi.State) (*adminapi.Change, error) {
	request := adminapi.PublishRequest{Base: base, Author: "pat", ChangeID: id, Text: text}
	return client.Publish(context.Background(), adminapi.ListUses, request, wanted, 100*time.Millisecond)
}

func codeOf(err error) api.ResultCode {
	if err == nil {
		return api.ResultCode_OK
	}
	return result.FromError(err).Code
}

func TestPublishAndFetch(t *testing.T) {
	f := newFakeProcess()
	client, _ := startServer(t, f)
	change, err := publish(client, "c1", uses, -1, adminapi.InForce)
	if err != nil || change.State != adminapi.InForce || change.Offset != 0 {
		t.Fatalf("got %+v, %v", change, err)
	}
	list, err := client.List(context.Background(), adminapi.ListUses)
	if err != nil || list.Text != uses || list.Offset != 0 || list.Author != "pat" {
		t.Fatalf("got %+v, %v", list, err)
	}
	change, err = publish(client, "c2", "# The same list, from an older base.\n"+uses, -1, adminapi.Accepted)
	if err != nil || change.State != adminapi.Unchanged || f.appends != 1 {
		t.Errorf("the same list appends nothing: %+v, %v, %d appends", change, err, f.appends)
	}
}

// A publish is accepted but its answer is lost, and the operator repeats it. The list is now past
// the base because of this very change, so the repetition must succeed without appending a second
// change.
func TestRepeatedPublishAppendsOnce(t *testing.T) {
	f := newFakeProcess()
	client, _ := startServer(t, f)
	for range 2 {
		if _, err := publish(client, "c1", uses, -1, adminapi.InForce); err != nil {
			t.Fatal(err)
		}
	}
	if f.appends != 1 {
		t.Errorf("%d appends", f.appends)
	}
}

// Two operators edit the same version of a list. The second must learn which change came first, and
// must not overwrite it.
func TestConflict(t *testing.T) {
	f := newFakeProcess()
	client, _ := startServer(t, f)
	if _, err := publish(client, "c1", uses, -1, adminapi.InForce); err != nil {
		t.Fatal(err)
	}
	_, err := publish(client, "c2", "[plan small]\nshare = 1\n", -1, adminapi.InForce)
	var failed *adminclient.ResponseError
	if !errors.As(err, &failed) || failed.Result.Code != api.ResultCode_CONFLICT {
		t.Fatalf("got %v", err)
	}
	if d := failed.Details; d.Current == nil || *d.Current != 0 || d.Author != "pat" || d.ChangeID != "c1" {
		t.Errorf("got %+v", d)
	}
}

// The log appends the record but its answer is lost. The operator must not be told that nothing was
// published: only a verdict shows the outcome.
func TestAppendAnswerLost(t *testing.T) {
	f := newFakeProcess()
	f.applyDespiteError, f.appendErr = true, result.New(api.ResultCode_NOT_CONFIRMED)
	client, _ := startServer(t, f)
	if change, err := publish(client, "c1", uses, -1, adminapi.Accepted); err != nil || change.State != adminapi.InForce {
		t.Errorf("got %+v, %v", change, err)
	}
}

func TestPublishFailures(t *testing.T) {
	f := newFakeProcess()
	client, _ := startServer(t, f)
	if _, err := publish(client, "c1", "[plan large]\nshare = many\n", -1, adminapi.Accepted); codeOf(err) != api.ResultCode_BAD_LIST {
		t.Errorf("a list with a fault: %v", err)
	}
	if _, err := publish(client, "", uses, -1, adminapi.Accepted); codeOf(err) != api.ResultCode_BAD_REQUEST {
		t.Errorf("no change_id: %v", err)
	}
	if _, err := publish(client, "c1", uses, 7, adminapi.Accepted); codeOf(err) != api.ResultCode_LOG_UNAVAILABLE {
		t.Errorf("a base that this process has not reached: %v", err)
	}
	f.appendErr = result.Refuse(api.ResultCode_LOG_UNAVAILABLE, time.Second)
	if _, err := publish(client, "c2", uses, -1, adminapi.Accepted); codeOf(err) != api.ResultCode_LOG_UNAVAILABLE {
		t.Errorf("log down: %v", err)
	}
	f.appendErr = result.New(api.ResultCode_NOT_CONFIRMED, "status 503")
	if _, err := publish(client, "c4", uses, -1, adminapi.Accepted); codeOf(err) != api.ResultCode_NOT_CONFIRMED ||
		!strings.Contains(err.Error(), "log gave no answer: status 503") {
		t.Errorf("log gives no answer: %v", err)
	}
	f.appendErr, f.missing = nil, []string{"vm-7"}
	_, err := publish(client, "c3", uses, -1, adminapi.InForce)
	var failed *adminclient.ResponseError
	if !errors.As(err, &failed) || failed.Result.Code != api.ResultCode_NOT_CONFIRMED ||
		!strings.Contains(failed.Result.Text, "hold it: vm-7.") || failed.Details.Change == nil || strings.Join(failed.Details.Change.Missing, "") != "vm-7" {
		t.Errorf("one VM lags: %v", err)
	}
	lagging := f.changes["c3"]
	lagging.Missing = slices.Repeat([]string{"vm-7"}, 53)
	f.changes["c3"] = lagging
	_, err = publish(client, "c3", uses, -1, adminapi.InForce)
	if !errors.As(err, &failed) || len(failed.Details.Change.Missing) != 50 || failed.Details.Change.MissingMore != 3 {
		t.Errorf("53 VMs lag: %v", err)
	}
}

// A record that every member would refuse is not appended, and the operator gets the reason. A
// conflict caused by the operator's own record, repeated after its answer was lost, is not reported
// as a conflict.
func TestRefusedBeforeAppend(t *testing.T) {
	f := newFakeProcess()
	client, _ := startServer(t, f)
	f.appendErr = &config.RefusedError{Reason: "the record takes 9 bytes; at most 8 are accepted"}
	if _, err := publish(client, "c1", uses, -1, adminapi.Accepted); codeOf(err) != api.ResultCode_BAD_LIST ||
		!strings.Contains(err.Error(), "at most 8") {
		t.Errorf("got %v", err)
	}
	f.appendErr = &config.ConflictError{What: "the list", Base: -1, Current: 4}
	_, err := publish(client, "c2", uses, -1, adminapi.Accepted)
	var failed *adminclient.ResponseError
	if !errors.As(err, &failed) || failed.Result.Code != api.ResultCode_CONFLICT || failed.Details.Current == nil || *failed.Details.Current != 4 {
		t.Errorf("got %v", err)
	}
	f.applyDespiteError = true // The fake applies the record and then answers with the conflict.
	if change, err := publish(client, "c3", uses, -1, adminapi.Accepted); err != nil || change.State != adminapi.InForce {
		t.Errorf("got %+v, %v", change, err)
	}
}

func TestMark(t *testing.T) {
	f := newFakeProcess()
	client, _ := startServer(t, f)
	request := adminapi.MarkRequest{Target: adminapi.TargetDomain, Name: "a", Out: true, Author: "pat", ChangeID: "m1"}
	change, err := client.Mark(context.Background(), request, adminapi.InForce, time.Second)
	if err != nil || change.State != adminapi.InForce {
		t.Fatalf("got %+v, %v", change, err)
	}
	request.Target, request.ChangeID = "rack", "m2"
	if _, err := client.Mark(context.Background(), request, adminapi.InForce, time.Second); codeOf(err) != api.ResultCode_BAD_REQUEST {
		t.Errorf("got %v", err)
	}
}

func TestTokenAndPaths(t *testing.T) {
	f := newFakeProcess()
	_, address := startServer(t, f)
	tests := []struct {
		method, path, authorization string
		status                      int
	}{
		{"GET", "/v1/status", "Bearer " + token, 200},
		{"GET", "/v1/status", "", 401},
		{"GET", "/v1/status", "Bearer ", 401},
		{"GET", "/v1/status", "Bearer " + token + "x", 401},
		{"GET", "/v1/status", token, 401},
		{"GET", "/debug/state", "", 401},
		{"GET", "/metrics", "", 401},
		{"POST", "/v1/lists/plans", "", 401},
		{"GET", "/ready", "", 503},
		{"DELETE", "/v1/lists/plans", "Bearer " + token, 405},
		{"POST", "/v1/status", "Bearer " + token, 405},
		{"GET", "/v1/lists/teams", "Bearer " + token, 404},
		{"GET", "/", "Bearer " + token, 404},
	}
	for _, test := range tests {
		request, _ := http.NewRequest(test.method, address+test.path, nil)
		request.Header.Set("Authorization", test.authorization)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != test.status || response.Header.Get(result.Header) == "" {
			t.Errorf("%s %s with %q: %s, result %q", test.method, test.path, test.authorization,
				response.Status, response.Header.Get(result.Header))
		}
	}
}

func TestAgentRejectsChanges(t *testing.T) {
	server := httptest.NewServer(admin.Handler(newFakeProcess(), nil, token))
	defer server.Close()
	client, err := adminclient.New(strings.TrimPrefix(server.URL, "http://"), token)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := publish(client, "c1", uses, -1, adminapi.Accepted); err == nil || !strings.Contains(err.Error(), "of an entry") {
		t.Errorf("got %v", err)
	}
}

func TestRequestBodyIsLimited(t *testing.T) {
	f := newFakeProcess()
	client, _ := startServer(t, f)
	_, err := publish(client, "c1", strings.Repeat("#", 9<<20), -1, adminapi.Accepted)
	if codeOf(err) != api.ResultCode_BODY_TOO_LARGE && codeOf(err) != api.ResultCode_UNREACHABLE {
		t.Errorf("got %v", err)
	}
	if f.appends != 0 {
		t.Error("nothing may be appended")
	}
}

func TestDumpIsLimitedAndHidesSecrets(t *testing.T) {
	client, _ := startServer(t, newFakeProcess())
	text, err := client.Fetch(context.Background(), adminapi.PathDump)
	if err != nil {
		t.Fatal(err)
	}
	if len(text) > 9<<20 || strings.Contains(string(text), token) {
		t.Errorf("%d bytes, or a secret is shown", len(text))
	}
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(text, &parts); err != nil {
		t.Fatal(err)
	}
	for part, want := range map[string]string{
		"settings": `"heartbeat_ms"`, "huge": `"left_out"`, "long": `"total":1000`, "broken": `"left_out"`,
	} {
		if !strings.Contains(string(parts[part]), want) {
			t.Errorf("%s: %.100s", part, parts[part])
		}
	}
}

// Alarms depend on docs/METRICS.md, so the page must list every status metric.
func TestMetrics(t *testing.T) {
	client, _ := startServer(t, newFakeProcess())
	text, err := client.Fetch(context.Background(), adminapi.PathMetrics)
	if err != nil || !strings.Contains(string(text), "\nrequests.ok 12000000\n") ||
		!strings.Contains(string(text), "\nwork.us.count 1\n") || !strings.Contains(string(text), "\nstatus.members.silent 2\n") {
		t.Errorf("got %s, %v", text, err)
	}
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		name, _, _ := strings.Cut(line, " ")
		name = strings.Replace(name, "status.group.g.", "status.group.NAME.", 1)
		ours := strings.HasPrefix(name, "status.") || strings.HasPrefix(name, "process.")
		if ours && !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/METRICS.md does not list %s", name)
		}
	}
}
