package ranks_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/ranks"
	"github.com/apricothub/apricothub/platform"
)

// An engine leaves an order unanswered while its group is held. The reply must still carry the
// rank's state, so that the order is sent again at once and not only after another poll.
func TestAnUnansweredOrderLeavesTimeForTheState(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /apricothub/order", func(_ http.ResponseWriter, r *http.Request) {
		// The server detects that the client has disconnected only after the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	mux.HandleFunc("GET /apricothub/report", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"group":{"name":"g","epoch":3,"rank":1,"state":"open"},"size":4,"step":17,"held":19}`))
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), platform.EngineCallTimeout)
	defer cancel()
	engine := platform.NewEngine(strings.TrimPrefix(server.URL, "http://"), http.DefaultClient)
	reply := ranks.Execute(ctx, engine, &api.RankRequest{Order: &api.RankOrder{Kind: api.RankOrder_ARM, Version: 5, Step: 19, Epoch: 3}})
	if reply.GetResult() != api.OrderResult_ORDER_UNKNOWN || reply.GetError() == "" {
		t.Errorf("the order is reported as answered: %v", reply)
	}
	if s := reply.GetState(); s.GetStep() != 17 || !s.GetHeld() {
		t.Errorf("the reply has the state %v, want step 17 and a hold", s)
	}
}
