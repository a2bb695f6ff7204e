package harness

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/standin/platform"
)

const (
	// AdminToken is the operators' token for all processes.
	AdminToken = "operator-token-of-the-test"
	// Key is the API key of the customer bluebonnet.
	Key = "bluebonnet-key"
	// OtherKey is the API key of the customer lakeshore.
	OtherKey = "lakeshore-key"
	// Model is the model that all engines serve.
	Model = "price-writer"
	// Service is the service that all plain services offer.
	Service = "labels"

	linkKey = "link-key-of-the-test"
	// readyTimeout limits the wait for a process to become ready.
	readyTimeout = 15 * time.Second
)

// Spec describes the processes of a cluster.
type Spec struct {
	// Bin is the directory of the binaries.
	Bin string
	// Dir is an existing directory for settings and logs.
	Dir string
	// Domains are the failure domains; VMs are assigned to them round robin.
	Domains []string
	Entries int
	// Engines and Services are the numbers of backend servers, each with its own agent.
	Engines  int
	Services int
	// EngineFlags are additional flags of each engine.
	EngineFlags []string
	// Entry and Agent are additional settings of each entry and each agent.
	Entry Settings
	Agent Settings
	// Group, if not empty, is the name of one group of all engines, with Ranks ranks on each.
	Group string
	Ranks int
	// Direct connects processes without forwarders, for measurements: no link is broken, and
	// traffic must not pass through the test process.
	Direct bool
	// EntryEnv and AgentEnv hold additional environment variables of entries and agents.
	EntryEnv, AgentEnv []string
	// Descriptors limits the open descriptors of each entry and agent; zero for no limit.
	Descriptors int
}

// Member is an entry or an agent, with its addresses, settings and backend server.
type Member struct {
	*Process
	VM     string
	Domain string
	// Link, Admin and Public are the addresses of the process. Only an entry has a Public one.
	Link   string
	Admin  string
	Public string
	// Offer is the model or service of an agent's backend server in the list of VMs.
	Offer string
	// View is the platform as this process sees it.
	View *View
	// Backend is the backend server of an agent; BackendLink forwards between the two.
	Backend     *Backend
	BackendLink *Forwarder

	settings     Settings
	settingsFile string
}

// Cluster is a complete system of processes on loopback.
type Cluster struct {
	Spec
	Platform Platform
	Entries  []*Member
	Agents   []*Member

	report Reporter
}

// StartCluster starts the stand-ins, all entries and all agents, publishes the lists of uses and
// plans, and waits until every process is ready and linked.
func StartCluster(report Reporter, spec Spec) *Cluster {
	report.Helper()
	c := &Cluster{Spec: spec, report: report}
	c.Platform = Platform{StartStandIn(report, spec.Bin, spec.Dir, "platform", "platform")}
	for i := range spec.Entries {
		c.Entries = append(c.Entries, c.newEntry(i))
	}
	for i := range spec.Engines {
		c.Agents = append(c.Agents, c.newAgent("engine", i))
	}
	for i := range spec.Services {
		c.Agents = append(c.Agents, c.newAgent("service", i))
	}
	c.publish()
	for _, m := range c.Members() {
		c.WaitReady(m)
	}
	for _, m := range c.Entries {
		c.WaitLinked(m)
	}
	return c
}

// Members returns all entries and agents.
func (c *Cluster) Members() []*Member {
	return append(append([]*Member{}, c.Entries...), c.Agents...)
}

// EngineAgents returns the agents of engines.
func (c *Cluster) EngineAgents() []*Member { return c.Agents[:c.Spec.Engines] }

// ServiceAgents returns the agents of plain services.
func (c *Cluster) ServiceAgents() []*Member { return c.Agents[c.Spec.Engines:] }

// Member returns the member on a VM; the test fails if there is none.
func (c *Cluster) Member(vm string) *Member {
	for _, m := range c.Members() {
		if m.VM == vm {
			return m
		}
	}
	c.report.Fatalf("no VM %s", vm)
	return nil
}

// MembersInDomain returns the members of a failure domain.
func (c *Cluster) MembersInDomain(domain string) []*Member {
	var members []*Member
	for _, m := range c.Members() {
		if m.Domain == domain {
			members = append(members, m)
		}
	}
	return members
}

