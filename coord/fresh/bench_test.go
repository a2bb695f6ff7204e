package fresh

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHeartbeatAtSize measures one heartbeat in an entry that hears 490 entries and a share of
// 3,700 agents, with the log available and during an outage.
func BenchmarkHeartbeatAtSize(b *testing.B) {
	for _, logOut := range []bool{false, true} {
		b.Run(fmt.Sprint("outage=", logOut), func(b *testing.B) {
			vms := make([]string, 490+3700)
			for i := range vms {
				vms[i] = fmt.Sprint("vm", i)
			}
			t := New("vm0", limit)
			t.SetEntries(vms[:490])
			t.SetMembers(vms)
			t.SetApplied(5)
			t.ConfirmTail(0)
			now := time.Duration(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 200 * time.Millisecond / 800
				if !logOut {
					t.ConfirmTail(now)
				}
				t.HandleKnowledge(vms[1+i%800], now, knowledgeWithoutEvidence(5), 5)
				t.State(now)
				t.ServesUntil(now)
			}
		})
	}
}

// BenchmarkCountsAtSize measures an outage in an entry with 56 links among 490 entries and 3,700
// agents: a heartbeat over one of the links with its counts, and the state after each. Members that
// the entry doesn't hear must not add to the cost.
func BenchmarkCountsAtSize(b *testing.B) {
	for _, listed := range []int{56, 490 + 3700} {
		b.Run(fmt.Sprint("listed=", listed), func(b *testing.B) {
			vms, domains := make([]string, listed), make(map[string]string)
			for i := range vms {
				vms[i] = fmt.Sprint("vm", i)
			}
			entries := vms[:max(listed*490/4190, 9)]
			for i, vm := range entries {
				domains[vm] = fmt.Sprint("domain", i%12)
			}
			t := New("vm0", limit)
			t.SetEntries(entries)
			t.SetMembers(vms)
			t.SetDomains(domains)
			t.SetApplied(5)
			t.ConfirmTail(0)
			byDomain := make(map[string]uint32)
			for i := range 12 {
				byDomain[fmt.Sprint("domain", i)] = uint32(listed / 14)
			}
			now := limit
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += limit / 112
				k := knowledgeWithoutEvidence(5)
				vm := vms[1+i%8]
				if i%56 >= 8 {
					vm = vms[len(vms)-1-i%48]
					k.CountedBy = vms[i%8]
				}
				t.HandleKnowledge(vm, now, k, 5)
				t.State(now)
				if i%56 < 8 {
					t.HandleCounts(vm, now, domainCounts(5, 500+int64(i%56), byDomain), 5)
				}
				t.State(now)
				t.ServesUntil(now)
			}
		})
	}
}
