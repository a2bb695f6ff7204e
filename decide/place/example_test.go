package place_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apricothub/apricothub/decide/place"
)

// One of two backend servers is reported full. All requests go to the other one, until it has as
// many in flight as it can take.
func Example() {
	table := place.NewTable(rand.New(rand.NewPCG(1, 2)), place.Config{})
	offers := []string{"model:x"}
	table.SetServers([]place.Server{
		{VM: "vm-1", Domain: "a", Offers: offers, Weight: 1},
		{VM: "vm-2", Domain: "b", Offers: offers, Weight: 1},
	})
	table.Report("vm-1", 0, place.Report{Limit: 8, FullLimit: 8, Running: 8, Queued: 8})
	table.Report("vm-2", 0, place.Report{Limit: 8, FullLimit: 8})

	placed := map[string]int{}
	for range 8 {
		vm, _ := table.Pick(time.Millisecond, place.Request{Offer: "model:x"})
		table.Started(vm, time.Millisecond)
		placed[vm]++
	}
	fmt.Println(placed)
	// Output: map[vm-2:8]
}
