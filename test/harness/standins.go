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

// controlTimeout limits one request to a stand-in or an admin address.
const controlTimeout = 10 * time.Second

// controlClient opens a connection for each request, so that it reaches a restarted process.
var controlClient = &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// statusClient is controlClient with a short timeout, for processes that may be paused.
var statusClient = &http.Client{Timeout: statusTimeout, Transport: controlClient.Transport}

const statusTimeout = 500 * time.Millisecond

// doJSON sends in as JSON (no body if nil) and decodes the response into out, unless out is nil.
func doJSON(method, url, token string, in, out any) error {
	return doJSONWith(controlClient, method, url, token, in, out)
}

// doJSONWith is doJSON with a given client.
func doJSONWith(client *http.Client, method, url, token string, in, out any) error {
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
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, url)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, url)
	}
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s: %s: %s", url, response.Status, data)
	}
	if out == nil {
		return nil
	}
	return wrap(json.Unmarshal(data, out), url)
}

// wrap adds context to an error and returns nil for nil, unlike errors.Wrap of go-faster/errors.
func wrap(err error, text string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, text)
}

// StandIn is a stand-in process.
type StandIn struct {
	*Process
	Address string
}

// StartStandIn starts a subcommand of the standin command and waits until it answers.
func StartStandIn(report Reporter, bin, dir, name, kind string, flags ...string) *StandIn {
	report.Helper()
	address := Address(report)
	args := append([]string{kind, "-listen", address}, flags...)
	s := &StandIn{Process: Start(report, dir, name, bin+"/standin", args...), Address: address}
	s.WaitRunning()
	return s
}

// WaitRunning waits until the stand-in answers.
func (s *StandIn) WaitRunning() {
	s.report.Helper()
	paths := map[string]string{"platform": "/vms", "engine": "/engine/running", "service": "/control/ledger"}
	Eventually(s.report, controlTimeout, s.Name+" answers", func() error {
		return doJSON(http.MethodGet, s.URL()+paths[s.args[0]], "", nil, nil)
	})
}

// URL returns the base URL.
func (s *StandIn) URL() string { return "http://" + s.Address }

// mustDo sends a control request and fails the test on an error.
func (s *StandIn) mustDo(method, path string, in, out any) {
	s.report.Helper()
	if err := doJSON(method, s.URL()+path, "", in, out); err != nil {
		s.report.Fatalf("%s: %v", s.Name, err)
	}
}

// Platform is the stand-in for the platform.
type Platform struct{ *StandIn }

// SetLogMode sets the mode of the log: "up", "down", "slow" (with delay) or "lose_answers".
func (p Platform) SetLogMode(mode string, delay time.Duration) {
	p.report.Helper()
	p.mustDo(http.MethodPost, "/control/log", platform.ControlRequest{Mode: mode, DelayMS: delay.Milliseconds()}, nil)
}

// SetRetention limits the log to the newest records; -1 keeps all.
func (p Platform) SetRetention(records int64) {
	p.report.Helper()
	p.mustDo(http.MethodPost, "/control/retention", platform.ControlRequest{Records: records}, nil)
}

// SetKeyRetention is SetRetention for the stream of keys alone.
func (p Platform) SetKeyRetention(records int64) {
	p.report.Helper()
	p.mustDo(http.MethodPost, "/control/retention", platform.ControlRequest{Stream: "keys", Records: records}, nil)
}

// SetVMsLag sets how far the list of VMs lags behind changes.
func (p Platform) SetVMsLag(lag time.Duration) {
	p.report.Helper()
	p.mustDo(http.MethodPost, "/control/vms_lag", platform.ControlRequest{MS: lag.Milliseconds()}, nil)
}

// PutVM adds or replaces a VM in the list of VMs.
func (p Platform) PutVM(vm platform.VM) {
	p.report.Helper()
	p.mustDo(http.MethodPut, "/control/vms", platform.VMChange{Put: &vm}, nil)
}

// DeleteVM removes a VM from the list of VMs.
func (p Platform) DeleteVM(id string) {
	p.report.Helper()
	p.mustDo(http.MethodPut, "/control/vms", platform.VMChange{Delete: id}, nil)
}

// VMs returns the list of VMs that processes currently get.
func (p Platform) VMs() ([]platform.VM, error) {
	var list platform.VMChange
	err := doJSON(http.MethodGet, p.URL()+"/vms", "", nil, &list)
	return list.VMs, err
}

// Steps returns the record of a group's steps kept by the platform stand-in.
func (p Platform) Steps(group string) platform.FabricRecord {
	p.report.Helper()
	var record platform.FabricRecord
	p.mustDo(http.MethodGet, "/fabric/"+group+"/record", nil, &record)
	return record
}

// Backend is an engine or a plain service.
type Backend struct{ *StandIn }

// Ledger returns the runs of all calls of a plain service.
func (b Backend) Ledger() []service.LedgerLine {
	b.report.Helper()
	var ledger []service.LedgerLine
	b.mustDo(http.MethodGet, "/control/ledger", nil, &ledger)
	return ledger
}

// SetBehaviour sets how a plain service handles calls.
func (b Backend) SetBehaviour(behaviour service.Behaviour) {
	b.report.Helper()
	b.mustDo(http.MethodPost, "/control/behaviour", behaviour, nil)
}

// Record returns what an engine has recorded about its own load.
func (b Backend) Record() engine.Record {
	b.report.Helper()
	var record engine.Record
	b.mustDo(http.MethodGet, "/control/record", nil, &record)
	return record
}

// Held returns what an engine has loaded on orders.
func (b Backend) Held() engine.HeldWeights {
	b.report.Helper()
	var held engine.HeldWeights
	b.mustDo(http.MethodGet, "/engine/version", nil, &held)
	return held
}

// Order sends an order to an engine directly, bypassing its agent, and returns the engine's error.
func (b Backend) Order(order engine.LoadOrder) error {
	return doJSON(http.MethodPost, b.URL()+"/engine/orders", "", order, nil)
}

// TurnCold makes a warm engine cold without any notice to its agent. Requests that begin within the
// grace period do not count as overload.
func (b Backend) TurnCold(grace time.Duration) {
	b.report.Helper()
	b.mustDo(http.MethodPost, "/control/cold", map[string]any{"grace_ms": grace.Milliseconds()}, nil)
}

// SetPopularity sets the number of tokens per second for each expert.
func (b Backend) SetPopularity(tokens []float64) {
	b.report.Helper()
	b.mustDo(http.MethodPost, "/control/experts", engine.ExpertTokens{Tokens: tokens}, nil)
}

// SetSlowdowns sets the slowdown of each of the engine's ranks, and the popularity of the experts.
func (b Backend) SetSlowdowns(tokens, slowdowns []float64) {
	b.report.Helper()
	b.mustDo(http.MethodPost, "/control/experts", engine.ExpertTokens{Tokens: tokens, Slowdowns: slowdowns}, nil)
}

// CountRuns returns the number of runs of each call in a ledger.
func CountRuns(ledger []service.LedgerLine) map[string]int {
	runs := map[string]int{}
	for _, run := range ledger {
		runs[run.Key]++
	}
	return runs
}
