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

// memory holds bytes of heap, in this process, for one more of each.
type memory struct {
	customer, customerShare, plan  float64
	backend, heard, vm, link       float64
	block, used, forgotten         float64
	answer, part                   float64
	snapshot, change, status, beat float64 // bytes of messages
}

// partBytes is one streamed token as an engine sends it, JSON and all.
const partBytes = 200

func measureMemory() memory {
	m := memory{
		customer:      growth(func(n int) any { return foldOf(n, 1) }, 1000, 7300, 14600),
		customerShare: growth(admitterOf, 1000, 7300, 14600),
		plan:          growth(func(n int) any { return foldOf(1, n) }, 100, 1000, 2000),
		backend:       growth(backendsOf, 370, 3700),
		heard:         growth(func(n int) any { return trackerOf(n) }, 490, 4190),
		vm:            growth(vmsOf, 490, 4190),
		block:         growth(blocksOf, 256, 1024),
		used:          growth(func(n int) any { return ledgerOf(n, false) }, 10000, 60000),
		forgotten:     growth(func(n int) any { return ledgerOf(n, true) }, 10000, 60000),
		answer:        growth(func(n int) any { return answersOf(n, 0) }, 500, 2000),
		part:          growth(func(n int) any { return answersOf(1, n) }, 10000, 40000),
		snapshot:      messageGrowth(),
		change:        float64(len(changeOf(1, customers(1)))),
		status:        float64(proto.Size(&api.Control{Body: &api.Control_Status{Status: status()}})),
		beat:          float64(proto.Size(heartbeat())),
	}
	// Last: the stacks of closed links shrink for a while, and what is measured then comes
	// out too small, a block of tickets even below nothing.
	m.link = linkGrowth()
	return m
}

// growth returns the bytes that one more unit takes, by least squares over sizes.
func growth(build func(n int) any, sizes ...int) float64 {
	var x, y []float64
	for _, n := range sizes {
		before := heap()
		held := build(n)
		y = append(y, heap()-before)
		x = append(x, float64(n))
		runtime.KeepAlive(held)
	}
	_, slope := line(x, y)
	return slope
}

// heap returns the bytes reachable, stacks included.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func name(kind string, i int) string { return fmt.Sprintf("%s-%05d", kind, i) }

func customers(n int) []*api.Section {
	sections := make([]*api.Section, n)
	for i := range sections {
		key := sha256.Sum256([]byte(name("key", i)))
		sections[i] = &api.Section{Name: "customer " + name("team", i), Body: &api.Section_Customer{Customer: &api.Customer{
			KeySha256: []string{hex.EncodeToString(key[:])}, Plan: name("plan", 0), Weight: 1, Burst: 32, Rate: 10,
		}}}
	}
	return sections
}

func plans(n int) []*api.Section {
	sections := make([]*api.Section, n)
	for i := range sections {
		sections[i] = &api.Section{Name: "plan " + name("plan", i), Body: &api.Section_Plan{Plan: &api.Plan{
			Models: []string{"price-writer", "menu-writer"}, Services: []string{"labels"}, Share: 1,
		}}}
	}
	return sections
}

