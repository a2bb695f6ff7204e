package harness

import (
	"fmt"
	"sync"
	"time"
)

// watchInterval is the time between two checks of all processes.
const watchInterval = 50 * time.Millisecond

// Watch checks the versions of the lists on all processes until Stop.
type Watch struct {
	cluster *Cluster
	stop    chan struct{}
	watcher sync.WaitGroup

	newest     map[string]int64
	violations []string
	checks     int
}

// StartWatch starts to check that no ready process reports an older version of a list than was
// reported before on the same VM, by this process or by one that it replaced.
func (c *Cluster) StartWatch() *Watch {
	w := &Watch{cluster: c, stop: make(chan struct{}), newest: map[string]int64{}}
	w.watcher.Go(func() {
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(watchInterval):
				w.check()
			}
		}
	})
	return w
}

// Stop ends the watch and returns the violations and the number of status answers checked.
func (w *Watch) Stop() (violations []string, checks int) {
	close(w.stop)
	w.watcher.Wait()
	return w.violations, w.checks
}

func (w *Watch) check() {
	for _, m := range w.cluster.Members() {
		status, err := m.Status()
		if err != nil || !status.Process.Ready {
			continue
		}
		w.checks++
		for _, list := range status.Lists {
			key := m.VM + " " + list.Name
			if list.Offset < w.newest[key] {
				w.violations = append(w.violations, fmt.Sprintf("%s is at offset %d after %d", key, list.Offset, w.newest[key]))
			}
			w.newest[key] = max(w.newest[key], list.Offset)
		}
	}
}
