package settings

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

const entryText = `# An entry.
[self]
vm = entry-1
failure-domain = a

[listen]
public = 127.0.0.1:8080
link = 127.0.0.1:8081
admin = 127.0.0.1:8082
admin-token = 0123456789abcdef#x ; a comment

[platform]
url = http://127.0.0.1:9000

[link]
key = 0123456789abcdef
`

const agentText = `[self]
vm = vm-1
failure-domain = a
[listen]
link = 127.0.0.1:8081
admin = 127.0.0.1:8082
admin-token = 0123456789abcdef
[platform]
url = http://127.0.0.1:9000
[link]
key = 0123456789abcdef
[backend]
url = http://127.0.0.1:9100
model = pricing
adapters = hardware, grocer
[group]
name = g
ranks = 8
size = 256
`

const plansText = `[customer north]
key-sha256 = e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855
plan = large
weight = 2.5
`

const usesText = `[model pricing]
version = v3
adapters = grocer

[service labels]
repeatable = GET /labels/*, GET /health

[plan large]
models = pricing
adapters = grocer
services = labels
share = 3
`

func TestDefaultsAndValues(t *testing.T) {
	entry, err := ParseEntry("entry.ini", []byte(entryText))
	if err != nil {
		t.Fatal(err)
	}
	if got := entry.GetListen().GetAdminToken(); got != "0123456789abcdef#x" {
		t.Errorf("token %q: a # without a space before it belongs to the value", got)
	}
	if got := entry.GetLink().GetSuspectMs(); got != 600 {
		t.Errorf("suspect-ms %d, want the default 600", got)
	}
	if got := entry.GetPolicy().GetDrainMs(); got != 30000 {
		t.Errorf("drain-ms %d: an absent section has its defaults", got)
	}
	agent, err := ParseAgent("agent.ini", []byte(agentText))
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(agent.GetBackend().GetAdapters(), "+"); got != "hardware+grocer" {
		t.Errorf("adapters %q", got)
	}
	if agent.GetGroup().GetSize() != 256 {
		t.Errorf("group %v", agent.GetGroup())
	}
}

// replaceOnce replaces the first occurrence of old, which must be present.
func replaceOnce(text, old, replacement string) string {
	if !strings.Contains(text, old) {
		panic("the text has no " + old)
	}
	return strings.Replace(text, old, replacement, 1)
}

