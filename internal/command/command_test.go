// Package command_test runs the operators' commands as a shell would, against an admin address with
// prepared responses.
package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/integrii/flaggy"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/command/check"
	"github.com/apricothub/apricothub/internal/command/cli"
	"github.com/apricothub/apricothub/internal/command/dump"
	"github.com/apricothub/apricothub/internal/command/explain"
	"github.com/apricothub/apricothub/internal/command/mark"
	"github.com/apricothub/apricothub/internal/command/publish"
	"github.com/apricothub/apricothub/internal/command/status"
	"github.com/apricothub/apricothub/internal/result"
)

const uses = "[plan large]\nshare = 3\n"

// fakeProcess serves prepared responses by "METHOD path".
type fakeProcess struct {
	responses map[string]any
	// lastPosted is the body of the last POST request.
	lastPosted []byte
}

func (p *fakeProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		p.lastPosted, _ = io.ReadAll(r.Body)
	}
	switch answer := p.responses[r.Method+" "+r.URL.Path].(type) {
	case nil:
		result.WriteHTTP(w, result.New(api.ResultCode_UNKNOWN_ADDRESS))
	case adminapi.Failure:
		code := api.ResultCode(answer.Error.Code)
		result.SetHeader(w.Header(), code)
		w.WriteHeader(result.Lookup(code).HTTP)
		_ = json.NewEncoder(w).Encode(answer)
	default:
		result.SetHeader(w.Header(), api.ResultCode_OK)
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func failureOf(code api.ResultCode) adminapi.Failure {
	return adminapi.Failure{Error: result.New(code).Detail()}
}

// runCommand runs one command line and returns the exit status and everything printed.
func runCommand(t *testing.T, p *fakeProcess, args ...string) (int, string) {
	t.Helper()
	server := httptest.NewServer(p)
	defer server.Close()
	t.Setenv("APRICOTHUB_ADMIN", strings.TrimPrefix(server.URL, "http://"))
	t.Setenv("APRICOTHUB_TOKEN", "0123456789abcdef")
	var out bytes.Buffer
	commands := []*cli.Command{publish.Command(), mark.Command(), status.Command(), dump.Command(), check.Command()}
	code := cli.Main(context.Background(), flaggy.NewParser("apricothub"), commands, args, &out, &out)
	return code, out.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "list.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// newFakeProcess returns a process that accepts what is published; overrides replaces responses.
func newFakeProcess(overrides map[string]any) *fakeProcess {
	accepted := adminapi.Change{ChangeID: "c1", Offset: 8, State: adminapi.Accepted}
	responses := map[string]any{
		"GET /v1/lists/uses":  adminapi.List{Offset: 7, Text: uses},
		"GET /v1/lists/plans": adminapi.List{Offset: -1},
		"POST /v1/lists/uses": accepted,
		"POST /v1/marks":      accepted,
		"GET /v1/changes/c1":  adminapi.Change{ChangeID: "c1", Offset: 8, State: adminapi.InForce},
		"GET /v1/status":      sampleStatus(),
		"GET /debug/state":    map[string]int{"x": 1},
	}
	for path, answer := range overrides {
		responses[path] = answer
	}
	return &fakeProcess{responses: responses}
}

func TestPublish(t *testing.T) {
	conflict := failureOf(api.ResultCode_CONFLICT)
	current := int64(9)
	conflict.Current, conflict.Author, conflict.ChangeID = &current, "sam@x", "c9"
	lag := failureOf(api.ResultCode_NOT_CONFIRMED)
	lag.Change = &adminapi.Change{State: adminapi.Accepted, Missing: []string{"vm-3", "vm-4"}, MissingMore: 2}
	const edited = "[plan large]\nshare = 5\n\n[plan small]\nshare = 1\n"

	tests := []struct {
		name    string
		text    string
		args    []string
		answers map[string]any
		exit    int
		want    []string
		base    string
	}{
		{"in force", edited, nil, nil, 0, []string{
			"the current list, offset 7", "1 sections added, 0 removed, 1 changed, 0 as before", "+ [plan small]",
			"- share = 3\n      + share = 5", "Accepted at offset 8", "In force everywhere.",
		}, `"base":7`},
		{"base of the file", "# base = 5\n" + edited, nil, nil, 0, []string{"In force"}, `"base":5`},
		{"base of the flag", "# base = 5\n" + edited, []string{"-b", "6"}, nil, 0, []string{"In force"}, `"base":6`},
		{"first version", edited, []string{"--base=-1"}, nil, 0, []string{"In force"}, `"base":-1`},
		{"dry run", edited, []string{"-n"}, nil, 0, []string{"nothing was published"}, ""},
		{"fault", "[plan large]\nshare = x\n", nil, nil, 2, []string{"nothing was published", `:2: [plan large] share: "x" is not a number`}, ""},
		{
			"conflict", edited, nil,
			map[string]any{"POST /v1/lists/uses": conflict},
			3,
			[]string{"In force is offset 9, by sam@x (change c9).", "apricothub dump uses"},
			"",
		},
		{
			"lag", edited, nil,
			map[string]any{"GET /v1/changes/c1": lag},
			5,
			[]string{"accepted and need not be repeated", "vm-3, vm-4 and 2 more"},
			"",
		},
		{
			"lag does not matter", edited,
			[]string{"-x", "accepted"},
			map[string]any{"GET /v1/changes/c1": lag},
			0,
			[]string{"Accepted at offset 8"},
			"",
		},
		{
			"unconfirmed", edited, nil,
			map[string]any{"POST /v1/lists/uses": failureOf(api.ResultCode_NOT_CONFIRMED)},
			5,
			[]string{"run the same command with -i "},
			"",
		},
		{
			"log down", edited, nil,
			map[string]any{"POST /v1/lists/uses": failureOf(api.ResultCode_LOG_UNAVAILABLE)},
			4,
			[]string{"210 LOG_UNAVAILABLE"},
			"",
		},
		{
			"token", edited, nil,
			map[string]any{"GET /v1/lists/uses": failureOf(api.ResultCode_BAD_TOKEN)},
			6,
			[]string{"503 BAD_TOKEN"},
			"",
		},
		{
			"warning", edited, nil,
			map[string]any{"GET /v1/lists/plans": adminapi.List{Text: "[customer a]\nkey-sha256 = " + strings.Repeat("0", 64) + "\nplan = gone\n"}},
			0,
			[]string{"warning: [customer a] has the plan gone"},
			"",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newFakeProcess(test.answers)
			code, out := runCommand(t, p, append([]string{"publish", "uses", writeFile(t, test.text)}, test.args...)...)
			if code != test.exit {
				t.Errorf("exit status %d, want %d", code, test.exit)
			}
			for _, want := range test.want {
				if !strings.Contains(out, want) {
					t.Errorf("want %q in:\n%s", want, out)
				}
			}
			if !strings.Contains(string(p.lastPosted), test.base) || test.exit == 2 && p.lastPosted != nil {
				t.Errorf("posted %s", p.lastPosted)
			}
		})
	}
}

func TestUnreachable(t *testing.T) {
	t.Setenv("APRICOTHUB_ADMIN", "127.0.0.1:1")
	t.Setenv("APRICOTHUB_TOKEN", "0123456789abcdef")
	var out bytes.Buffer
	code := cli.Main(context.Background(), flaggy.NewParser("apricothub"),
		[]*cli.Command{status.Command()}, []string{"status"}, &out, &out)
	if code != 7 || !strings.Contains(out.String(), "505 UNREACHABLE: No answer from http://127.0.0.1:1") {
		t.Errorf("exit status %d: %s", code, &out)
	}
}

func TestMark(t *testing.T) {
	tests := []struct {
		name string
		args []string
		exit int
		want string
		post string
	}{
		{"domain", []string{"domain", "a", "out"}, 0, "In force everywhere.", `"target":"domain","name":"a","out":true,"base":null`},
		{"vm", []string{"vm", "vm-2", "in", "-b", "4"}, 0, "In force everywhere.", `"target":"vm","name":"vm-2","out":false,"base":4`},
		{"misspelt", []string{"domain", "aa", "out"}, 2, `No domain is called "aa". Known are: a, b.`, ""},
		{"forced", []string{"domain", "aa", "out", "--force"}, 0, "In force", `"name":"aa"`},
		{"until accepted", []string{"domain", "a", "out", "--until", "accepted"}, 0, "Accepted at offset 8", `"name":"a"`},
		{"until never", []string{"domain", "a", "out", "--until", "never"}, 2, `"never" is not accepted or in-force`, ""},
		{"way", []string{"domain", "a", "away"}, 2, `"away" is not out or in`, ""},
		{"target", []string{"rack", "a", "out"}, 2, `"rack" is not domain or vm`, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newFakeProcess(nil)
			code, out := runCommand(t, p, append([]string{"mark"}, test.args...)...)
			if code != test.exit || !strings.Contains(out, test.want) || !strings.Contains(string(p.lastPosted), test.post) {
				t.Errorf("exit status %d, posted %s:\n%s", code, p.lastPosted, out)
			}
		})
	}
}

