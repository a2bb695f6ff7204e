package slopes

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
)

// decisionTimes holds processor times in seconds, measured in this process.
type decisionTimes struct {
	heartbeat map[int]float64 // processing one heartbeat, by number of members heard, while the log answers
	change    float64         // applying one change with 7,300 customers
	snapshot  float64         // loading a snapshot with 7,300 customers
	vmList    float64         // parsing a list of 4,190 VMs
}

const (
	customersAtSize = 7300
	entriesAtSize   = 490
	agentsAtSize    = 3700
	membersAtSize   = entriesAtSize + agentsAtSize
)

// heardMemberCounts are the numbers of members heard for which a heartbeat is timed, in ascending
// order.
var heardMemberCounts = []int{24, entriesAtSize, membersAtSize}

func measureDecisions() decisionTimes {
	d := decisionTimes{heartbeat: map[int]float64{}}
	for _, n := range heardMemberCounts {
		d.heartbeat[n] = timeHeartbeat(n)
	}
	f := newFold(customersAtSize, 1)
	d.change = meanSeconds(50, func(int) {
		data := customerChange(f)
		if err := f.Apply(f.Applied()+1, data); err != nil {
			panic(err)
		}
		f.View()
	})
	snapshot := f.Snapshot()
	d.snapshot = meanSeconds(5, func(int) {
		if err := config.NewFold().Load(snapshot); err != nil {
			panic(err)
		}
	})
	list := vmListJSON(membersAtSize)
	d.vmList = meanSeconds(5, func(int) { parseVMs(list) })
	return d
}

// timeHeartbeat returns the seconds that a process takes for one heartbeat when it hears n members,
// each at the heartbeat rate of an idle link, and reads its state after each. The log answers all
// the time.
func timeHeartbeat(n int) float64 {
	t := newTracker(n)
	knowledge := heartbeat().GetHeartbeat().GetKnowledge()
	names := make([]string, n)
	for i := range names {
		names[i] = indexedName("vm", i)
	}
	now := time.Second
	return meanSeconds(5*n, func(i int) {
		now += time.Duration(float64(time.Second) / (idleHeartbeatRate * float64(n)))
		t.ConfirmTail(now)
		t.HandleKnowledge(names[i%n], now, knowledge, 1<<20)
		t.State(now)
		t.ServesUntil(now)
	})
}

// customerChange returns a log record that changes one customer.
func customerChange(f *config.Fold) []byte {
	set := customerSections(1)
	set[0].GetCustomer().Burst = 1 + f.Applied()%1000
	change := &api.ListChange{List: api.ListName_LIST_PLANS, Base: f.View().ListOffset(api.ListName_LIST_PLANS), Set: set}
	data, err := proto.Marshal(&api.Record{ChangeId: indexedName("change", int(f.Applied())), Body: &api.Record_List{List: change}})
	if err != nil {
		panic(err)
	}
	return data
}

// meanSeconds returns the mean time of n calls in seconds.
func meanSeconds(n int, f func(i int)) float64 {
	from := time.Now()
	for i := range n {
		f(i)
	}
	return time.Since(from).Seconds() / float64(n)
}
