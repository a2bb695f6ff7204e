package platform

import (
	"context"
	"net/http"
	"testing"
)

// A platform tags its list, changes it, brings the old one back as a lagging list does,
// and stops tagging. A process must see each change once and never keep a list that the
// platform does not show any more.
func TestListIsReadOnceForEachChange(t *testing.T) {
	const one, two = `{"vms":[{"id":"a"}]}`, `{"vms":[{"id":"a"},{"id":"b"}]}`
	body, tag, whole := "", "", 0
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if tag != "" {
			w.Header().Set("ETag", tag)
		}
		if tag != "" && r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		whole++
		_, _ = w.Write([]byte(body))
	})
	var last *VMList
	for i, step := range []struct {
		body, tag string
		vms       int
		changed   bool
		whole     int
	}{
		{one, `"1"`, 1, true, 1},
		{one, `"1"`, 1, false, 1},
		{two, `"2"`, 2, true, 2},
		{one, `"1"`, 1, true, 3},
		{two, "", 2, true, 4},
		{two, "", 2, false, 5},
		{`{"vms":[]}`, "", 0, true, 6},
	} {
		body, tag = step.body, step.tag
		list, err := client.VMs(context.Background(), last)
		if err != nil || len(list.VMs) != step.vms || (list != last) != step.changed || whole != step.whole {
			t.Errorf("step %d: %v, changed %v, %d whole answers, %v", i, list, list != last, whole, err)
		}
		last = list
	}
}
