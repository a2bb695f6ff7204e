package config

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// customersAtSize is the number of teams in a deployment of the intended size.
const customersAtSize = 7300

func foldAtSize(b *testing.B) *Fold {
	set := make([]*api.Section, customersAtSize)
	for i := range set {
		set[i] = customer(fmt.Sprintf("team-%04d", i), fmt.Sprint("key", i))
	}
	return foldOf(b, listRecord("start", plansList, -1, set...))
}

// BenchmarkChangeAtSize measures one change of one customer in a member that takes a new View after
// each record.
func BenchmarkChangeAtSize(b *testing.B) {
	f := foldAtSize(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		rec := listRecord(fmt.Sprint("c", i), plansList, f.View().ListOffset(plansList), customer("team-0042", fmt.Sprint("new", i)))
		data := marshal(b, rec)
		if err := f.Apply(f.Applied()+1, data); err != nil {
			b.Fatal(err)
		}
		f.View()
	}
}

// BenchmarkSnapshotAtSize measures taking, marshalling and loading a snapshot.
func BenchmarkSnapshotAtSize(b *testing.B) {
	f := foldAtSize(b)
	b.ReportAllocs()
	for b.Loop() {
		data := marshal(b, f.Snapshot())
		s := &api.Snapshot{}
		if err := proto.Unmarshal(data, s); err != nil {
			b.Fatal(err)
		}
		if err := NewFold().Load(s); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
	}
}
