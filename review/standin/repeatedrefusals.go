package main

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"
)

// repeatedRefusals: three workers of five send 3 in 100 of their answers twice, for 5 s and three times: those
// that refuse a request because they are full. The second answer arrives late, at the point where the next one is expected.
func repeatedRefusals(f *fleet) ([]string, error) {
	var err error
	if f.store, err = newStore(f.newIP()); err != nil {
		return nil, err
	}
	const workers, faulty, windows, windowInterval = 5, 3, 3, 8 * time.Second
	first := time.Now().Add(settleTime + 3*time.Second)
	for i := range workers {
		flags := []string{"-concurrency", "6", "-queue", "1"}
		if f.trouble && i < faulty {
			flags = append(flags, "-repeat-share", "0.03")
			for n := range windows {
				flags = append(flags, "-repeat-from", strconv.FormatInt(first.Add(time.Duration(n)*windowInterval).UnixMilli(), 10))
			}
			if os.Getenv("REPEAT_ID") == "1" {
				flags = append(flags, "-repeat-id")
			}
		}
		if _, err := f.startWorker(fmt.Sprintf("i-%d", i+1), []string{"zone-a", "zone-b"}[i%2], flags...); err != nil {
			return nil, err
		}
	}
	f.configure(1)
	if err := f.startGateways(gatewayCount); err != nil {
		return nil, err
	}
	f.run(load{callers: 32, pause: 40 * time.Millisecond, until: first.Add(windows * windowInterval), next: func() request {
		return request{"POST", "/chat/1?pieces=8&ms=20", 8 * time.Second}
	}})
	time.Sleep(time.Second)
	runs := make(map[string][]string)
	var broken []string
	for i := range workers {
		id := fmt.Sprintf("i-%d", i+1)
		for _, l := range f.collect(id) {
			if fields := strings.Fields(l); len(fields) > 4 && fields[3] == "run" {
				runs[fields[4]] = append(runs[fields[4]], id)
			}
		}
	}
	for attempt, at := range runs {
		if len(at) > 1 {
			broken = append(broken, fmt.Sprintf("%s, a stream that may not be resumed, ran %d times, at %v", attempt, len(at), at))
		}
	}
	sort.Strings(broken)
	return broken, nil
}
