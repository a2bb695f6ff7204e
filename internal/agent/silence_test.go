package agent

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
)

// An engine dies while its server has no work. The status said "in cold start", which needs no
// action, and nothing was logged. The engine must be shown as silent, logged once, and no longer
// be shown when it answers. A poll that is late now and then is not silence.
func TestAnEngineThatDoesNotAnswerIsShown(t *testing.T) {
	e := testExecutor(t, "http://127.0.0.1:1", &api.Backend{Model: "m", FullLimit: 8, ColdLimit: 2})
	var out bytes.Buffer
	e.logger = log.NewLogfmtLogger(&out)
	refused := errors.New("connection refused")
	for _, step := range []struct {
		at     time.Duration
		err    error
		silent bool
		lines  int
	}{
		{1, refused, false, 0},
		{2, nil, false, 0}, // one late answer
		{10, refused, false, 0},
		{13, refused, false, 0},
		{15, refused, true, 1},
		{60, refused, true, 1},
		{61, nil, false, 1},
	} {
		e.recordPoll(step.at*time.Second, step.err)
		shown := e.status(step.at * time.Second).GetSilent()
		lines := strings.Count(out.String(), `msg="The engine does not answer." result="401 BACKEND_FAILED"`)
		if shown != step.silent || lines != step.lines {
			t.Errorf("after %d s: silent %v, %d lines", step.at, shown, lines)
		}
	}
	if !strings.Contains(out.String(), "answers again") {
		t.Errorf("%s", &out)
	}
}
