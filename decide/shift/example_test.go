package shift_test

import (
	"fmt"
	"time"

	"github.com/apricothub/apricothub/decide/shift"
)

// A failure domain leaves at short notice and comes back: new requests stop within a second and
// return over ten.
func Example() {
	s := shift.New(shift.Config{})
	s.Leave(10*time.Second, "a")
	fmt.Printf("%.2f\n", s.Weight(11*time.Second, "a"))
	s.Return(60*time.Second, "a")
	for _, at := range []time.Duration{60, 65, 71} {
		fmt.Printf("%.2f\n", s.Weight(at*time.Second, "a"))
	}
	// Output:
	// 0.00
	// 0.05
	// 0.53
	// 1.00
}
