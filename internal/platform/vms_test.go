package platform

import (
	"context"
	"net/http"
	"testing"
)

// The platform tags its list, changes it, returns the earlier list (as a list that lags may), and
// stops tagging. Guards against missed changes and against keeping a list that the platform no
// longer returns.
func TestListIsReadOnceForEachChange(t *testing.T) {
	const one, two = `{"vms":[{"id":"a"}]}`, `{"vms":[{"id":"a"},{"id":"b"}]}`
	body, etag, fullResponses := "", "", 0
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if etag != "" {
			w.Header().Set("ETag", etag)
		}
		if etag != "" && r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fullResponses++
		_, _ = w.Write([]byte(body))
	})
	var last *VMList
	for i, step := range []struct {
		body, etag    string
		vms           int
		changed       bool
		fullResponses int
	}{
		{one, `"1"`, 1, true, 1},
		{one, `"1"`, 1, false, 1},
		{two, `"2"`, 2, true, 2},
		{one, `"1"`, 1, true, 3},
		{two, "", 2, true, 4},
		{two, "", 2, false, 5},
		{`{"vms":[]}`, "", 0, true, 6},
	} {
		body, etag = step.body, step.etag
		list, err := client.ListVMs(context.Background(), last)
		if err != nil || len(list.VMs) != step.vms || (list != last) != step.changed || fullResponses != step.fullResponses {
			t.Errorf("step %d: %v, changed %v, %d whole answers, %v", i, list, list != last, fullResponses, err)
		}
		last = list
	}
}
