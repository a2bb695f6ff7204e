package entry

import (
	"net/http"
	"strings"
	"testing"
)

// Callers use an old key, a wrong path or a malformed body. Each refusal must have a unique request
// id that operators can find, even if nothing else is known of the request.
func TestEachRefusalNamesTheRequest(t *testing.T) {
	_, url := startEntry(t, newFakeAgent(t, "b1", wholeAnswer("x")))
	seen := make(map[string]bool)
	for _, c := range []struct{ path, key, body string }{
		{completions, "old", "{}"},
		{"/nowhere", testKey, "{}"},
		{completions, testKey, "{"},
		{"/v1/tickets", "", ""},
	} {
		r, err := http.NewRequest(http.MethodPost, url+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+c.key)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		id := resp.Header.Get(headerRequest)
		if resp.StatusCode < 400 || id == "" || seen[id] {
			t.Errorf("%s with key %q: status %d, id %q", c.path, c.key, resp.StatusCode, id)
		}
		seen[id] = true
	}
}
