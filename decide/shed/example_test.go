package shed_test

import (
	"fmt"
	"time"

	"github.com/apricothub/apricothub/decide/shed"
)

// A connection whose request is being served stays; the one that has been idle makes room for a new one.
func ExampleTable() {
	table := shed.New[string](shed.Limits{Connections: 2, Bytes: 1 << 20})
	served := table.Add("served", 1<<10, 0).Conn
	table.Move(served, shed.InFlight, 0)
	idle := table.Add("idle", 1<<10, 0).Conn
	table.Move(idle, shed.Idle, 0)
	admission := table.Add("new", 1<<10, time.Second)
	fmt.Println(admission.Closed, table.Open())
	// Output:
	// [idle] 2
}
