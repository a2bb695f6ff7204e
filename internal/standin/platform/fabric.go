package platform

import (
	"net/http"
	"slices"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// maxRecordedSteps limits the steps kept for each group.
const maxRecordedSteps = 4096

// RankMap is the expert map that a range of ranks ran in a step.
type RankMap struct {
	FirstRank int    `json:"first_rank"`
	Ranks     int    `json:"ranks"`
	Map       uint64 `json:"map"`
	AtMS      int64  `json:"at_ms"`
}

// Arrival is the body of POST /fabric/{group}/arrive.
type Arrival struct {
	RankMap
	Size int    `json:"size"`
	Step uint64 `json:"step"`
}

// Step is a step that a group has completed.
type Step struct {
	Step uint64    `json:"step"`
	Maps []RankMap `json:"maps"`
}

// FabricRecord is the response of GET /fabric/{group}/record. MixedSteps counts the steps that ran
// with more than one map. The response to an arrival holds only Next.
type FabricRecord struct {
	Next       uint64 `json:"next"`
	MixedSteps int    `json:"mixed"`
	Steps      []Step `json:"steps,omitempty"`
}

// stepBarrier keeps the ranks of one group in lock-step.
type stepBarrier struct {
	FabricRecord
	arrived []RankMap
}

type fabric struct {
	web.Monitor
	barriers map[string]*stepBarrier
}

// barrier returns the barrier of the group named in the path. The caller holds the lock.
func (f *fabric) barrier(r *http.Request) *stepBarrier {
	name := r.PathValue("group")
	if f.barriers[name] == nil {
		f.barriers[name] = &stepBarrier{}
	}
	return f.barriers[name]
}

// arrive blocks until all ranks of the group have arrived. If the request ends before that, its
// arrival is withdrawn: ranks that die while they wait have not taken part in the step.
func (f *fabric) arrive(r *http.Request, a Arrival) (answer FabricRecord, err error) {
	a.AtMS = web.NowMS()
	f.WithLock(func() {
		if m := f.barrier(r); a.Step == m.Next {
			m.withdraw(a.FirstRank)
			m.arrived = append(m.arrived, a.RankMap)
			m.finishStep(a.Size)
		}
	})
	err = f.WaitUntil(r.Context(), func() bool {
		answer.Next = f.barrier(r).Next
		return answer.Next != a.Step
	})
	if err != nil {
		f.WithLock(func() {
			if m := f.barrier(r); a.Step == m.Next {
				m.withdraw(a.FirstRank)
			}
		})
	}
	return answer, err
}

func (m *stepBarrier) withdraw(firstRank int) {
	m.arrived = slices.DeleteFunc(m.arrived, func(a RankMap) bool { return a.FirstRank == firstRank })
}

// finishStep completes the step if all ranks of the group have arrived.
func (m *stepBarrier) finishStep(size int) {
	ranks := 0
	maps := map[uint64]bool{}
	for _, a := range m.arrived {
		ranks += a.Ranks
		maps[a.Map] = true
	}
	if ranks < size {
		return
	}
	if len(maps) > 1 {
		m.MixedSteps++
	}
	m.Steps = append(m.Steps, Step{m.Next, m.arrived})
	m.Steps = m.Steps[max(0, len(m.Steps)-maxRecordedSteps):]
	m.Next++
	m.arrived = nil
}

func (f *fabric) record(r *http.Request, _ web.NoBody) (record FabricRecord, _ error) {
	f.WithLock(func() { record = f.barrier(r).FabricRecord })
	last := int(web.QueryInt(r, "last", maxRecordedSteps))
	record.Steps = record.Steps[max(0, len(record.Steps)-last):]
	return record, nil
}