func TestFaults(t *testing.T) {
	entry := func(old, replacement string) error {
		_, err := ParseEntry("entry.ini", []byte(replaceOnce(entryText, old, replacement)))
		return err
	}
	agent := func(old, replacement string) error {
		_, err := ParseAgent("agent.ini", []byte(replaceOnce(agentText, old, replacement)))
		return err
	}
	plans := func(old, replacement string) error {
		_, err := ParsePlans("plans.ini", []byte(replaceOnce(plansText, old, replacement)))
		return err
	}
	uses := func(old, replacement string) error {
		_, err := ParseUses("uses.ini", []byte(replaceOnce(usesText, old, replacement)))
		return err
	}
	tests := []struct {
		name             string
		parse            func(old, replacement string) error
		old, replacement string
		want             string
	}{
		{"form", entry, "public = 127.0.0.1:8080", "public = abc", `entry.ini:7: [listen] public: "abc" is not IP:port`},
		{"host name", entry, "127.0.0.1:8081", "entry-1:8081", `entry.ini:8: [listen] link: "entry-1:8081" is not IP:port`},
		{"port 0", entry, "127.0.0.1:8081", "127.0.0.1:0", `names no port`},
		{"any address", entry, "public = 127.0.0.1", "public = 0.0.0.0", `entry.ini:6: [listen] public-name: the key is missing`},
		{"link at any address", agent, "link = 127.0.0.1", "link = [::]", `agent.ini:4: [listen] link: other processes cannot connect to [::]`},
		{"unknown key", entry, "vm = entry-1", "vm = entry-1\nname = x", `entry.ini:4: [self] name: unknown key; the section has vm, failure-domain`},
		{"field's name in place of the key", entry, "failure-domain", "failure_domain", `entry.ini:4: [self] failure_domain: unknown key`},
		{"unknown section", entry, "[self]", "[selves]", `entry.ini:2: [selves] unknown section`},
		{"section of the library", entry, "[self]", "[DEFAULT]", `entry.ini:2: [DEFAULT] unknown section`},
		{"section twice", entry, "[platform]", "[listen]", `entry.ini:12: [listen] the section stands already in line 6`},
		{"key twice", entry, "vm = entry-1", "vm = entry-1\nvm = entry-2", `entry.ini:4: [self] vm: the key stands already in line 3`},
		{"missing", entry, "vm = entry-1", "", `entry.ini:2: [self] vm: the key is missing`},
		{"empty", entry, "vm = entry-1", "vm =", `entry.ini:3: [self] vm: the value is missing`},
		{"missing section", entry, "[link]\nkey = 0123456789abcdef\n", "", `entry.ini: [link] key: the key is missing`},
		{"before any section", entry, "# An entry.", "vm = x", `entry.ini:1: vm: the key stands before any section`},
		{"text after a section", entry, "[platform]", "[platform] x = 1", `entry.ini:12: [platform] text after the section's name`},
		{"no key", entry, "vm = entry-1", "entry-1", `entry.ini:3: [self] the line is neither`},
		{"open quote", entry, "vm = entry-1", "vm = `entry-1", `entry.ini:3: [self] the line is neither`},
		{"control", entry, "vm = entry-1", "vm = a\x00b", `entry.ini:3: [self] the line holds a byte`},
		{"short secret", entry, "key = 0123456789abcdef", "key = 0123", `the secret has 4 characters; it needs at least 16`},
		{"range", entry, "[link]", "[link]\nheartbeat-ms = 5", `entry.ini:16: [link] heartbeat-ms: 5 is not between 10 and 10000 ms`},
		{"number", entry, "[link]", "[link]\nheartbeat-ms = 1e3", `"1e3" is not a whole number ms`},
		{"heartbeat and suspect", entry, "[link]", "[link]\nheartbeat-ms = 600", `[link] heartbeat-ms: must be shorter than suspect-ms (600)`},
		{"suspect and dead", entry, "[link]", "[link]\nsuspect-ms = 1500", `[link] suspect-ms: must be shorter than dead-ms (1500)`},
		{"the same key twice", entry, "[link]", "[link]\nother-key = 0123456789abcdef", `[link] other-key: is the same as key`},
		{"level", entry, "[link]", "[log]\nlevel = loud\n[link]", `"loud" is not debug, info, warn or error`},
		{"password in a URL", entry, "http://127", "http://u:p@127", `must not hold a password`},
		{"scheme", entry, "http://127", "ftp://127", `is not a URL`},
		{"model and service", agent, "model = pricing", "model = pricing\nservice = labels", `agent.ini:12: [backend] needs either`},
		{"neither", agent, "model = pricing", "", `[backend] needs either model or service`},
		{"cold above full", agent, "model = pricing", "model = pricing\ncold-limit = 40", `must not be larger than full-limit (32)`},
		{"ranks without name", agent, "name = g\n", "", `agent.ini:16: [group] name: the key is missing: ranks need a group`},
		{"ranks past size", agent, "ranks = 8", "ranks = 8\nfirst-rank = 250", `ranks 250 to 257 do not fit`},
		{"group of a service", agent, "model = pricing\nadapters = hardware, grocer", "service = labels", `only a model engine can be in a group`},
		{"list twice", agent, "hardware, grocer", "grocer, grocer", `"grocer" stands twice`},
		{"empty item", agent, "hardware, grocer", "hardware,,grocer", `an item between commas is empty`},
		{"key in place of hash", plans, "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", "my-secret-key", `plans.ini:2: [customer north] key-sha256: not a SHA-256`},
		{"key of two", plans, "[customer north]", "[customer south]\nkey-sha256 = e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855\nplan = p\n[customer north]", `belongs to [customer south] as well`},
		{"not a number", plans, "2.5", "NaN", `"NaN" is not a number`},
		{"section of the other list", plans, "[customer north]", "[plan north]", `unknown section; the list has [customer NAME]`},
		{"no name", plans, "[customer north]", "[customer]", `[customer] unknown section`},
		{"bad name", plans, "[customer north]", "[customer north/south]", `"north/south" is not a name`},
		{"unknown model", uses, "models = pricing", "models = drafting", `uses.ini:9: [plan large] models: the list has no section [model drafting]`},
		{"unknown service", uses, "services = labels", "services = booking", `uses.ini:11: [plan large] services: the list has no section [service booking]`},
		{"unknown adapter", uses, "adapters = grocer\nservices", "adapters = hardware\nservices", `none of the plan's models carries the adapter "hardware"`},
		{"star inside", uses, "GET /labels/*", "GET /*/labels", `a * may only stand alone at the end`},
		{"dots", uses, "GET /health", "GET /labels/../push", `must not hold . or ..`},
		{"no method", uses, "GET /health", "/health", `is not a call`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := test.parse(test.old, test.replacement)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got:\n%v\nwant: %s", err, test.want)
			}
		})
	}
}

func TestAllFaultsAtOnce(t *testing.T) {
	_, err := ParseEntry("e", []byte("[self]\nvm = a b\nx = 1\n[platform]\nurl = u\n"))
	faults, ok := err.(Faults)
	if !ok || len(faults) < 8 {
		t.Fatalf("want every fault of the file, got: %v", err)
	}
}

