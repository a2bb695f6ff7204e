// Package demo runs the whole system as separate processes on loopback and reports for each step
// whether it worked. It implements `make demo`.
package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/test/harness"
)

const (
	// timeLimit is the maximum time of the whole demonstration.
	timeLimit = 60 * time.Second
	// markedDomain is the failure domain that is marked out and in again.
	markedDomain = "b"
	// markEffectTime is the time after a mark from which no new work may arrive.
	markEffectTime = 3 * time.Second
)

// step is one step of the demonstration. run returns the text to print.
type step struct {
	name string
	run  func(*demo) (string, error)
}

var steps = []step{
	{"start the platform, 3 entries, 3 engines and 1 plain service with 4 agents, and publish the lists", (*demo).start},
	{"ask for the addresses", (*demo).askAddresses},
	{"stream a completion", (*demo).streamCompletion},
	{"look up a label", (*demo).lookUp},
	{"push a price twice with one ticket", (*demo).pushTwice},
	{"mark failure domain " + markedDomain + " out", (*demo).markOut},
	{"mark failure domain " + markedDomain + " in", (*demo).markIn},
	{"stop an entry under load", (*demo).stopEntry},
}

// demo is a running demonstration. It implements harness.Reporter.
type demo struct {
	out     io.Writer
	bin     string
	dir     string
	cleanup []func()
	cluster *harness.Cluster
	caller  *harness.Caller
}

// stepFailure is the panic value that carries a failure of the harness out of a step.
type stepFailure struct{ error }

// Helper does nothing; harness.Reporter requires it.
func (d *demo) Helper() {}

// Logf prints a formatted line.
func (d *demo) Logf(format string, args ...any) { fmt.Fprintf(d.out, "    "+format+"\n", args...) }

// Fatalf aborts the step with an error.
func (d *demo) Fatalf(format string, args ...any) { panic(stepFailure{errors.Errorf(format, args...)}) }

// Cleanup registers a function to run at the end, in reverse order of registration.
func (d *demo) Cleanup(f func()) { d.cleanup = append(d.cleanup, f) }

// Run runs all steps with the binaries in bin and reports whether all worked.
func Run(bin string, out io.Writer) bool {
	d := &demo{out: out, bin: bin, caller: harness.NewCaller(harness.Key)}
	defer d.runCleanup()
	begin := time.Now()
	for i, s := range steps {
		from := time.Now()
		result, err := d.runStep(s)
		took := time.Since(from).Round(time.Millisecond)
		if err != nil {
			fmt.Fprintf(out, "%d. %s: FAILED after %s: %v\n", i+1, s.name, took, err)
			fmt.Fprintf(out, "demo: FAILED at step %d of %d after %s.\n", i+1, len(steps), time.Since(begin).Round(time.Millisecond))
			return false
		}
		fmt.Fprintf(out, "%d. %s: ok in %s: %s\n", i+1, s.name, took, result)
	}
	took := time.Since(begin).Round(time.Millisecond)
	if took > timeLimit {
		fmt.Fprintf(out, "demo: FAILED: all steps worked but took %s, more than %s.\n", took, timeLimit)
		return false
	}
	fmt.Fprintf(out, "demo: all %d steps worked in %s.\n", len(steps), took)
	return true
}

func (d *demo) runCleanup() {
	for i := range d.cleanup {
		d.cleanup[len(d.cleanup)-1-i]()
	}
}

func (d *demo) runStep(s step) (result string, err error) {
	defer func() {
		if f, ok := recover().(stepFailure); ok {
			err = f.error
		}
	}()
	return s.run(d)
}

func (d *demo) start() (string, error) {
	d.dir = harness.NewDir(d, "demo")
	d.cluster = harness.StartCluster(d, harness.Spec{
		Bin:      d.bin,
		Dir:      d.dir,
		Domains:  []string{"a", "b", "c"},
		Entries:  3,
		Engines:  3,
		Services: 1,
		Entry:    harness.Settings{"policy": {"address-keep-ms": "1000"}},
	})
	return fmt.Sprintf("%d processes over 3 failure domains are ready", 1+len(d.cluster.Entries)+2*len(d.cluster.Agents)), nil
}

// entry returns the public address of an entry.
func (d *demo) entry(i int) string { return d.cluster.Entries[i].Public }

func (d *demo) askAddresses() (string, error) {
	list, err := d.caller.Addresses(context.Background(), d.entry(0))
	if err != nil {
		return "", err
	}
	if len(list.Addresses) != len(d.cluster.Entries) {
		return "", errors.Errorf("got %d addresses, want %d", len(list.Addresses), len(d.cluster.Entries))
	}
	var addresses []string
	for _, a := range list.Addresses {
		addresses = append(addresses, a.Address)
	}
	return fmt.Sprintf("%s, to keep for %d ms", strings.Join(addresses, " "), list.KeepMS), nil
}

