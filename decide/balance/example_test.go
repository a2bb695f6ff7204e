package balance_test

import (
	"fmt"
	"time"

	"github.com/apricothub/apricothub/decide/balance"
)

// One of eight experts becomes popular. The balancer gives it more replicas, since all ranks wait
// for the busiest in each step.
func Example() {
	placement, _ := balance.NewPlacement(8, 4, 3)
	balancer := balance.New(balance.Config{}, placement, 0)
	tokens := []float64{50, 10, 10, 10, 10, 10, 10, 10}
	decided := 0
	for now := time.Second; now <= 20*time.Second; now += time.Second {
		balancer.Observe(now, tokens)
		if next, ok := balancer.Decide(now); ok {
			placement = next
			decided++
		}
	}
	fmt.Println("decided:", decided > 0)
	fmt.Println("replicas of the popular expert:", placement.Replicas()[0])
	fmt.Printf("skew: %.2f\n", balance.Skew(placement.Loads(balancer.Popularity())))
	// Output:
	// decided: true
	// replicas of the popular expert: 3
	// skew: 1.00
}
