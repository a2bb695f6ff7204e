package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

const (
	plansList = api.ListName_LIST_PLANS
	usesList  = api.ListName_LIST_USES
	onVM      = api.MarkTarget_TARGET_VM
	onDomain  = api.MarkTarget_TARGET_DOMAIN
)

func keyOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func customer(name string, keys ...string) *api.Section {
	hashed := make([]string, len(keys))
	for i, key := range keys {
		hashed[i] = keyOf(key)
	}
	body := &api.Customer{KeySha256: hashed, Plan: "gold", Weight: 1}
	return &api.Section{Name: "customer " + name, Body: &api.Section_Customer{Customer: body}}
}

func plan(name string, share float64) *api.Section {
	return &api.Section{Name: "plan " + name, Body: &api.Section_Plan{Plan: &api.Plan{Share: share}}}
}

func listRecord(id string, list api.ListName, base int64, set ...*api.Section) *api.Record {
	change := &api.ListChange{List: list, Base: base, Set: set}
	return &api.Record{ChangeId: id, Author: "ann", Body: &api.Record_List{List: change}}
}

func markRecord(id string, target api.MarkTarget, name string, out bool, base int64) *api.Record {
	mark := &api.Mark{Target: target, Name: name, Out: out, Base: base}
	return &api.Record{ChangeId: id, Author: "ann", Body: &api.Record_Mark{Mark: mark}}
}

