package slopes

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/answer"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/coord/fresh"
	"github.com/apricothub/apricothub/coord/ticket"
	"github.com/apricothub/apricothub/decide/admit"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/platform"
)

// heapPerUnit holds the heap bytes, measured in this process, that one more item of each kind
// takes.
type heapPerUnit struct {
	customer, admissionCustomer, plan           float64
	backend, heardMember, vm, link              float64
	ticketBlock, usedTicket, forgottenTicket    float64
	answer, answerPart                          float64
	snapshotCustomer, change, status, heartbeat float64 // bytes of messages
}

// partBytes is the size of one streamed token as an engine sends it, including the JSON around it.
const partBytes = 200

func measureMemory() heapPerUnit {
	m := heapPerUnit{
		customer:          bytesPerUnit(func(n int) any { return newFold(n, 1) }, 1000, 7300, 14600),
		admissionCustomer: bytesPerUnit(newAdmitter, 1000, 7300, 14600),
		plan:              bytesPerUnit(func(n int) any { return newFold(1, n) }, 100, 1000, 2000),
		backend:           bytesPerUnit(newBackends, 370, 3700),
		heardMember:       bytesPerUnit(func(n int) any { return newTracker(n) }, 490, 4190),
		vm:                bytesPerUnit(newVMs, 490, 4190),
		ticketBlock:       bytesPerUnit(newTicketBlocks, 256, 1024),
		usedTicket:        bytesPerUnit(func(n int) any { return newLedger(n, false) }, 10000, 60000),
		forgottenTicket:   bytesPerUnit(func(n int) any { return newLedger(n, true) }, 10000, 60000),
		answer:            bytesPerUnit(func(n int) any { return newAnswers(n, 0) }, 500, 2000),
		answerPart:        bytesPerUnit(func(n int) any { return newAnswers(1, n) }, 10000, 40000),
		snapshotCustomer:  snapshotBytesPerCustomer(),
		change:            float64(len(listChange(1, customerSections(1)))),
		status:            float64(proto.Size(&api.Control{Body: &api.Control_Status{Status: statusReport()}})),
		heartbeat:         float64(proto.Size(heartbeat())),
	}
	// Links come last: the stacks of closed links shrink for a while, which makes later
	// measurements too small, even negative for a block of tickets.
	m.link = bytesPerLinkEnd()
	return m
}

// bytesPerUnit returns the heap bytes per item, by a least-squares fit over the sizes.
func bytesPerUnit(build func(n int) any, sizes ...int) float64 {
	var x, y []float64
	for _, n := range sizes {
		before := heapInUse()
		object := build(n)
		y = append(y, heapInUse()-before)
		x = append(x, float64(n))
		runtime.KeepAlive(object)
	}
	_, slope := fitLine(x, y)
	return slope
}

// heapInUse returns the reachable heap bytes, including stacks.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func indexedName(kind string, i int) string { return fmt.Sprintf("%s-%05d", kind, i) }

func customerSections(n int) []*api.Section {
	sections := make([]*api.Section, n)
	for i := range sections {
		key := sha256.Sum256([]byte(indexedName("key", i)))
		sections[i] = &api.Section{Name: "customer " + indexedName("team", i), Body: &api.Section_Customer{Customer: &api.Customer{
			KeySha256: []string{hex.EncodeToString(key[:])}, Plan: indexedName("plan", 0), Weight: 1, Burst: 32, Rate: 10,
		}}}
	}
	return sections
}

func planSections(n int) []*api.Section {
	sections := make([]*api.Section, n)
	for i := range sections {
		sections[i] = &api.Section{Name: "plan " + indexedName("plan", i), Body: &api.Section_Plan{Plan: &api.Plan{
			Models: []string{"price-writer", "menu-writer"}, Services: []string{"labels"}, Share: 1,
		}}}
	}
	return sections
}

