package throttle_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apricothub/apricothub/decide/throttle"
)

// A server states a limit of two requests a second in its answer to this entry, the only one.
func ExampleLimits() {
	const server = 1
	limits := throttle.New("10.0.0.1", rand.New(rand.NewPCG(1, 1)))
	stated := 2.0
	limits.RecordAnswer(server, &stated, 0, 0)
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		if limits.Allow(server, now) {
			sent++
		}
	}
	fmt.Println(sent, "requests in 10 s")
	// Output: 20 requests in 10 s
}