func marshal(t testing.TB, message proto.Message) []byte {
	t.Helper()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// foldOf returns a fold with the records applied from offset 0 on.
func foldOf(t testing.TB, records ...*api.Record) *Fold {
	t.Helper()
	f := NewFold()
	for _, rec := range records {
		if err := f.Apply(f.Applied()+1, marshal(t, rec)); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// Two operators edit the same list at once. One must be told that the change is accepted, the other
// that it lost and to which change. Both appends reach the log, which doesn't know about lists, so
// the fold must decide by the base.
func TestRacingOperatorsGetOneWinnerAndOneConflict(t *testing.T) {
	f := foldOf(t,
		listRecord("first", usesList, -1, plan("gold", 1)),
		listRecord("ann", usesList, 0, plan("gold", 2)),
		listRecord("bob", usesList, 0, plan("gold", 3)),
		markRecord("out", onDomain, "b", true, -1),
		markRecord("out-too", onDomain, "b", false, -1),
	)
	for id, want := range map[string]*api.Verdict{
		"ann":     {Offset: 1, Accepted: true, Current: 1},
		"bob":     {Offset: 2, Current: 1},
		"out":     {Offset: 3, Accepted: true, Current: 3},
		"out-too": {Offset: 4, Current: 3},
	} {
		got, ok := f.Verdict(id)
		want.ChangeId, want.Author = id, "ann"
		if !ok || !proto.Equal(got, want) {
			t.Errorf("verdict on %s: got %v, want %v", id, got, want)
		}
		if at, ok := f.VerdictAt(want.GetOffset()); !ok || at != got {
			t.Errorf("verdict at %d: got %v", want.GetOffset(), at)
		}
	}
	if got, _ := f.View().Plan("gold"); got.GetShare() != 2 {
		t.Errorf("share %v, want the winner's 2", got.GetShare())
	}
	if !f.View().VMOutOfService("vm1", "b") || f.View().VMOutOfService("vm1", "a") {
		t.Error("failure domain b must be out, and a not")
	}
}

// An operator's append takes effect but the response is lost, and the command appends again. The
// operator must be told of the success, not of a conflict with the operator's own change.
func TestSameChangeAppendedTwiceKeepsItsFirstVerdict(t *testing.T) {
	change := listRecord("once", usesList, -1, plan("gold", 1))
	f := foldOf(t, change, change)
	if got, _ := f.Verdict("once"); !got.GetAccepted() || got.GetOffset() != 0 {
		t.Errorf("verdict %v, want accepted at 0", got)
	}
	if f.Applied() != 1 || f.View().ListOffset(usesList) != 0 {
		t.Errorf("applied %d, list at %d", f.Applied(), f.View().ListOffset(usesList))
	}
}

func TestInvalidRecordsAreRefused(t *testing.T) {
	badKey := customer("a", "k")
	badKey.GetCustomer().KeySha256 = []string{strings.ToUpper(keyOf("k"))}
	badWeight := customer("a", "k")
	badWeight.GetCustomer().Weight = math.NaN()
	noPlan := customer("a", "k")
	noPlan.GetCustomer().Plan = ""
	wrongBody := plan("gold", 1)
	wrongBody.Name = "model gold"
	removal := func(names ...string) *api.Record {
		rec := listRecord("x", plansList, 0)
		rec.GetList().Removed = names
		return rec
	}
	setAndRemoved := removal("customer old")
	setAndRemoved.GetList().Set = []*api.Section{customer("old", "k")}
	large := listRecord("x", usesList, -1, plan("gold", 1))
	large.GetList().Set[0].GetPlan().Models = []string{strings.Repeat("m", MaxRecordBytes)}

	for name, rec := range map[string]*api.Record{
		"no body":               {ChangeId: "x"},
		"no list":               listRecord("x", api.ListName_LIST_UNSPECIFIED, 0, customer("a", "k")),
		"empty change":          listRecord("x", plansList, 0),
		"section in wrong list": listRecord("x", plansList, 0, plan("gold", 1)),
		"unknown kind":          listRecord("x", plansList, 0, &api.Section{Name: "team a"}),
		"no name":               listRecord("x", plansList, 0, customer("", "k")),
		"space in name":         listRecord("x", plansList, 0, customer("a b", "k")),
		"long name":             listRecord("x", plansList, 0, customer(strings.Repeat("a", MaxNameBytes+1), "k")),
		"no section body":       listRecord("x", plansList, 0, &api.Section{Name: "customer a"}),
		"body of another kind":  listRecord("x", usesList, -1, wrongBody),
		"duplicate names":       listRecord("x", plansList, 0, customer("a", "k"), customer("a", "l")),
		"set and removed":       setAndRemoved,
		"removed twice":         removal("customer old", "customer old"),
		"removed but absent":    removal("customer new"),
		"customer without keys": listRecord("x", plansList, 0, customer("a")),
		"customer without plan": listRecord("x", plansList, 0, noPlan),
		"key not hex":           listRecord("x", plansList, 0, badKey),
		"key of another":        listRecord("x", plansList, 0, customer("a", "old key")),
		"key twice":             listRecord("x", plansList, 0, customer("a", "k"), customer("b", "k")),
		"weight not a number":   listRecord("x", plansList, 0, badWeight),
		"negative share":        listRecord("x", usesList, -1, plan("gold", -1)),
		"mark without target":   markRecord("x", api.MarkTarget_TARGET_UNSPECIFIED, "vm1", true, -1),
		"mark without name":     markRecord("x", onVM, "", true, -1),
		"too large":             large,
	} {
		t.Run(name, func(t *testing.T) {
			f := foldOf(t, listRecord("start", plansList, -1, customer("old", "old key")))
			var refused *RefusedError
			if err := CheckChange(f.View(), rec); !errors.As(err, &refused) {
				t.Errorf("check before append: %v, want a *RefusedError", err)
			}
			before := f.View()
			if err := f.Apply(1, marshal(t, rec)); err != nil {
				t.Fatal(err)
			}
			got, _ := f.Verdict("x")
			if got.GetAccepted() || got.GetReason() == "" || got.GetOffset() != 1 {
				t.Errorf("verdict %v, want refused with a reason", got)
			}
			after := f.View()
			if after.ListOffset(plansList) != before.ListOffset(plansList) || len(after.Customers()) != 1 || len(after.Marks()) != 0 {
				t.Error("a refused record changed the state")
			}
		})
	}
}

func TestRecordsWithoutUsableIDAreFoundByOffset(t *testing.T) {
	for name, data := range map[string][]byte{
		"nothing":      {},
		"not protobuf": []byte("\xff\xff\xff"),
		"no id":        marshal(t, listRecord("", usesList, -1, plan("gold", 1))),
		"forged id":    marshal(t, listRecord("@7", usesList, -1, plan("gold", 1))),
	} {
		f := NewFold()
		if err := f.Apply(0, data); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if got, ok := f.Verdict("@0"); !ok || got.GetAccepted() || f.Applied() != 0 {
			t.Errorf("%s: verdict %v, applied %d", name, got, f.Applied())
		}
	}
}

func TestKeysMoveBetweenCustomersInOneChange(t *testing.T) {
	f := foldOf(t,
		listRecord("start", plansList, -1, customer("a", "k1"), customer("b", "k2")),
		listRecord("swap", plansList, 0, customer("a", "k2"), customer("b", "k1")),
	)
	for key, want := range map[string]string{"k1": "b", "k2": "a"} {
		if name, _, ok := f.View().CustomerByKey(keyOf(key)); !ok || name != want {
			t.Errorf("owner of %s: %q, want %q", key, name, want)
		}
	}
}

// Records arrive twice, late or too early, from the log and from several peers. Applying one too
// early would give a state that no other process has.
func TestOffsetsAreFoldedInOrderAndOnce(t *testing.T) {
	first := marshal(t, listRecord("a", usesList, -1, plan("gold", 1)))
	second := marshal(t, listRecord("b", usesList, 0, plan("gold", 2)))
	f := NewFold()
	if err := f.Apply(1, second); !errors.Is(err, ErrGap) || f.Applied() != -1 {
		t.Fatalf("early record: %v, applied %d", err, f.Applied())
	}
	for _, step := range []struct {
		offset int64
		data   []byte
	}{{0, first}, {0, second}, {1, second}, {0, first}} {
		if err := f.Apply(step.offset, step.data); err != nil {
			t.Fatal(err)
		}
	}
	if got, _ := f.View().Plan("gold"); f.Applied() != 1 || got.GetShare() != 2 {
		t.Errorf("applied %d, share %v", f.Applied(), got.GetShare())
	}
}

func TestViewNeverChanges(t *testing.T) {
	f := foldOf(t, listRecord("start", plansList, -1, customer("a", "k1")))
	before := f.View()
	if f.View() != before {
		t.Error("View returned a new view without a change")
	}
	rec := listRecord("next", plansList, 0, customer("b", "k2"))
	rec.GetList().Removed = []string{"customer a"}
	if err := f.Apply(1, marshal(t, rec)); err != nil {
		t.Fatal(err)
	}
	if _, _, ok := before.CustomerByKey(keyOf("k1")); !ok || len(before.Customers()) != 1 || before.Applied() != 0 {
		t.Error("an old view changed")
	}
	if _, _, ok := f.View().CustomerByKey(keyOf("k1")); ok {
		t.Error("a removed customer's key is still known")
	}
}

func TestForgottenMarksNeverHoldATargetOut(t *testing.T) {
	f := NewFold()
	apply := func(rec *api.Record) {
		if err := f.Apply(f.Applied()+1, marshal(t, rec)); err != nil {
			t.Fatal(err)
		}
	}
	apply(markRecord("held", onVM, "held-out", true, -1))
	for i := range MaxMarks + 10 {
		apply(markRecord(fmt.Sprint("m", i), onVM, fmt.Sprint("vm", i), false, -1))
	}
	if got := len(f.View().Marks()); got != MaxMarks {
		t.Errorf("%d marks kept, want %d", got, MaxMarks)
	}
	if !f.View().VMOutOfService("held-out", "a") || f.View().MarkOffset(onVM, "vm0") != -1 {
		t.Error("want the oldest in-service mark discarded and the out-of-service mark kept")
	}
	if _, ok := f.Verdict("held"); ok {
		t.Error("a verdict older than the newest 4096 is kept")
	}
}