// listChange returns a log record that sets sections of a list.
func listChange(list api.ListName, set []*api.Section) []byte {
	data, err := proto.Marshal(&api.Record{
		ChangeId: "0123456789abcdef" + fmt.Sprint(list), Author: "operator", PublishedMs: 1 << 40,
		Body: &api.Record_List{List: &api.ListChange{List: list, Base: -1, Set: set}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// newFold returns a member's configuration as read from the log.
func newFold(customerCount, planCount int) *config.Fold {
	f := config.NewFold()
	uses := listChange(api.ListName_LIST_USES, planSections(planCount))
	teams := listChange(api.ListName_LIST_PLANS, customerSections(customerCount))
	for offset, data := range [][]byte{uses, teams} {
		if err := f.Apply(int64(offset), data); err != nil {
			panic(err)
		}
	}
	f.View()
	return f
}

func snapshotBytesPerCustomer() float64 {
	var x, y []float64
	for _, n := range []int{1000, 7300} {
		x = append(x, float64(n))
		y = append(y, float64(proto.Size(newFold(n, 1).Snapshot())))
	}
	_, slope := fitLine(x, y)
	return slope
}

func newAdmitter(n int) any {
	a := admit.New(admit.Config{})
	shares := make([]admit.CustomerShare, n)
	for i := range shares {
		shares[i] = admit.CustomerShare{Name: indexedName("team", i), Plan: "plan", Weight: 1, Burst: 32}
	}
	a.SetPlans([]admit.PlanShare{{Name: "plan", Share: 1}}, shares)
	return a
}

// newBackends returns what an entry holds for backend servers besides their links: their reports,
// their state in the placement table, and a block of tickets of each.
func newBackends(n int) any {
	table := place.NewTable(rand.New(rand.NewPCG(1, 1)), place.Config{})
	minter := ticket.NewMinter()
	reports := make(map[string]*api.BackendStatus, n)
	servers := make([]place.Server, n)
	for i := range servers {
		vm := indexedName("vm", i)
		servers[i] = place.Server{VM: vm, Domain: fmt.Sprint(i % 12), Offers: []string{"model:m", "model:m@1"}, Weight: 1}
		reports[vm] = statusReport()
		ledger := ticket.NewLedger(vm, indexedName("incarnation", i), []byte("key"), ticket.Limits{})
		minter.Add(0, ledger.Grant(0))
	}
	table.SetServers(servers)
	return []any{table, minter, reports}
}

func statusReport() *api.BackendStatus {
	return &api.BackendStatus{
		Seq: 1 << 20, Model: "price-writer", ModelVersion: "1", Limit: 32, Running: 20, Queued: 2, FullLimit: 32, WorkUs: 27e6,
	}
}

func heartbeat() *api.Control {
	knowledge := &api.Knowledge{Applied: 1 << 20, EvidenceAgeMs: 400, Ready: true, Initialized: true, QuorumAgeMs: 400}
	return &api.Control{Body: &api.Control_Heartbeat{Heartbeat: &api.Heartbeat{Seq: 1 << 20, Echo: 1 << 20, Knowledge: knowledge}}}
}

// newTracker returns a tracker that has received knowledge from n members.
func newTracker(n int) *fresh.Tracker {
	t := fresh.New(indexedName("vm", 0), 2*time.Second)
	vms := make([]string, n)
	for i := range vms {
		vms[i] = indexedName("vm", i)
	}
	t.SetEntries(vms[:max(1, n/9)])
	t.SetMembers(vms)
	t.ConfirmTail(0)
	for _, vm := range vms {
		t.HandleKnowledge(vm, time.Second, heartbeat().GetHeartbeat().GetKnowledge(), 1<<20)
	}
	return t
}

// newVMs returns the platform's list of VMs as a member keeps it.
func newVMs(n int) any { return parseVMs(vmListJSON(n)) }

func parseVMs(list []byte) []platform.VM {
	var vms []platform.VM
	if err := json.Unmarshal(list, &vms); err != nil {
		panic(err)
	}
	return vms
}

func vmListJSON(n int) []byte {
	vms := make([]platform.VM, n)
	for i := range vms {
		vms[i] = platform.VM{
			ID: indexedName("vm", i), Role: "backend", FailureDomain: "us-south-a", Link: "10.100.200.30:7400",
			Group: indexedName("group", i/32), State: "live",
		}
	}
	data, err := json.Marshal(vms)
	if err != nil {
		panic(err)
	}
	return data
}

func newTicketBlocks(n int) any {
	l := ticket.NewLedger("vm", "incarnation", []byte("key"), ticket.Limits{})
	for range n {
		l.Grant(0)
	}
	return l
}

// newLedger returns a ledger with n used tickets, whose answers are still held unless forgotten is
// set.
func newLedger(n int, forgotten bool) any {
	l := ticket.NewLedger("vm", "incarnation", []byte("key"), ticket.Limits{})
	minter := ticket.NewMinter()
	for i := range n {
		if minter.NeedsBlock(0, "vm") {
			minter.Add(0, l.Grant(0))
		}
		t, _ := minter.Mint(0, "vm", "team")
		l.Begin(0, t, "team", sha256.Sum256([]byte(fmt.Sprint(i))), fmt.Sprintf("vm:incarnation:%d", i))
		if forgotten {
			l.RecordOutcome(t, api.Ran_RAN_YES)
			l.ForgetAnswer(t)
		}
	}
	return l
}

func newAnswers(n, parts int) any {
	s := answer.NewStore(1<<32, time.Minute)
	for i := range n {
		b, err := s.Add(fmt.Sprintf("vm:incarnation:%d", i), "team")
		if err != nil {
			panic(err)
		}
		s.SetHead(b, &api.Head{Status: 200, Headers: []*api.Header{{Name: "Content-Type", Value: "text/event-stream"}}})
		for range parts {
			if _, err := s.Append(b, make([]byte, partBytes)); err != nil {
				panic(err)
			}
		}
	}
	return s
}

// nopHandler is a link handler that does nothing.
type nopHandler struct{}

func (nopHandler) Up(*link.Session)                                   {}
func (nopHandler) Down(*link.Session, error)                          {}
func (nopHandler) Control(*link.Session, *api.Control, time.Duration) {}
func (nopHandler) Stream(*link.Session, *api.Open, *link.Stream)      {}
func (nopHandler) Heartbeat() *api.Heartbeat                          { return heartbeat().GetHeartbeat() }

// bytesPerLinkEnd returns the memory of one end of a link. Both ends are in this process.
func bytesPerLinkEnd() float64 {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	cfg := link.Config{
		Self: &api.Hello{Vm: "vm", Incarnation: "incarnation"}, Key: []byte("key"),
		HeartbeatInterval: 200 * time.Millisecond, SuspectAfter: 5 * time.Second, DeadAfter: 10 * time.Second,
	}
	go func() { _ = link.Serve(ln, cfg, nopHandler{}) }()
	var all []*link.Session
	build := func(n int) any {
		more := dialLinks(ln.Addr().String(), cfg, n)
		all = append(all, more...)
		return more
	}
	const ends = 2
	slope := bytesPerUnit(build, 50, 100, 200) / ends
	for _, s := range all {
		s.Close(nil)
	}
	return slope
}

func dialLinks(address string, cfg link.Config, n int) []*link.Session {
	sessions := make([]*link.Session, n)
	for i := range sessions {
		s, err := link.Dial(address, cfg, nopHandler{})
		if err != nil {
			panic(err)
		}
		sessions[i] = s
	}
	// Exchange some heartbeats, so that buffers reach their usual size.
	time.Sleep(time.Second)
	return sessions
}