// sampleStatus is a system with one problem of each kind.
func sampleStatus() adminapi.Status {
	return adminapi.Status{
		Process: adminapi.Process{VM: "e-1", Role: "entry", FailureDomain: "a", Applied: 12, Freshness: "fresh", Ready: true, UptimeMs: 5000},
		Lists:   []adminapi.ListStatus{{Name: "plans", Offset: 3, Sections: 10, Author: "pat"}},
		Marks:   []adminapi.Mark{{Target: "domain", Name: "b", Out: true, Offset: 12}},
		Members: []adminapi.Member{
			{VM: "e-2", Role: "entry", FailureDomain: "b", Applied: 10, Link: "up", Ready: true},
			{VM: "vm-2", Role: "agent", FailureDomain: "b", Applied: 12, Link: "suspect", Ready: true},
		},
		Backends: []adminapi.Backend{
			{VM: "vm-2", FailureDomain: "b", Model: "pricing", ModelVersion: "v3", Limit: 4, FullLimit: 32, Running: 4, Cold: true, Refusing: "205 OUT_OF_SERVICE"},
			{VM: "vm-1", FailureDomain: "a", Service: "labels", Limit: 8, FullLimit: 8, Running: 1},
			{VM: "vm-3", FailureDomain: "a", Model: "pricing", Limit: 2, FullLimit: 8, Cold: true, Silent: true},
		},
		Groups: []adminapi.Group{{Name: "g", MapVersion: 4, Step: 1000, SkewMs: 1.25, Agents: 12, AgentsAll: 12, Coordinator: "vm-1", SlowRanks: 2, Slowest: &adminapi.SlowRank{Rank: 17, VM: "vm-2", Slowdown: 4.25}}, {Name: "h", StepAgeMs: 30_000, AgentsAll: 3, Agents: 2}},
	}
}

