package rollout_test

import (
	"fmt"

	"github.com/apricothub/apricothub/decide/rollout"
)

// Three engines are updated to version 2 one at a time, and none while another is loading.
func Example() {
	servers := []rollout.Server{
		{VM: "vm-1", Domain: "a", Version: "1", Limit: 16, Requests: 10},
		{VM: "vm-2", Domain: "b", Version: "1", Limit: 16, Requests: 10},
		{VM: "vm-3", Domain: "c", Version: "1", Limit: 16, Requests: 10},
	}
	target := rollout.Target{Version: "2", Fence: 7}
	fmt.Println(rollout.NextToLoad(servers, target))
	servers[0].Loading, servers[0].OrderFence = true, 7
	fmt.Println(rollout.NextToLoad(servers, target))
	servers[0] = rollout.Server{VM: "vm-1", Domain: "a", Version: "2", Limit: 16, Requests: 10}
	fmt.Println(rollout.NextToLoad(servers, target))
	// Output:
	// [vm-1]
	// []
	// [vm-2]
}
