package rest_test

import (
	"fmt"
	"time"

	"github.com/apricothub/apricothub/decide/rest"
)

// A server refuses a request and asks for three seconds of rest. The first request after that is the trial.
func ExampleTracker() {
	tracker := rest.New()
	tracker.RecordAnswer("i-1", 3*time.Second, 0, 0)
	fmt.Println(tracker.Wait("i-1", time.Second))
	fmt.Println(tracker.Wait("i-1", 3*time.Second))
	tracker.RecordSent("i-1", 3*time.Second)
	fmt.Println(tracker.Wait("i-1", 3100*time.Millisecond))
	tracker.RecordAnswer("i-1", 0, 3*time.Second, 3200*time.Millisecond)
	fmt.Println(tracker.Wait("i-1", 3200*time.Millisecond))
	// Output:
	// 2s
	// 0s
	// 900ms
	// 0s
}
