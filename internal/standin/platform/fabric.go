package platform

import (
	"net/http"
	"slices"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// maxRecordedSteps bounds the steps kept for each group.
const maxRecordedSteps = 4096

// RankMap says which map a range of ranks ran in a step.
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

// Step is one step that a group has finished.
type Step struct {
	Step uint64    `json:"step"`
	Maps []RankMap `json:"maps"`
}

// FabricRecord is the answer of GET /fabric/{group}/record. Mixed counts the steps
// that ran with more than one map. An arrival is answered with Next alone.
type FabricRecord struct {
	Next       uint64 `json:"next"`
	MixedSteps int    `json:"mixed"`
	Steps      []Step `json:"steps,omitempty"`
}

// stepBarrier is the lock-step of one group.
type stepBarrier struct {
	FabricRecord
	arrived []RankMap
}

type fabric struct {
	web.Monitor
	barriers map[string]*stepBarrier
}

// barrier returns the meeting of the barrier in the path; the lock is held.
func (f *fabric) barrier(r *http.Request) *stepBarrier {
	name := r.PathValue("group")
	if f.barriers[name] == nil {
		f.barriers[name] = &stepBarrier{}
	}
	return f.barriers[name]
}

// arrive holds the ranks until all ranks of the group have arrived. Ranks that die
// while they wait have not taken part: their arrival is withdrawn.
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

// finishStep closes the step when all ranks of the group have arrived.
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