func TestStatus(t *testing.T) {
	code, out := runCommand(t, newFakeProcess(nil), "status")
	for _, want := range []string{
		"entry e-1 in a", "ready, configuration fresh", "THE PLATFORM'S LOG DOES NOT ANSWER", "domain b, offset 12",
		"b       OUT      1 of 1", "model pricing v3  1", "1.2 ms", "2 offsets behind", "link silent", "server vm-3  its engine does not answer", "refuses new work: 205 OUT_OF_SERVICE",
		"rank 17 on vm-2 stays 4.2 times slower than its group, and 1 more",
		"h      0    0     0.0 ms  2 of 3    none", "no report from its coordinator, the agent of rank 0; no step seen for 30 s",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("want %q", want)
		}
	}
	if code != 0 || t.Failed() {
		t.Errorf("exit status %d:\n%s", code, out)
	}
}

// Scripts parse the status as JSON and check the exit status.
func TestStatusAsJSON(t *testing.T) {
	code, out := runCommand(t, newFakeProcess(nil), "status", "--json")
	var shown adminapi.Status
	if err := json.Unmarshal([]byte(out), &shown); code != 0 || err != nil || shown.Process.VM != "e-1" {
		t.Errorf("exit status %d, %v:\n%s", code, err, out)
	}
}

// With the members and backend servers expected in two years, the status must still fit on one
// screen.
func TestStatusFitsOnOneScreen(t *testing.T) {
	s := sampleStatus()
	for range 500 {
		s.Members = append(s.Members, s.Members...)[:min(500, 2*len(s.Members))]
		s.Backends = append(s.Backends, s.Backends...)[:min(3700, 2*len(s.Backends))]
		s.Groups = append(s.Groups, s.Groups...)[:min(100, 2*len(s.Groups))]
		s.Marks = append(s.Marks, s.Marks...)[:min(100, 2*len(s.Marks))]
	}
	if lines := strings.Count(status.Render(&s), "\n"); lines > 60 {
		t.Errorf("%d lines", lines)
	}
}