// changeOf is a record that sets sections.
func changeOf(list api.ListName, set []*api.Section) []byte {
	data, err := proto.Marshal(&api.Record{
		ChangeId: "0123456789abcdef" + fmt.Sprint(list), Author: "operator", PublishedMs: 1 << 40,
		Body: &api.Record_List{List: &api.ListChange{List: list, Base: -1, Set: set}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// foldOf is a member's configuration, read from the log.
func foldOf(customerCount, planCount int) *config.Fold {
	f := config.NewFold()
	uses := changeOf(api.ListName_LIST_USES, plans(planCount))
	teams := changeOf(api.ListName_LIST_PLANS, customers(customerCount))
	for offset, data := range [][]byte{uses, teams} {
		if err := f.Apply(int64(offset), data); err != nil {
			panic(err)
		}
	}
	f.View()
	return f
}

func messageGrowth() float64 {
	var x, y []float64
	for _, n := range []int{1000, 7300} {
		x = append(x, float64(n))
		y = append(y, float64(proto.Size(foldOf(n, 1).Snapshot())))
	}
	_, slope := line(x, y)
	return slope
}

func admitterOf(n int) any {
	a := admit.New(admit.Config{})
	shares := make([]admit.CustomerShare, n)
	for i := range shares {
		shares[i] = admit.CustomerShare{Name: name("team", i), Plan: "plan", Weight: 1, Burst: 32}
	}
	a.SetPlans([]admit.PlanShare{{Name: "plan", Share: 1}}, shares)
	return a
}

// backendsOf is what an entry holds of backend servers beside their links: their
// reports, their places in the table, and a block of tickets of each.
func backendsOf(n int) any {
	table := place.NewTable(rand.New(rand.NewPCG(1, 1)), place.Config{})
	minter := ticket.NewMinter()
	reports := make(map[string]*api.BackendStatus, n)
	servers := make([]place.Server, n)
	for i := range servers {
		vm := name("vm", i)
		servers[i] = place.Server{VM: vm, Domain: fmt.Sprint(i % 12), Offers: []string{"model:m", "model:m@1"}, Weight: 1}
		reports[vm] = status()
		ledger := ticket.NewLedger(vm, name("incarnation", i), []byte("key"), ticket.Limits{})
		minter.Add(0, ledger.Grant(0))
	}
	table.SetServers(servers)
	return []any{table, minter, reports}
}

func status() *api.BackendStatus {
	return &api.BackendStatus{
		Seq: 1 << 20, Model: "price-writer", ModelVersion: "1", Limit: 32, Running: 20, Queued: 2, FullLimit: 32, WorkUs: 27e6,
	}
}

func heartbeat() *api.Control {
	knowledge := &api.Knowledge{Applied: 1 << 20, EvidenceAgeMs: 400, Ready: true, Initialized: true, QuorumAgeMs: 400}
	return &api.Control{Body: &api.Control_Heartbeat{Heartbeat: &api.Heartbeat{Seq: 1 << 20, Echo: 1 << 20, Knowledge: knowledge}}}
}

// trackerOf has heard from n members.
func trackerOf(n int) *fresh.Tracker {
	t := fresh.New(name("vm", 0), 2*time.Second)
	vms := make([]string, n)
	for i := range vms {
		vms[i] = name("vm", i)
	}
	t.SetEntries(vms[:max(1, n/9)])
	t.SetMembers(vms)
	t.ConfirmTail(0)
	for _, vm := range vms {
		t.HandleKnowledge(vm, time.Second, heartbeat().GetHeartbeat().GetKnowledge(), 1<<20)
	}
	return t
}

// vmsOf is the platform's list as a member keeps it.
func vmsOf(n int) any { return parse(listOf(n)) }

func parse(list []byte) []platform.VM {
	var vms []platform.VM
	if err := json.Unmarshal(list, &vms); err != nil {
		panic(err)
	}
	return vms
}

func listOf(n int) []byte {
	vms := make([]platform.VM, n)
	for i := range vms {
		vms[i] = platform.VM{
			ID: name("vm", i), Role: "backend", FailureDomain: "us-south-a", Link: "10.100.200.30:7400",
			Group: name("group", i/32), State: "live",
		}
	}
	data, err := json.Marshal(vms)
	if err != nil {
		panic(err)
	}
	return data
}

func blocksOf(n int) any {
	l := ticket.NewLedger("vm", "incarnation", []byte("key"), ticket.Limits{})
	for range n {
		l.Grant(0)
	}
	return l
}

// ledgerOf has n used tickets, with their answers held or not.
func ledgerOf(n int, forgotten bool) any {
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

func answersOf(n, parts int) any {
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

// idle is a handler that does nothing.
type idle struct{}

func (idle) Up(*link.Session)                                   {}
func (idle) Down(*link.Session, error)                          {}
func (idle) Control(*link.Session, *api.Control, time.Duration) {}
func (idle) Stream(*link.Session, *api.Open, *link.Stream)      {}
func (idle) Heartbeat() *api.Heartbeat                          { return heartbeat().GetHeartbeat() }

// linkGrowth is the memory of one end of a link. Both ends are in this process.
func linkGrowth() float64 {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	cfg := link.Config{
		Self: &api.Hello{Vm: "vm", Incarnation: "incarnation"}, Key: []byte("key"),
		HeartbeatInterval: 200 * time.Millisecond, SuspectAfter: 5 * time.Second, DeadAfter: 10 * time.Second,
	}
	go func() { _ = link.Serve(ln, cfg, idle{}) }()
	var all []*link.Session
	build := func(n int) any {
		more := links(ln.Addr().String(), cfg, n)
		all = append(all, more...)
		return more
	}
	const ends = 2
	slope := growth(build, 50, 100, 200) / ends
	for _, s := range all {
		s.Close(nil)
	}
	return slope
}

func links(address string, cfg link.Config, n int) []*link.Session {
	sessions := make([]*link.Session, n)
	for i := range sessions {
		s, err := link.Dial(address, cfg, idle{})
		if err != nil {
			panic(err)
		}
		sessions[i] = s
	}
	// Some heartbeats, so that buffers have their usual size.
	time.Sleep(time.Second)
	return sessions
}
