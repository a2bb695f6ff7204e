package urgency_test

import (
	"fmt"

	"github.com/apricothub/apricothub/decide/urgency"
)

// 300 requests compete for 100 slots: 40 urgent ones, 60 usual ones and 200 of bulk.
func ExampleDivide() {
	ratios := urgency.Divide(urgency.Demand{0: 40, 1: 60, 2: 200}, 100)
	_, isLimited := ratios[0]
	fmt.Printf("urgent limited: %v, usual %.2f, bulk %.2f\n", isLimited, ratios[1], ratios[2])
	// Output:
	// urgent limited: false, usual 0.83, bulk 0.05
}
