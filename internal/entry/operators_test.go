package entry

import (
	"strings"
	"testing"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
)

// A mark that every member would reject must not take space in the log. A base newer than this
// entry has applied was read at another entry: reporting a conflict would be wrong, and the log
// must decide.
func TestRecordsAreCheckedBeforeTheAppend(t *testing.T) {
	view := config.NewFold().View()
	for name, c := range map[string]struct {
		vm   string
		base int64
		good bool
	}{
		"good": {"vm-1", -1, true}, "ahead": {"vm-1", 5, true}, "behind": {"vm-1", -2, false},
		"too long a name": {strings.Repeat("x", 10_000), -1, false},
	} {
		mark := &api.Mark{Target: api.MarkTarget_TARGET_VM, Name: c.vm, Out: true, Base: c.base}
		record := &api.Record{ChangeId: "c1", Author: "a", Body: &api.Record_Mark{Mark: mark}}
		if err := checkRecord(view, record); (err == nil) != c.good {
			t.Errorf("%s: %v", name, err)
		}
	}
}