func TestDump(t *testing.T) {
	code, out := runCommand(t, newFakeProcess(nil), "dump", "uses")
	if code != 0 || out != "# base = 7\n"+uses {
		t.Errorf("exit status %d:\n%s", code, out)
	}
	if code, out := runCommand(t, newFakeProcess(nil), "dump"); code != 0 || !strings.Contains(out, `"x": 1`) {
		t.Errorf("exit status %d:\n%s", code, out)
	}
	if code, _ := runCommand(t, newFakeProcess(nil), "dump", "all"); code != 2 {
		t.Errorf("exit status %d", code)
	}
}

// Another operator publishes after the list was dumped, so the difference shows that change undone.
// A dry run must then fail with the conflict that publishing would cause.
func TestDryRunReportsOutdatedBase(t *testing.T) {
	overrides := map[string]any{"GET /v1/lists/uses": adminapi.List{Offset: 7, Text: uses, Author: "sam@x", ChangeID: "c9"}}
	path := writeFile(t, "# base = 5\n[plan large]\nshare = 5\n")
	code, out := runCommand(t, newFakeProcess(overrides), "publish", "-n", "uses", path)
	if code != 3 || !strings.Contains(out, "offset 7, by sam@x (change c9)") || !strings.Contains(out, "- share = 3") {
		t.Errorf("exit status %d:\n%s", code, out)
	}
}

// Invalid arguments must end with status 2 before anything is sent, and the commands that wait must
// name the flag that is out of range.
func TestWrongArgumentsExitWith2(t *testing.T) {
	path := writeFile(t, "[plan large]\nshare = 5\n")
	for _, args := range [][]string{
		{"publish", "uses", path + ".missing"},
		{"check", "--entry", path + ".missing"},
		{"status", "-a", "nonsense"},
		{"publish", "-w", "90s", "uses", path},
		{"mark", "-w", "90s", "domain", "a", "out"},
	} {
		p := newFakeProcess(nil)
		code, out := runCommand(t, p, args...)
		if code != 2 || p.lastPosted != nil || strings.Contains(out, "timeout_ms") {
			t.Errorf("%v: exit status %d, posted %s:\n%s", args, code, p.lastPosted, out)
		}
	}
}

func TestCheck(t *testing.T) {
	good, bad := writeFile(t, uses), writeFile(t, "[plan]\n")
	if code, out := runCommand(t, newFakeProcess(nil), "check", "--uses", good); code != 0 || !strings.Contains(out, ": good") {
		t.Errorf("exit status %d:\n%s", code, out)
	}
	if code, out := runCommand(t, newFakeProcess(nil), "check", "--uses", bad); code != 2 || !strings.Contains(out, "list.ini:1: [plan]") {
		t.Errorf("exit status %d:\n%s", code, out)
	}
	if code, _ := runCommand(t, newFakeProcess(nil), "check"); code != 2 {
		t.Errorf("exit status %d", code)
	}
}

// Logs are read from standard input or from named files. For an id that no line names, the error
// must say why that may be.
func TestExplain(t *testing.T) {
	log := `part=gateway level=warn ts=2026-03-01T02:00:00Z self=front-1 msg="A request was refused." request=r1 result="201 SATURATED"` + "\n"
	file := filepath.Join(t.TempDir(), "front-1.log")
	if err := os.WriteFile(file, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		in     string
		args   []string
		status int
		want   string
	}{
		{log, []string{"r1"}, 0, "A request was refused. [201 SATURATED]"},
		{"", []string{"r1", "-f", file}, 0, "A request was refused. [201 SATURATED]"},
		{log, []string{"r2"}, 1, "no log line names request r2 (lines read: 1,"},
		{"", []string{"r1", "-f", file + "x"}, cli.ExitUsage, "no such file"},
	} {
		var out, notes bytes.Buffer
		parser := flaggy.NewParser("apricothub")
		status := cli.Main(context.Background(), parser, []*cli.Command{explain.Command(strings.NewReader(c.in))}, append([]string{"explain"}, c.args...), &out, &notes)
		if text := out.String() + notes.String(); status != c.status || !strings.Contains(text, c.want) {
			t.Errorf("%v: status %d\n%s", c.args, status, text)
		}
	}
}
