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

// drillWriteEnv is the environment variable that, when set, makes the drill write the output of the
// commands into the page.
const drillWriteEnv = "APRICOTHUB_DRILL_WRITE"

// drillPage is the page whose commands are run.
const drillPage = "../docs/OPERATIONS.md"

// drillTimeout is how long the drill waits for an expected event.
const drillTimeout = 20 * time.Second

var errNotReady = errors.New("the gateway is not ready")

// Three callers report problems by nothing but request ids: a push that was refused while the
// servers were full, a push whose server died while it ran, and a stream that began late after
// operators had taken a failure domain out. The commands of the page, run as written on the logs,
// must show the cause of each.
func TestExplainDrill(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		heading string
		cause   func(*drill) string
		want    []string
	}{
		{"A push was refused", (*drill).refusedPush, []string{
			`A request was refused\. \[20\d [A-Z_]+\]`, `sent=0`, `free=0`, `Ran: no`, `\d+ result="20\d`,
		}},
		{"A push ended with 502", (*drill).pushToDeadServer, []string{
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
			d.waitForLog("request=" + id)
			out := d.runCommands(c.heading, id)
			for _, want := range c.want {
				if !regexp.MustCompile(want).MatchString(out) {
					t.Errorf("the commands do not show %s", want)
				}
			}
			if t.Failed() {
				t.Logf("output:\n%s", out)
			}
		})
	}
}

// drill is a site with two gateways and a backend server in each of two failure domains.
type drill struct {
	t        *testing.T
	dir      string
	store    *fakeplatform.Store
	servers  []*fakeplatform.Server
	gateways []string
	// release lets one request finish that the servers hold.
	release chan struct{}
	calls   sync.WaitGroup
}

func startDrill(t *testing.T) *drill {
	d := &drill{t: t, dir: harness.NewDir(t, strings.ReplaceAll(t.Name(), "/", "-")), store: fakeplatform.NewStore(t), release: make(chan struct{})}
	d.store.Configure(1, fakeplatform.Routes(), fakeplatform.CallerKey)
	for _, domain := range []string{"a", "b"} {
		d.servers = append(d.servers, d.store.ServeAt(t, fakeplatform.Registration{ID: "i-" + domain, FailureDomain: domain, Concurrency: 2}, d.answer))
	}
	firstIP, secondIP := fakeplatform.NewLoopbackIP(), fakeplatform.NewLoopbackIP()
	d.startGateway("front-1", firstIP)
	d.startGateway("front-2", secondIP, firstIP)
	for _, ip := range d.gateways {
		harness.Eventually(t, drillTimeout, "a gateway is ready", func() error {
			if !fakeplatform.IsReady(ip) {
				return errNotReady
			}
			return nil
		})
	}
	t.Cleanup(func() {
		close(d.release)
		d.calls.Wait()
	})
	return d
}

func (d *drill) startGateway(vm, ip string, seeds ...string) {
	entry := fakeplatform.Entry{VM: vm, IP: ip, FailureDomain: "a", Store: d.store.Address(), Seeds: seeds}
	harness.StartWithEnv(d.t, []string{entry.WriteSettings(d.t, d.dir)}, d.dir, vm, binDir+"/apricothub", "gateway")
	d.gateways = append(d.gateways, ip)
}

// answer is the handler of the backend servers: a push with "die" in its path kills its server, one
// with "hold" waits for release, and streams send two events.
func (d *drill) answer(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
	switch path := s.Request.RequestURI; {
	case strings.Contains(path, "die"):
		d.servers[0].Kill()
		return false
	case strings.Contains(path, "hold"):
		<-d.release
	case strings.Contains(path, "draft"):
		_, _ = io.WriteString(conn, fakeplatform.StreamHead(s)+fakeplatform.Chunk(fakeplatform.Event(1))+
			fakeplatform.Chunk(fakeplatform.Event(2))+"0\r\n\r\n")
		return true
	}
	return fakeplatform.Echo(s, conn)
}

// send sends a request to the first gateway and returns the status.
func (d *drill) send(path, id string) int {
	return fakeplatform.Send(http.DefaultClient, d.gateways[0], path, id)
}

// sendHeld sends pushes that stay in flight at their servers.
func (d *drill) sendHeld(n int) {
	for i := range n {
		d.calls.Go(func() { d.send("/push/hold", fmt.Sprintf("held-%d", i)) })
	}
}