func TestBounds(t *testing.T) {
	var many strings.Builder
	for range maxFaults + 10 {
		many.WriteString("nonsense\n")
	}
	tests := map[string]struct{ text, want string }{
		"bytes":  {strings.Repeat("#", maxFileBytes+1), "at most 4194304 are read"},
		"value":  {"[customer a]\nplan = " + strings.Repeat("a", maxValueBytes+1), "at most 4096 are read"},
		"faults": {many.String(), "and 10 more faults"},
		"keys":   {"[customer a]\n" + strings.Repeat("x = 1\n", maxKeys+1), "more than 64 keys"},
		"items":  {"[customer a]\nkey-sha256 = " + strings.Repeat("a,", maxItems) + "a", "at most 256"},
	}
	for name, test := range tests {
		if _, err := ParsePlans("p", []byte(test.text)); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: want %q in: %.300v", name, test.want, err)
		}
	}
}

func TestFormatRoundTrip(t *testing.T) {
	for _, list := range []api.ListName{api.ListName_LIST_PLANS, api.ListName_LIST_USES} {
		text := map[api.ListName]string{api.ListName_LIST_PLANS: plansText, api.ListName_LIST_USES: usesText}[list]
		sections, err := Parse(list, "list", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		checkRoundTrip(t, list, sections)
	}
}

func checkRoundTrip(t *testing.T, list api.ListName, sections []*api.Section) {
	t.Helper()
	text := Format(sections)
	reparsed, err := Parse(list, "again", text)
	if err != nil {
		t.Fatalf("%v in:\n%s", err, text)
	}
	if len(reparsed) != len(sections) {
		t.Fatalf("%d sections, want %d:\n%s", len(reparsed), len(sections), text)
	}
	for i := range reparsed {
		if !proto.Equal(reparsed[i], sections[i]) {
			t.Fatalf("got %v, want %v", reparsed[i], sections[i])
		}
	}
}

func TestRedacted(t *testing.T) {
	entry, err := ParseEntry("entry.ini", []byte(entryText))
	if err != nil {
		t.Fatal(err)
	}
	shown := Redacted(entry).(*api.EntrySettings)
	if shown.GetListen().GetAdminToken() != RedactedValue || shown.GetLink().GetKey() != RedactedValue {
		t.Errorf("a secret is shown: %v", shown)
	}
	if entry.GetLink().GetKey() == RedactedValue || shown.GetSelf().GetVm() != "entry-1" {
		t.Error("only the copy's secrets may change")
	}
}

func TestChanges(t *testing.T) {
	before, _ := ParseEntry("entry.ini", []byte(entryText))
	after, err := ParseEntry("entry.ini", []byte(replaceOnce(entryText, "[link]", "[log]\nlevel = debug\n[link]\ndead-ms = 2000")))
	if err != nil {
		t.Fatal(err)
	}
	changes := Changes(before, after)
	want := []Change{{"link", "dead-ms", false}, {"log", "level", true}}
	if len(changes) != 2 || changes[0] != want[0] || changes[1] != want[1] {
		t.Errorf("got %v, want %v", changes, want)
	}
}

func TestCheckTogether(t *testing.T) {
	plans, _ := ParsePlans("p", []byte(plansText))
	uses, _ := ParseUses("u", []byte(usesText))
	if got := CheckAcrossLists(plans, uses); len(got) != 0 {
		t.Errorf("got %v", got)
	}
	if got := CheckAcrossLists(plans, nil); len(got) != 1 {
		t.Errorf("got %v", got)
	}
}

// FuzzSettings searches for a text that crashes the parser.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(entryText))
	f.Add([]byte(agentText))
	f.Add([]byte("[]\n[a]]\n=\n`\n\"\"\"\n-\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = ParseEntry("entry.ini", text)
		_, _ = ParseAgent("agent.ini", text)
	})
}

// FuzzLists searches for an accepted list that changes when it is formatted and parsed again.
func FuzzLists(f *testing.F) {
	f.Add([]byte(plansText))
	f.Add([]byte(usesText))
	f.Add([]byte("[plan a]\nshare=0x1p-2\nversions='x'"))
	f.Fuzz(func(t *testing.T, text []byte) {
		for _, list := range []api.ListName{api.ListName_LIST_PLANS, api.ListName_LIST_USES} {
			if sections, err := Parse(list, "list", text); err == nil {
				checkRoundTrip(t, list, sections)
			}
		}
	})
}

// BenchmarkParsePlans parses a plans list of the size expected in two years.
func BenchmarkParsePlans(b *testing.B) {
	var text strings.Builder
	for i := range 7300 {
		fmt.Fprintf(&text, "[customer team-%d]\nkey-sha256 = %064x\nplan = large\nweight = 2\n\n", i, i)
	}
	b.SetBytes(int64(text.Len()))
	for b.Loop() {
		if _, err := ParsePlans("plans.ini", []byte(text.String())); err != nil {
			b.Fatal(err)
		}
	}
}
