package result

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
)

func TestTableIsComplete(t *testing.T) {
	for _, info := range All() {
		if info.HTTP == 0 || info.Doc == "" || info.Ran == api.Ran_RAN_UNSPECIFIED {
			t.Errorf("%s lacks a status, a text or whether the request ran", info.Name)
		}
		// Without a retry time, every caller would retry at once.
		if (info.HTTP == 429 || info.HTTP == 503) && !info.RetryAfter {
			t.Errorf("%s has status %d and no Retry-After", info.Name, info.HTTP)
		}
		if info.Number >= 200 && info.Number < 300 && info.Ran != api.Ran_RAN_NO {
			t.Errorf("%s is a refusal, so it has not run", info.Name)
		}
	}
}

func TestWriteHTTP(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		status int
		result string
		retry  string
		body   string
	}{
		{
			"refusal", errors.Wrap(Refuse(api.ResultCode_OVER_SHARE, 1200*time.Millisecond, "past its share"), "admit"),
			429, "200 OVER_SHARE", "2",
			`{"error":{"code":200,"name":"OVER_SHARE","message":"past its share","ran":"no","retry_after_ms":1200}}`,
		},
		{"at least a second", Refuse(api.ResultCode_COLD, time.Microsecond), 503, "212 COLD", "1", `"retry_after_ms":1}`},
		{"no time given", New(api.ResultCode_DRAINING), 503, "204 DRAINING", "1", `"retry_after_ms":1000}`},
		{"no return", New(api.ResultCode_UNKNOWN_KEY), 401, "101 UNKNOWN_KEY", "", `"ran":"no"}`},
		{"foreign error", errors.New("secret detail"), 500, "403 INTERNAL", "", `"ran":"unknown"}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			WriteHTTP(w, test.err)
			if w.Code != test.status || w.Header().Get(Header) != test.result || w.Header().Get("Retry-After") != test.retry {
				t.Errorf("got %d, %q, Retry-After %q", w.Code, w.Header().Get(Header), w.Header().Get("Retry-After"))
			}
			if !strings.Contains(w.Body.String(), test.body) || strings.Contains(w.Body.String(), "secret detail") {
				t.Errorf("body %s", w.Body)
			}
			decoded := ReadHTTP(w.Result())
			if want := FromError(test.err); decoded.Code != want.Code || decoded.Ran != want.Ran || decoded.Text != want.Text {
				t.Errorf("read back as %+v", decoded)
			}
		})
	}
}

func TestRefusalRoundTrip(t *testing.T) {
	e := Refuse(api.ResultCode_SATURATED, 1500*time.Microsecond, "full")
	decoded := FromRefusal(e.Refusal())
	if decoded.Code != e.Code || decoded.Ran != e.Ran || decoded.Text != e.Text || decoded.RetryAfter != 2*time.Millisecond {
		t.Errorf("got %+v", decoded)
	}
	if got := FromRefusal(&api.Refusal{Code: 9999}); got.Ran != api.Ran_RAN_UNKNOWN || Lookup(9999).HTTP != 500 {
		t.Errorf("a code of a newer version: %+v", got)
	}
}
