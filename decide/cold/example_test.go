package cold_test

import (
	"fmt"
	"time"

	"github.com/apricothub/apricothub/decide/cold"
)

// A backend server that has just started gets no more than its cold limit, however many requests
// wait.
func Example() {
	now := time.Second
	limiter := cold.New(cold.Config{ColdLimit: 2, FullLimit: 32}, now)
	started := 0
	for limiter.TryStart(now) {
		started++
	}
	fmt.Println("started:", started)

	// Requests that end with a good latency raise the limit.
	for range 200 {
		now += 100 * time.Millisecond
		for limiter.Running() > 0 {
			limiter.Done(now, cold.Outcome{Latency: 50 * time.Millisecond, Took: 100 * time.Millisecond})
		}
		for limiter.TryStart(now) {
		}
	}
	fmt.Println("warm:", limiter.Limit())
	// Output:
	// started: 2
	// warm: 32
}
