package ticket

import (
	"encoding/binary"
	"runtime"
	"testing"
)

// BenchmarkTicket mints one ticket, begins its run and forgets its answer. B/held is the
// memory that the ledger keeps for each ticket afterwards.
func BenchmarkTicket(b *testing.B) {
	l := NewLedger(testVM, "i1", testKey, Limits{MaxBlocks: 1 << 30, MaxAnswersGone: 1 << 30})
	m := NewMinter()
	before := heapBytes()
	for i := range b.N {
		if m.NeedsBlock(0, testVM) {
			m.Add(0, l.Grant(0))
		}
		t, _ := m.Mint(0, testVM, testCustomer)
		var request [32]byte
		binary.LittleEndian.PutUint64(request[:], uint64(i))
		l.Begin(0, t, testCustomer, request, "answer")
		l.ForgetAnswer(t)
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "B/held")
	runtime.KeepAlive(l)
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