func (d *demo) streamCompletion() (string, error) {
	p := harness.Prompt{Text: "Write a shelf tag for perch.", Seed: 1, Tokens: 24}
	var got harness.Streamed
	if err := d.caller.Stream(context.Background(), d.entry(1), p, &got, nil); err != nil {
		return "", err
	}
	if got.Refused != nil {
		return "", errors.Errorf("refused: %d %s %s", got.Refused.Code, got.Refused.Name, got.Refused.Message)
	}
	if !got.Whole || got.Text != p.Want() {
		return "", errors.Errorf("got %q, want the text of the engine %q", got.Text, p.Want())
	}
	return fmt.Sprintf("%d bytes in %d events, the same as the engine made:%s", len(got.Text), got.Events, got.Text), nil
}

func (d *demo) lookUp() (string, error) {
	reply, err := d.caller.LookUp(context.Background(), d.entry(2), "aisle-7", "look-up")
	if err != nil {
		return "", err
	}
	if reply.Status != 200 {
		return "", errors.Errorf("look-up failed: status %d, code %d %s: %s", reply.Status, reply.Code, reply.Name, reply.Message)
	}
	return strings.TrimSpace(string(reply.Body)), nil
}

func (d *demo) pushTwice() (string, error) {
	const call = "demo-push"
	ticket, err := d.caller.RequestTicket(context.Background(), d.entry(0), harness.Service)
	if err != nil {
		return "", err
	}
	for i := range 2 {
		reply, err := d.caller.Push(context.Background(), d.entry(i), ticket.Ticket, call)
		if err != nil {
			return "", err
		}
		if reply.Status != 200 || reply.Ran != harness.RanYes {
			return "", errors.Errorf("push %d failed: status %d, code %d %s: %s", i+1, reply.Status, reply.Code, reply.Name, reply.Message)
		}
	}
	if runs := harness.CountRuns(d.cluster.ServiceAgents()[0].Backend.Ledger())[call]; runs != 1 {
		return "", errors.Errorf("the ledger shows %d runs, want 1", runs)
	}
	return "both answered 200, through two entries; the ledger shows 1 run", nil
}

// markedEngine returns the engine in the marked failure domain.
func (d *demo) markedEngine() *harness.Member {
	for _, m := range d.cluster.EngineAgents() {
		if m.Domain == markedDomain {
			return m
		}
	}
	d.Fatalf("no engine in failure domain %s", markedDomain)
	return nil
}

func (d *demo) markOut() (string, error) {
	load := d.cluster.StartLoad(harness.LoadSpec{Callers: 4, Tokens: 20, Pause: 20 * time.Millisecond, Seed: 1})
	time.Sleep(time.Second)
	from := time.Now()
	d.cluster.MustOperate("mark", "domain", markedDomain, "out")
	took := time.Since(from)
	time.Sleep(markEffectTime)
	before := len(d.markedEngine().Backend.Record().Arrivals)
	time.Sleep(time.Second)
	after := len(d.markedEngine().Backend.Record().Arrivals)
	result := load.Stop()
	if after != before {
		return "", errors.Errorf("%d requests arrived more than %s after the mark", after-before, markEffectTime)
	}
	if len(result.Cut)+len(result.Failed)+len(result.Wrong) > 0 {
		return "", errors.Errorf("cut %q, failed %q, wrong %q", result.Cut, result.Failed, result.Wrong)
	}
	return fmt.Sprintf("confirmed in %s; nothing new arrived there %s later; %d requests answered whole, none cut",
		took.Round(time.Millisecond), markEffectTime, result.Whole), nil
}

func (d *demo) markIn() (string, error) {
	load := d.cluster.StartLoad(harness.LoadSpec{Callers: 4, Tokens: 20, Pause: 20 * time.Millisecond, Seed: 2})
	before := len(d.markedEngine().Backend.Record().Arrivals)
	d.cluster.MustOperate("mark", "domain", markedDomain, "in")
	took := harness.Eventually(d, 10*time.Second, "new work arrives", func() error {
		if len(d.markedEngine().Backend.Record().Arrivals) == before {
			return errors.New("no request has arrived")
		}
		return nil
	})
	result := load.Stop()
	if len(result.Cut)+len(result.Failed)+len(result.Wrong) > 0 {
		return "", errors.Errorf("cut %q, failed %q, wrong %q", result.Cut, result.Failed, result.Wrong)
	}
	return fmt.Sprintf("new work arrived there %s later; %d requests answered whole, none cut", took.Round(time.Millisecond), result.Whole), nil
}

func (d *demo) stopEntry() (string, error) {
	load := d.cluster.StartLoad(harness.LoadSpec{Callers: 8, Tokens: 100, Seed: 3})
	time.Sleep(time.Second)
	from := time.Now()
	status := d.cluster.Entries[2].Terminate()
	took := time.Since(from)
	time.Sleep(500 * time.Millisecond)
	result := load.Stop()
	if status != 0 {
		return "", errors.Errorf("exit status %d: %s", status, d.cluster.Entries[2].Tail())
	}
	if len(result.Cut)+len(result.Failed)+len(result.Wrong) > 0 {
		return "", errors.Errorf("cut %q, failed %q, wrong %q", result.Cut, result.Failed, result.Wrong)
	}
	return fmt.Sprintf("stopped in %s with exit status 0; %d streams answered whole, none cut", took.Round(time.Millisecond), result.Whole), nil
}
