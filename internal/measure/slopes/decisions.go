package slopes

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
)

// decisions holds processor time in this process, seconds.
type decisions struct {
	heard  map[int]float64 // taking one heartbeat, by members heard, while the log answers
	change float64         // applying one change with 7,300 customers
	load   float64         // loading a snapshot with 7,300 customers
	list   float64         // parsing a list of 4,190 VMs
}

const (
	customersAtSize = 7300
	entriesAtSize   = 490
	workersAtSize   = 3700
	membersAtSize   = entriesAtSize + workersAtSize
)

// heardSizes are the numbers of members that have been heard, smallest first.
var heardSizes = []int{24, entriesAtSize, membersAtSize}

func measureDecisions() decisions {
	d := decisions{heard: map[int]float64{}}
	for _, n := range heardSizes {
		d.heard[n] = heartbeats(n)
	}
	f := foldOf(customersAtSize, 1)
	d.change = timed(50, func(int) {
		data := markRecord(f)
		if err := f.Apply(f.Applied()+1, data); err != nil {
			panic(err)
		}
		f.View()
	})
	snapshot := f.Snapshot()
	d.load = timed(5, func(int) {
		if err := config.NewFold().Load(snapshot); err != nil {
			panic(err)
		}
	})
	list := listOf(membersAtSize)
	d.list = timed(5, func(int) { parse(list) })
	return d
}

// heartbeats returns the seconds that one heartbeat takes a process that hears n
// members, each five times a second, and asks for its state after each, while the log
// answers.
func heartbeats(n int) float64 {
	t := trackerOf(n)
	knowledge := heartbeat().GetHeartbeat().GetKnowledge()
	names := make([]string, n)
	for i := range names {
		names[i] = name("vm", i)
	}
	now := time.Second
	return timed(5*n, func(i int) {
		now += time.Duration(float64(time.Second) / (todayBeat * float64(n)))
		t.ConfirmTail(now)
		t.HandleKnowledge(names[i%n], now, knowledge, 1<<20)
		t.State(now)
		t.ServesUntil(now)
	})
}

// markRecord changes one customer.
func markRecord(f *config.Fold) []byte {
	set := customers(1)
	set[0].GetCustomer().Burst = 1 + f.Applied()%1000
	change := &api.ListChange{List: api.ListName_LIST_PLANS, Base: f.View().ListOffset(api.ListName_LIST_PLANS), Set: set}
	data, err := proto.Marshal(&api.Record{ChangeId: name("change", int(f.Applied())), Body: &api.Record_List{List: change}})
	if err != nil {
		panic(err)
	}
	return data
}

// timed returns the seconds of one call, the mean of n.
func timed(n int, f func(i int)) float64 {
	from := time.Now()
	for i := range n {
		f(i)
	}
	return time.Since(from).Seconds() / float64(n)
}
