package gateway

import (
	"testing"
	"time"
)

// All servers fail, and the reserve of retries is there again at each start of an entry, or is divided
// among so many entries that each one's share is rounded up.
func TestRetriesAcrossRestartsStayWithinTheBudget(t *testing.T) {
	for _, c := range []struct {
		name                   string
		live, requests, starts int
	}{
		{"restarts in series", 8, 20, 6},
		{"a whole fleet", 1044, 3, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			retries := 0
			for range c.starts * c.live {
				f := newTestFleet(3, 6, c.live, 0)
				for range c.requests {
					f.retries.countRequest("app", time.Second)
					if _, ok := f.retries.spend("app", time.Second); ok {
						retries++
					}
				}
			}
			requests := c.starts * c.live * c.requests
			if maxRetries := 0.2*float64(requests) + 92; float64(retries) > maxRetries {
				t.Errorf("%d retries of %d requests, %v at most", retries, requests, maxRetries)
			}
		})
	}
}

// All servers fail, and every request is to be retried. The retries of all entries together must
// stay within the budget that they share.
func TestRetriesOfAllEntriesStayWithinTheBudget(t *testing.T) {
	const live, requests = 8, 60
	retries := 0
	for range live {
		f := newTestFleet(3, 6, live, 0)
		for range requests {
			f.retries.countRequest("app", 0)
			if _, ok := f.retries.spend("app", 0); ok {
				retries++
			}
		}
	}
	if maxRetries := 0.2*live*requests + 92; float64(retries) > maxRetries {
		t.Errorf("%d retries, %v at most", retries, maxRetries)
	}
	if retries < live*requests/10 {
		t.Errorf("only %d retries", retries)
	}
}

// Services come and go with configurations, and their budgets pile up.
func TestBudgetsOfRemovedServicesAreForgotten(t *testing.T) {
	f := newTestFleet(3, 6, 1, 0)
	f.retries.countRequest("app", 0)
	f.retries.countRequest("gone", 0)
	f.setServers(nil, nil, serviceTable(0), entryCounts{1, 1}, 0)
	if left := f.retries.dump(); len(left) != 1 || left[0].Service != "app" {
		t.Errorf("the budgets are %+v", left)
	}
}