// waitForRequests waits until the servers have received n requests.
func (d *drill) waitForRequests(n int) {
	harness.Eventually(d.t, drillTimeout, "the servers hold requests", func() error {
		received := 0
		for _, s := range d.servers {
			received += len(s.Requests())
		}
		if received < n {
			return fmt.Errorf("%d of %d", received, n)
		}
		return nil
	})
}

// refusedPush fills the servers and returns the id of a push that found no free slot.
func (d *drill) refusedPush() string {
	d.sendHeld(4)
	d.waitForRequests(4)
	const id = "7c1f8a0be29d4431"
	harness.Eventually(d.t, drillTimeout, "a push is refused", func() error {
		if status := d.send("/push/1", id); status != http.StatusServiceUnavailable {
			return fmt.Errorf("status %d", status)
		}
		return nil
	})
	return id
}

// pushToDeadServer returns the id of a push whose server died while running it.
func (d *drill) pushToDeadServer() string {
	// The other server drains, so that the push goes to the first.
	d.store.Register(d.servers[1], "draining")
	d.waitForLog("server=i-b service=app failure_domain=b concurrency=2 draining=true")
	const id = "e4b683f4fe53cf3b"
	if status := d.send("/push/die", id); status != http.StatusBadGateway {
		d.t.Errorf("status %d", status)
	}
	// A later request finds the server gone.
	d.send("/look/1", "aa01")
	return id
}

// lateStream takes a failure domain out and returns the id of a stream that had to wait for a slot
// in the other one.
func (d *drill) lateStream() string {
	d.store.Put("keyed.op", "evacuate/b", "{}")
	d.waitForLog("failure_domain=b out=true")
	id, attempts := "", 0
	harness.Eventually(d.t, drillTimeout, "a stream is served late", func() error {
		d.sendHeld(2)
		d.waitForRequests(2 + 3*attempts)
		attempts++
		id = fmt.Sprintf("05d2c77e8e1b9a6%d", attempts)
		done := make(chan int, 1)
		go func() { done <- d.send("/draft/1", id) }()
		// Longer than the target for the first event and shorter than the longest time in the
		// queue. A busy machine may miss this window, so the stream is tried again.
		time.Sleep(700 * time.Millisecond)
		d.release <- struct{}{}
		d.release <- struct{}{}
		if status := <-done; status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}
		d.waitForLog("request=" + id)
		return d.checkLog(regexp.MustCompile(`served late.*request=` + id))
	})
	return id
}

// waitForLog waits until the first gateway has logged a text.
func (d *drill) waitForLog(text string) {
	d.t.Helper()
	harness.Eventually(d.t, drillTimeout, "the log has "+text, func() error {
		return d.checkLog(regexp.MustCompile(regexp.QuoteMeta(text)))
	})
}

// checkLog returns an error unless the first gateway's log matches the pattern.
func (d *drill) checkLog(pattern *regexp.Regexp) error {
	log, err := os.ReadFile(filepath.Join(d.dir, "front-1.log"))
	if err == nil && !pattern.Match(log) {
		err = fmt.Errorf("the log has no %s", pattern)
	}
	return err
}

// runCommands runs the commands under a heading of the page and returns their output.
func (d *drill) runCommands(heading, id string) string {
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
	var output strings.Builder
	for _, script := range parseCommands(section) {
		out := d.runScript(script, id)
		output.WriteString(out)
		if os.Getenv(drillWriteEnv) != "" {
			writeOutput(d.t, script, heading, out)
		}
	}
	return output.String()
}

// commandPrefix begins a command of the page.
const commandPrefix = "    $ "

// parseCommands returns the commands of a section; those of one block form one script.
func parseCommands(section string) []string {
	var scripts []string
	block := ""
	for line := range strings.Lines(section + "\n\n") {
		if command, ok := strings.CutPrefix(line, commandPrefix); ok {
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

func (d *drill) runScript(script, id string) string {
	d.t.Helper()
	path, err := filepath.Abs(binDir)
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

// pageMu keeps the subtests from writing the page at the same time.
var pageMu sync.Mutex

// writeOutput inserts the output of a block of commands behind it in the page.
func writeOutput(t *testing.T, script, heading, out string) {
	t.Helper()
	pageMu.Lock()
	defer pageMu.Unlock()
	page, err := os.ReadFile(drillPage)
	if err != nil {
		t.Fatal(err)
	}
	headingIndex := strings.Index(string(page), "\n#### "+heading)
	block := ""
	for line := range strings.Lines(script) {
		block += commandPrefix + line
	}
	from := headingIndex + strings.Index(string(page[headingIndex:]), block) + len(block)
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
