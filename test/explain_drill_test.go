package test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/test/fakeplatform"
	"github.com/apricothub/apricothub/test/harness"
)

// drillWrite is the environment variable that, when set, has the drill write what it saw
// into the page.
const drillWrite = "APRICOTHUB_DRILL_WRITE"

// drillPage is the page whose commands are tried.
const drillPage = "../docs/OPERATIONS.md"

// drillPatience is how long the drill waits for what must happen.
const drillPatience = 20 * time.Second

var errNotReady = errors.New("it is not ready")

// Three callers complain in the morning, with nothing but their requests' ids: a push that
// was refused while the servers were full, a push whose server died in the middle, and a
// stream that began late after operators had taken a failure domain out. The commands of the
// page, run as they stand on the logs of the night, must show the cause of each.
func TestExplainDrill(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		heading string
		cause   func(*drill) string
		want    []string
	}{
		{"A push was refused", (*drill).overload, []string{
			`A request was refused\. \[20\d [A-Z_]+\]`, `sent=0`, `free=0`, `Ran: no`, `\d+ result="20\d`,
		}},
		{"A push ended with 502", (*drill).deadServer, []string{
			`An attempt came to nothing\.`, `server=i-a `, `sent=1`, `it may have run, and must not run twice`,
			`\[302 OUTCOME_UNKNOWN\]`, `Ran: unknown`, `A backend server is left out for a while\.`,
		}},
		{"A stream began late", (*drill).lateStream, []string{
			`A request was served late\.`, `A failure domain was marked\.`, `failure_domain=b out=true`, `waited_ms=[1-9]\d{2,}`,
			`capacity=2 registered=2`,
		}},
	} {
		t.Run(c.heading, func(t *testing.T) {
			t.Parallel()
			d := startDrill(t)
			id := c.cause(d)
			d.awaitText("request=" + id)
			out := d.try(c.heading, id)
			for _, want := range c.want {
				if !regexp.MustCompile(want).MatchString(out) {
					t.Errorf("the commands do not show %s", want)
				}
			}
			if t.Failed() {
				t.Logf("they show:\n%s", out)
			}
		})
	}
}

// drill is a night: two gateways, and a backend server in each of two failure domains.
type drill struct {
	t        *testing.T
	dir      string
	store    *fakeplatform.Store
	servers  []*fakeplatform.Server
	gateways []string
	// held are requests that the servers hold until one is let go.
	held chan struct{}
	busy sync.WaitGroup
}

func startDrill(t *testing.T) *drill {
	d := &drill{t: t, dir: harness.NewDir(t, strings.ReplaceAll(t.Name(), "/", "-")), store: fakeplatform.NewStore(t), held: make(chan struct{})}
	d.store.Configure(1, fakeplatform.Routes(), fakeplatform.CallerKey)
	for _, domain := range []string{"a", "b"} {
		d.servers = append(d.servers, d.store.ServeAt(t, fakeplatform.Registration{ID: "i-" + domain, FailureDomain: domain, Concurrency: 2}, d.answer))
	}
	one, two := fakeplatform.NewLoopbackIP(), fakeplatform.NewLoopbackIP()
	d.gateway("front-1", one)
	d.gateway("front-2", two, one)
	for _, ip := range d.gateways {
		harness.Eventually(t, drillPatience, "a gateway is ready", func() error {
			if !fakeplatform.IsReady(ip) {
				return errNotReady
			}
			return nil
		})
	}
	t.Cleanup(func() {
		close(d.held)
		d.busy.Wait()
	})
	return d
}

func (d *drill) gateway(vm, ip string, seeds ...string) {
	entry := fakeplatform.Entry{VM: vm, IP: ip, FailureDomain: "a", Store: d.store.Address(), Seeds: seeds}
	harness.StartWithEnv(d.t, []string{entry.WriteSettings(d.t, d.dir)}, d.dir, vm, bin+"/apricothub", "gateway")
	d.gateways = append(d.gateways, ip)
}

// answer is the backend servers': pushes with "die" in their path lose their server, those
// with "hold" wait, streams send two events.
func (d *drill) answer(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
	switch path := s.Request.RequestURI; {
	case strings.Contains(path, "die"):
		d.servers[0].Kill()
		return false
	case strings.Contains(path, "hold"):
		<-d.held
	case strings.Contains(path, "draft"):
		_, _ = io.WriteString(conn, fakeplatform.StreamHead(s)+fakeplatform.Chunk(fakeplatform.Event(1))+
			fakeplatform.Chunk(fakeplatform.Event(2))+"0\r\n\r\n")
		return true
	}
	return fakeplatform.Echo(s, conn)
}

// ask sends a request to the first gateway and returns the status.
func (d *drill) ask(path, id string) int {
	return fakeplatform.Send(http.DefaultClient, d.gateways[0], path, id)
}

// hold sends pushes that stay with their servers.
func (d *drill) hold(n int) {
	for i := range n {
		d.busy.Go(func() { d.ask("/push/hold", fmt.Sprintf("held-%d", i)) })
	}
}

// under waits until the servers have had n requests.
func (d *drill) under(n int) {
	harness.Eventually(d.t, drillPatience, "the servers hold requests", func() error {
		got := 0
		for _, s := range d.servers {
			got += len(s.Requests())
		}
		if got < n {
			return fmt.Errorf("%d of %d", got, n)
		}
		return nil
	})
}

