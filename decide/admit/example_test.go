package admit_test

import (
	"fmt"
	"time"

	"github.com/apricothub/apricothub/decide/admit"
)

// Two customers of one plan share two slots. The loud customer uses both; once the calm one has a
// waiting request, the next free slot goes to it.
func Example() {
	a := admit.New(admit.Config{})
	a.SetPlans([]admit.PlanShare{{Name: "all", Share: 1}}, []admit.CustomerShare{
		{Name: "loud", Plan: "all", Weight: 1, Burst: 10},
		{Name: "calm", Plan: "all", Weight: 1, Burst: 10},
	})
	a.SetCapacity("model:x", 2)

	names := map[admit.Action]string{admit.Start: "start", admit.Wait: "wait", admit.Refuse: "refuse"}
	submit := func(id uint64, customer string) {
		d := a.Admit(time.Second, admit.Request{ID: id, Customer: customer, Offer: "model:x", Deadline: time.Minute})
		fmt.Println(id, customer, names[d.Action])
	}
	submit(1, "loud")
	submit(2, "loud")
	submit(3, "loud")
	submit(4, "calm")

	a.Done(2*time.Second, 1, time.Second)
	for _, r := range a.Next(2 * time.Second) {
		fmt.Println(r.ID, names[r.Action])
	}
	// Output:
	// 1 loud start
	// 2 loud start
	// 3 loud wait
	// 4 calm wait
	// 4 start
}
