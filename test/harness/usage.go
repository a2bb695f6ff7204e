package harness

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Usage is the resource usage of a process. It is read from /proc; on systems without /proc it is
// zero.
type Usage struct {
	// CPU is the CPU time of all current threads, user and system.
	CPU time.Duration
	// Resident is the resident memory in bytes.
	Resident int64
}

// Usage returns the resource usage of the process.
func (p *Process) Usage() Usage {
	var u Usage
	root := fmt.Sprintf("/proc/%d/", p.PID())
	tasks, _ := filepath.Glob(root + "task/*/schedstat")
	for _, task := range tasks {
		text, _ := os.ReadFile(task)
		ran, _, _ := strings.Cut(string(text), " ")
		ns, _ := strconv.ParseInt(ran, 10, 64)
		u.CPU += time.Duration(ns)
	}
	text, _ := os.ReadFile(root + "statm")
	fields := strings.Fields(string(text))
	if len(fields) > 1 {
		pages, _ := strconv.ParseInt(fields[1], 10, 64)
		u.Resident = pages * int64(os.Getpagesize())
	}
	return u
}

// Metrics returns the metrics from the admin address of a process.
func (m *Member) Metrics() (map[string]float64, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+m.Admin+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	request.Header.Set("Authorization", "Bearer "+AdminToken)
	response, err := controlClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	defer response.Body.Close()
	values := map[string]float64{}
	for {
		var name string
		var value float64
		if _, err := fmt.Fscan(response.Body, &name, &value); err != nil {
			return values, nil
		}
		values[name] = value
	}
}
