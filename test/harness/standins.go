package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/standin/engine"
	"github.com/apricothub/apricothub/internal/standin/platform"
	"github.com/apricothub/apricothub/internal/standin/service"
)

// controlTime bounds one request to a stand-in or an admin address.
const controlTime = 10 * time.Second

// control does not keep connections, so that a restarted process is reached.
var control = &http.Client{Timeout: controlTime, Transport: &http.Transport{DisableKeepAlives: true}}

// quick is control for those who look at processes that may be paused.
var quick = &http.Client{Timeout: quickTime, Transport: control.Transport}

const quickTime = 500 * time.Millisecond

// exchange sends in as JSON (nothing when nil) and reads the answer into out.
func exchange(method, url, token string, in, out any) error {
	return exchangeBy(control, method, url, token, in, out)
}

func exchangeBy(client *http.Client, method, url, token string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, url)
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(context.Background(), method, url, body)
	if err != nil {
		return errors.Wrap(err, url)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	answer, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, url)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return errors.Wrap(err, url)
	}
	if answer.StatusCode/100 != 2 {
		return errors.Errorf("%s: %s: %s", url, answer.Status, data)
	}
	if out == nil {
		return nil
	}
	return wrap(json.Unmarshal(data, out), url)
}

// wrap adds a text to an error and leaves nil as it is; errors.Wrap does not.
func wrap(err error, text string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, text)
}

// StandIn is a running stand-in.
type StandIn struct {
	*Process
	Address string
}

// StartStandIn starts a subcommand of standin and waits until it answers.
func StartStandIn(report Reporter, bin, dir, name, kind string, flags ...string) *StandIn {
	report.Helper()
	address := Address(report)
	args := append([]string{kind, "-listen", address}, flags...)
	s := &StandIn{Process: Start(report, dir, name, bin+"/standin", args...), Address: address}
	s.WaitUp()
	return s
}

// WaitUp waits until the stand-in answers.
func (s *StandIn) WaitUp() {
	s.report.Helper()
	paths := map[string]string{"platform": "/vms", "engine": "/engine/running", "service": "/control/ledger"}
	Eventually(s.report, controlTime, s.Name+" answers", func() error {
		return exchange(http.MethodGet, s.URL()+paths[s.args[0]], "", nil, nil)
	})
}

// URL is the base URL.
func (s *StandIn) URL() string { return "http://" + s.Address }

// must fails the test when a control of a stand-in does not work.
func (s *StandIn) must(method, path string, in, out any) {
	s.report.Helper()
	if err := exchange(method, s.URL()+path, "", in, out); err != nil {
		s.report.Fatalf("%s: %v", s.Name, err)
	}
}

// Platform is the platform stand-in.
type Platform struct{ *StandIn }

// LogMode sets how the log behaves: "up", "down", "slow" or "lose_answers".
func (p Platform) LogMode(mode string, delay time.Duration) {
	p.report.Helper()
	p.must(http.MethodPost, "/control/log", platform.ControlRequest{Mode: mode, DelayMS: delay.Milliseconds()}, nil)
}

// Retain keeps only the newest records of the log; -1 for all.
func (p Platform) Retain(records int64) {
	p.report.Helper()
	p.must(http.MethodPost, "/control/retention", platform.ControlRequest{Records: records}, nil)
}

// RetainKeys is Retain for the stream of keys alone.
func (p Platform) RetainKeys(records int64) {
	p.report.Helper()
	p.must(http.MethodPost, "/control/retention", platform.ControlRequest{Stream: "keys", Records: records}, nil)
}

// VMsLag sets the lag of the list of VMs.
func (p Platform) VMsLag(lag time.Duration) {
	p.report.Helper()
	p.must(http.MethodPost, "/control/vms_lag", platform.ControlRequest{MS: lag.Milliseconds()}, nil)
}

// PutVM adds or replaces one VM in the list.
func (p Platform) PutVM(vm platform.VM) {
	p.report.Helper()
	p.must(http.MethodPut, "/control/vms", platform.VMChange{Put: &vm}, nil)
}

// DeleteVM takes one VM from the list.
func (p Platform) DeleteVM(id string) {
	p.report.Helper()
	p.must(http.MethodPut, "/control/vms", platform.VMChange{Delete: id}, nil)
}

// VMs returns the list of VMs as processes see it.
func (p Platform) VMs() ([]platform.VM, error) {
	var list platform.VMChange
	err := exchange(http.MethodGet, p.URL()+"/vms", "", nil, &list)
	return list.VMs, err
}

// Steps returns the record of a group's steps.
func (p Platform) Steps(group string) platform.FabricRecord {
	p.report.Helper()
	var record platform.FabricRecord
	p.must(http.MethodGet, "/fabric/"+group+"/record", nil, &record)
	return record
}

// Backend is an engine or a plain service.
type Backend struct{ *StandIn }

// Ledger returns every run of every call of a plain service.
func (b Backend) Ledger() []service.LedgerLine {
	b.report.Helper()
	var ledger []service.LedgerLine
	b.must(http.MethodGet, "/control/ledger", nil, &ledger)
	return ledger
}

// Behave sets what a plain service does with calls.
func (b Backend) Behave(behaviour service.Behaviour) {
	b.report.Helper()
	b.must(http.MethodPost, "/control/behaviour", behaviour, nil)
}

// Record returns an engine's own record.
func (b Backend) Record() engine.Record {
	b.report.Helper()
	var record engine.Record
	b.must(http.MethodGet, "/control/record", nil, &record)
	return record
}

// Held returns what an engine has loaded by orders.
func (b Backend) Held() engine.HeldWeights {
	b.report.Helper()
	var held engine.HeldWeights
	b.must(http.MethodGet, "/engine/version", nil, &held)
	return held
}

// Order gives an engine an order past its agent, and returns the error that the engine
// answers with.
func (b Backend) Order(order engine.LoadOrder) error {
	return exchange(http.MethodPost, b.URL()+"/engine/orders", "", order, nil)
}

// TurnCold turns a warm engine cold without a word. What begins within the grace
// is still borne.
func (b Backend) TurnCold(grace time.Duration) {
	b.report.Helper()
	b.must(http.MethodPost, "/control/cold", map[string]any{"grace_ms": grace.Milliseconds()}, nil)
}

// Popularity sets how many tokens each expert gets in a second.
func (b Backend) Popularity(tokens []float64) {
	b.report.Helper()
	b.must(http.MethodPost, "/control/experts", engine.ExpertTokens{Tokens: tokens}, nil)
}

// Throttle makes the engine's ranks slower, each by its pace, and sets the popularity.
func (b Backend) Throttle(tokens, paces []float64) {
	b.report.Helper()
	b.must(http.MethodPost, "/control/experts", engine.ExpertTokens{Tokens: tokens, Slowdowns: paces}, nil)
}

// Runs counts the runs of each call in a ledger.
func Runs(ledger []service.LedgerLine) map[string]int {
	runs := map[string]int{}
	for _, run := range ledger {
		runs[run.Key]++
	}
	return runs
}
