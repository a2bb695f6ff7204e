package config

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// FuzzApply applies arbitrary bytes as a record after a list and a mark. Apply must neither panic
// nor return an error, and the state must survive a snapshot.
func FuzzApply(f *testing.F) {
	removal := listRecord("d", plansList, 0)
	removal.GetList().Removed = []string{"customer a"}
	for _, rec := range []*api.Record{
		listRecord("b", plansList, 0, customer("b", "k2")),
		listRecord("c", usesList, -1, plan("gold", 1)),
		removal,
		markRecord("e", onDomain, "a", true, -1),
		{ChangeId: "f", Body: &api.Record_Snapshot{Snapshot: &api.Snapshot{Through: 1}}},
		{ChangeId: "@1"},
	} {
		f.Add(marshal(f, rec))
	}
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := foldOf(t, listRecord("a", plansList, -1, customer("a", "k")))
		if err := fold.Apply(1, data); err != nil || fold.Applied() != 1 {
			t.Fatalf("%v, applied %d", err, fold.Applied())
		}
		state := marshal(t, fold.Snapshot())
		copied, loaded := &api.Snapshot{}, NewFold()
		if err := proto.Unmarshal(state, copied); err != nil {
			t.Fatal(err)
		}
		if err := loaded.Load(copied); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(state, marshal(t, loaded.Snapshot())) {
			t.Error("the state did not survive a snapshot")
		}
	})
}