func (c *Cluster) newMember(vm string, i int) *Member {
	return &Member{
		VM:     vm,
		Domain: c.Domains[i%len(c.Domains)],
		Link:   Address(c.report),
		Admin:  Address(c.report),
		View:   newView(c),
	}
}

// settings returns the settings that entries and agents have in common.
func (c *Cluster) settings(m *Member) Settings {
	return Settings{
		"self":     {"vm": m.VM, "failure-domain": m.Domain},
		"listen":   {"link": m.Link, "admin": m.Admin, "admin-token": AdminToken},
		"platform": {"url": m.View.URL, "poll-ms": "100"},
		"link":     {"key": linkKey},
	}
}

func (c *Cluster) newEntry(i int) *Member {
	m := c.newMember(fmt.Sprintf("entry-%d", i+1), i)
	m.Public = Address(c.report)
	settings := c.settings(m).With(Settings{"listen": {"public": m.Public}}).With(c.Spec.Entry)
	c.Platform.PutVM(platform.VM{
		ID: m.VM, Role: "entry", FailureDomain: m.Domain, Link: m.Link, Public: m.Public, State: "live",
	})
	c.start(m, "entry", settings)
	return m
}

func (c *Cluster) newAgent(kind string, i int) *Member {
	m := c.newMember(fmt.Sprintf("%s-%d", kind, i+1), i)
	m.Offer = offerOfKind(kind)
	backend := map[string]string{"model": Model, "model-version": "1"}
	flags := append([]string{"-platform", c.Platform.URL()}, c.EngineFlags...)
	group := map[string]string{}
	if kind == "service" {
		backend = map[string]string{"service": Service}
		flags = nil
	} else if c.Group != "" {
		flags = append(flags, c.rankFlags(i)...)
		group = c.groupSettings(i)
	}
	m.Backend = &Backend{StartStandIn(c.report, c.Bin, c.Dir, m.VM+"-backend", kind, flags...)}
	m.BackendLink = NewForwarder(c.report, m.Backend.Address)
	backend["url"] = "http://" + m.BackendLink.Address
	if c.Direct {
		backend["url"] = m.Backend.URL()
	}
	settings := c.settings(m).With(Settings{"backend": backend, "group": group}).With(c.Spec.Agent)
	c.Platform.PutVM(platform.VM{
		ID: m.VM, Role: "backend", FailureDomain: m.Domain, Link: m.Link, Group: group["name"], State: "live",
		Offer: m.Offer,
	})
	c.start(m, "agent", settings)
	return m
}

// offerOfKind returns the offer in the list of VMs of an engine or a plain service.
func offerOfKind(kind string) string {
	if kind == "service" {
		return "service:" + Service
	}
	return "model:" + Model
}

func (c *Cluster) groupSettings(i int) map[string]string {
	return map[string]string{
		"name":       c.Group,
		"first-rank": strconv.Itoa(i * c.Ranks),
		"ranks":      strconv.Itoa(c.Ranks),
		"size":       strconv.Itoa(c.Spec.Engines * c.Ranks),
	}
}

func (c *Cluster) rankFlags(i int) []string {
	s := c.groupSettings(i)
	return []string{"-group", s["name"], "-first-rank", s["first-rank"], "-ranks", s["ranks"], "-group-size", s["size"]}
}

func (c *Cluster) start(m *Member, role string, settings Settings) {
	m.settings = settings
	m.settingsFile = WriteFile(c.report, c.Dir, m.VM+".ini", settings.String())
	env := c.AgentEnv
	if role == "entry" {
		env = c.EntryEnv
	}
	command := []string{c.Bin + "/apricothub", role, "-c", m.settingsFile}
	if c.Descriptors > 0 {
		command = append([]string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, c.Descriptors)}, command...)
	}
	m.Process = StartWithEnv(c.report, env, c.Dir, m.VM, command[0], command[1:]...)
}

// Setting returns the value of one setting.
func (m *Member) Setting(section, key string) string { return m.settings[section][key] }

