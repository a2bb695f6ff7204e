package journal

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
)

func TestDumpTellsWhyARequestWasRefused(t *testing.T) {
	j := New(10)
	ctx, r := Begin(context.Background(), time.Second)
	From(ctx).Customer = "north"
	From(ctx).AddAttempt("vm-1", 5*time.Millisecond, result.New(api.ResultCode_COLD))
	From(ctx).AddAttempt("vm-2", 7*time.Millisecond, nil)
	j.End(r, 3*time.Second, result.Refuse(api.ResultCode_OVER_SHARE, 1200*time.Millisecond, "past its share"))

	dump := j.Dump(4 * time.Second)
	if len(dump.Refused) != 1 || len(dump.Served) != 0 {
		t.Fatalf("got %+v", dump)
	}
	got := dump.Refused[0]
	if got.Customer != "north" || got.Result != "200 OVER_SHARE" || got.Ran != "no" || got.Text != "past its share" ||
		got.RetryAfterMs != 1200 || got.TookMs != 2000 || got.AgoMs != 1000 {
		t.Errorf("got %+v", got)
	}
	want := []Attempt{{"vm-1", "212 COLD", "no", 5}, {"vm-2", "0 OK", "", 7}}
	if len(got.Attempts) != 2 || got.Attempts[0] != want[0] || got.Attempts[1] != want[1] {
		t.Errorf("got %+v", got.Attempts)
	}
	From(context.Background()).AddAttempt("vm-1", 0, nil) // A context without a record must not panic.
}

// Guards against a flood of refusals that exhausts the memory or evicts the served requests.
func TestBounded(t *testing.T) {
	j := New(3)
	_, served := Begin(context.Background(), 0)
	served.Customer = "north"
	j.End(served, 0, nil)
	for i := range 1000 {
		_, r := Begin(context.Background(), 0)
		r.Request, r.Customer = strconv.Itoa(i), "north"
		for range 100 {
			r.AddAttempt("vm", 0, nil)
		}
		j.End(r, 0, result.New(api.ResultCode_SATURATED))
	}
	for range 1000 {
		_, r := Begin(context.Background(), 0)
		j.End(r, 0, result.New(api.ResultCode_UNKNOWN_KEY))
	}
	dump := j.Dump(0)
	if len(dump.UnknownCustomer) != unknownCustomerRecords {
		t.Errorf("%d strangers", len(dump.UnknownCustomer))
	}
	if len(dump.Served) != 1 || len(dump.Refused) != 3 || len(dump.Refused[0].Attempts) != maxAttempts {
		t.Fatalf("%d served, %d refused", len(dump.Served), len(dump.Refused))
	}
	if dump.Refused[0].Request != "999" || dump.Refused[2].Request != "997" {
		t.Errorf("not the newest first: %+v", dump.Refused)
	}
}