// overload fills the servers, and returns the id of a push that found no room.
func (d *drill) overload() string {
	d.hold(4)
	d.under(4)
	const id = "7c1f8a0be29d4431"
	harness.Eventually(d.t, drillPatience, "a push is refused", func() error {
		if status := d.ask("/push/1", id); status != http.StatusServiceUnavailable {
			return fmt.Errorf("status %d", status)
		}
		return nil
	})
	return id
}

// deadServer returns the id of a push whose server died with it.
func (d *drill) deadServer() string {
	// The other server is full, so that the push goes to the first.
	d.store.Register(d.servers[1], "draining")
	d.awaitText("server=i-b service=app failure_domain=b concurrency=2 draining=true")
	const id = "e4b683f4fe53cf3b"
	if status := d.ask("/push/die", id); status != http.StatusBadGateway {
		d.t.Errorf("status %d", status)
	}
	// What comes later finds the server gone.
	d.ask("/look/1", "aa01")
	return id
}

// lateStream takes a failure domain out, and returns the id of a stream that had to wait for
// a place in the other one.
func (d *drill) lateStream() string {
	d.store.Put("keyed.op", "evacuate/b", "{}")
	d.awaitText("failure_domain=b out=true")
	id, tried := "", 0
	harness.Eventually(d.t, drillPatience, "a stream is served late", func() error {
		d.hold(2)
		d.under(2 + 3*tried)
		tried++
		id = fmt.Sprintf("05d2c77e8e1b9a6%d", tried)
		done := make(chan int, 1)
		go func() { done <- d.ask("/draft/1", id) }()
		// Longer than the aim for the first event, and less than a request waits at most; on a
		// busy machine it may come out otherwise, and is tried again.
		time.Sleep(700 * time.Millisecond)
		d.held <- struct{}{}
		d.held <- struct{}{}
		if status := <-done; status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}
		d.awaitText("request=" + id)
		return d.logged(regexp.MustCompile(`served late.*request=` + id))
	})
	return id
}

// awaitText waits until the first gateway has logged a text.
func (d *drill) awaitText(text string) {
	d.t.Helper()
	harness.Eventually(d.t, drillPatience, "the log has "+text, func() error {
		return d.logged(regexp.MustCompile(regexp.QuoteMeta(text)))
	})
}

// logged returns an error unless the first gateway has logged what matches.
func (d *drill) logged(what *regexp.Regexp) error {
	log, err := os.ReadFile(filepath.Join(d.dir, "front-1.log"))
	if err == nil && !what.Match(log) {
		err = fmt.Errorf("the log has no %s", what)
	}
	return err
}

// try runs the commands under a heading of the page, and returns what they print.
func (d *drill) try(heading, id string) string {
	d.t.Helper()
	page, err := os.ReadFile(drillPage)
	if err != nil {
		d.t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "\n#### "+heading)
	if !found {
		d.t.Fatalf("the page has no %q", heading)
	}
	section, _, _ = strings.Cut(section, "\n#")
	var all strings.Builder
	for _, script := range commandsOf(section) {
		out := d.run(script, id)
		all.WriteString(out)
		if os.Getenv(drillWrite) != "" {
			writeOutput(d.t, script, heading, out)
		}
	}
	return all.String()
}

// commandMark begins a command of the page.
const commandMark = "    $ "

// commandsOf returns the commands of a section, those of one block together.
func commandsOf(section string) []string {
	var scripts []string
	block := ""
	for line := range strings.Lines(section + "\n\n") {
		if command, ok := strings.CutPrefix(line, commandMark); ok {
			block += command
			continue
		}
		if block != "" && !strings.HasPrefix(line, "    ") {
			scripts = append(scripts, block)
			block = ""
		}
	}
	return scripts
}

func (d *drill) run(script, id string) string {
	d.t.Helper()
	path, err := filepath.Abs(bin)
	if err != nil {
		d.t.Fatal(err)
	}
	cmd := exec.Command("bash", "-c", script)
	cmd.Dir = d.dir
	cmd.Env = append(os.Environ(), "ID="+id, "PATH="+path+":"+os.Getenv("PATH"))
	out, err := cmd.CombinedOutput()
	if err != nil {
		d.t.Errorf("%s: %v", script, err)
	}
	return string(out)
}

// pageLock keeps the cases from writing the page at the same time.
var pageLock sync.Mutex

// writeOutput puts the output of a block of commands behind it in the page.
func writeOutput(t *testing.T, script, heading, out string) {
	t.Helper()
	pageLock.Lock()
	defer pageLock.Unlock()
	page, err := os.ReadFile(drillPage)
	if err != nil {
		t.Fatal(err)
	}
	at := strings.Index(string(page), "\n#### "+heading)
	block := ""
	for line := range strings.Lines(script) {
		block += commandMark + line
	}
	from := at + strings.Index(string(page[at:]), block) + len(block)
	to := from
	for strings.HasPrefix(string(page[to:]), "    ") {
		to += strings.IndexByte(string(page[to:]), '\n') + 1
	}
	indented := ""
	for line := range strings.Lines(out) {
		if strings.TrimSpace(line) != "" {
			indented += "    " + line
		}
	}
	text := string(page[:from]) + indented + string(page[to:])
	if err := os.WriteFile(drillPage, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