// OverrideSettings replaces settings of a process; they apply at its next start.
func (c *Cluster) OverrideSettings(m *Member, settings Settings) {
	c.report.Helper()
	m.settings = m.settings.With(settings)
	m.settingsFile = WriteFile(c.report, c.Dir, m.VM+".ini", m.settings.String())
}

// Ready returns nil if the process reports that it is ready.
func (m *Member) Ready() error {
	return doJSONWith(statusClient, http.MethodGet, "http://"+m.Admin+adminapi.PathReady, AdminToken, nil, nil)
}

// WaitReady waits until a process is ready. The test fails if the process exits.
func (c *Cluster) WaitReady(m *Member) {
	c.report.Helper()
	Eventually(c.report, readyTimeout, m.VM+" is ready", func() error {
		c.requireRunning(m)
		return m.Ready()
	})
}

// requireRunning fails the test if a process has exited.
func (c *Cluster) requireRunning(m *Member) {
	c.report.Helper()
	select {
	case <-m.Ended():
		c.report.Fatalf("%s has exited: %s", m.VM, m.Tail())
	default:
	}
}

// Status returns the process's view of the system, from its admin API.
func (m *Member) Status() (adminapi.Status, error) {
	var status adminapi.Status
	err := doJSONWith(statusClient, http.MethodGet, "http://"+m.Admin+adminapi.PathStatus, AdminToken, nil, &status)
	return status, err
}

// agentsPerEntry returns the number of agents that each entry links to.
func (c *Cluster) agentsPerEntry() int {
	perOffer, _ := strconv.Atoi(c.Spec.Entry["link"]["agents-per-offer"])
	if perOffer == 0 {
		return len(c.Agents)
	}
	return min(perOffer, c.Spec.Engines) + min(perOffer, c.Spec.Services)
}

// WaitLinked waits until an entry reports that all backend servers it should be linked to accept
// work.
func (c *Cluster) WaitLinked(m *Member) {
	c.report.Helper()
	Eventually(c.report, readyTimeout, m.VM+" is linked to all agents", func() error {
		status, err := m.Status()
		if err != nil {
			return err
		}
		ready := 0
		for _, backend := range status.Backends {
			if backend.Refusing == "" {
				ready++
			}
		}
		if want := c.agentsPerEntry(); ready < want {
			return errors.Errorf("%d of %d backend servers accept work", ready, want)
		}
		return nil
	})
}

// publish publishes the lists of uses and plans, retrying until the first entry's admin API
// answers.
func (c *Cluster) publish() {
	c.report.Helper()
	uses := WriteFile(c.report, c.Dir, "uses.ini", UsesList)
	plans := WriteFile(c.report, c.Dir, "plans.ini", PlansList())
	until := "in-force"
	if c.agentsPerEntry() < len(c.Agents) {
		// An entry receives no acknowledgement from agents that it is not linked to.
		until = "accepted"
	}
	Eventually(c.report, readyTimeout, "the lists are published", func() error {
		c.requireRunning(c.Entries[0])
		for list, file := range map[string]string{"uses": uses, "plans": plans} {
			if out, status := c.Operate("publish", list, file, "-x", until); status != 0 {
				return errors.Errorf("publish %s: exit status %d: %s", list, status, out)
			}
		}
		return nil
	})
}

// DumpLogs copies the end of each process's log into the test log, for failed tests.
func (c *Cluster) DumpLogs() {
	for _, m := range c.Members() {
		c.report.Logf("%s:\n%s", m.Name, m.Tail())
	}
}

// KeepDirEnv is the environment variable that names a directory in which settings and logs are kept
// after the test.
const KeepDirEnv = "APRICOTHUB_TEST_DIR"

// NewDir creates a directory for one test. It is removed at the end of the test unless KeepDirEnv
// is set; then it is created below that directory and kept.
func NewDir(report Reporter, name string) string {
	report.Helper()
	dir, err := os.MkdirTemp(os.Getenv(KeepDirEnv), "apricothub-"+name+"-")
	if err != nil {
		report.Fatalf("%v", err)
	}
	if os.Getenv(KeepDirEnv) == "" {
		report.Cleanup(func() { _ = os.RemoveAll(dir) })
	}
	return dir
}
