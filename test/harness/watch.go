package harness

import (
	"fmt"
	"sync"
	"time"
)

// watchInterval is the time between two looks at all processes.
const watchInterval = 50 * time.Millisecond

// Watch looks at what every process shows of the lists, until Stop.
type Watch struct {
	cluster *Cluster
	stop    chan struct{}
	watcher sync.WaitGroup

	newest     map[string]int64
	violations []string
	checks     int
}

// StartWatch begins to watch that no ready process ever shows an older version of
// a list than its VM has shown before, in this process or in one it replaced.
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

// Stop ends the watch and returns what it saw that must not be, and the number of
// answers it looked at.
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
				w.violations = append(w.violations, fmt.Sprintf("%s shows offset %d after %d", key, list.Offset, w.newest[key]))
			}
			w.newest[key] = max(w.newest[key], list.Offset)
		}
	}
}
