package test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// crashCaller sends requests to all gateways in turn.
type crashCaller struct {
	mu sync.Mutex
	// sentAt and served are when each request was sent and whether its stream was whole.
	sentAt []time.Time
	served []bool
	// statuses counts the answers by status; 0 stands for none. quarantined counts those that blame a part
	// of the prompt.
	statuses    map[int]int
	quarantined int
}

// startCrashCaller sends a stream each interval until the function that it returns is called. parts
// returns the parts of the prompt that may be shared.
func (c *crashingSite) startCrashCaller(name string, interval time.Duration, parts func(n int) string) (*crashCaller, func()) {
	return c.startCaller(name, interval, func(n int) (path, prompt string) {
		id := fmt.Sprintf("%s-%d", name, n)
		return "/draft/" + id, parts(n) + "," + id + ":20"
	})
}

// startCaller is startCrashCaller for requests to any path; request returns the path and the prompt of
// request n. An empty prompt leaves the header out.
func (c *crashingSite) startCaller(name string, interval time.Duration, request func(n int) (path, prompt string)) (*crashCaller, func()) {
	caller := &crashCaller{statuses: make(map[int]int)}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: siteTimeout}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; !isClosed(stop); n++ {
			wg.Go(func() {
				path, prompt := request(n)
				caller.send(client, c.gateways[n%len(c.gateways)].ip, path, fmt.Sprintf("%s-%d", name, n), prompt)
			})
			time.Sleep(interval)
		}
	})
	return caller, func() {
		close(stop)
		wg.Wait()
	}
}

func (l *crashCaller) send(client *http.Client, ip, path, id, prompt string) {
	sentAt := time.Now()
	status, whole, isQuarantined := 0, false, false
	req, err := fakeplatform.NewRequest(net.JoinHostPort(ip, fakeplatform.PortCallers), path, id)
	if err == nil {
		if prompt != "" {
			req.Header.Set("Prompt-Prefix", prompt)
		}
		if resp, err := client.Do(req); err == nil {
			text, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			status = resp.StatusCode
			isQuarantined = strings.Contains(resp.Header.Get("Apricothub-Result"), api.ResultCode_PROMPT_QUARANTINED.String())
			isWhole := string(text) == "answer to "+id || strings.HasSuffix(string(text), fakeplatform.Event(crashEvents))
			whole = err == nil && status == http.StatusOK && isWhole
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentAt, l.served = append(l.sentAt, sentAt), append(l.served, whole)
	l.statuses[status]++
	if isQuarantined {
		l.quarantined++
	}
}

// share returns the share of the requests sent in a span that were served, and their number.
func (l *crashCaller) share(from, to time.Time) (float64, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, served := 0, 0
	for i, at := range l.sentAt {
		if at.After(from) && at.Before(to) {
			sent++
			if l.served[i] {
				served++
			}
		}
	}
	return float64(served) / max(float64(sent), 1), sent
}
