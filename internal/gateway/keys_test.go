package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/apricothub/apricothub/platform"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// keyConfig is a configuration with a route that needs a key and one that does not. further holds fields as JSON.
const keyConfig = `{"version":%d,"services":[{"name":"app"}],"routes":[
	{"name":"r","host":"h.example","path-prefix":"/look/","route-type":"idempotent","attempts":1,"service":"app"},
	{"name":"a","host":"h.example","path-prefix":"/open/","route-type":"idempotent","attempts":1,"service":"app","allow-anonymous":true}]%s}`

// Guards against a list of teams without keys that lets requests with any key run.
func TestAListOfTeamsWithoutKeysLetsNothingRun(t *testing.T) {
	t.Parallel()
	store, servers, e := startWorld(t, fakeplatform.Echo)
	const withKey = `,"tenants":[{"name":"north","api-keys":["key-1"]}]`
	keys := []string{"key-1", "foreign", ""}
	version := 1
	for _, c := range []struct {
		name, further string
		// status is what requests with each of the keys get on the route that needs one.
		status [3]int
	}{
		{"one key", withKey, [3]int{200, 401, 401}},
		{"a team without keys", `,"tenants":[{"name":"north","api-keys":[]}]`, [3]int{401, 401, 401}},
		{"one key again", withKey, [3]int{200, 401, 401}},
		{"an empty list", `,"tenants":[]`, [3]int{401, 401, 401}},
		{"an empty list written as null", `,"tenants":null`, [3]int{401, 401, 401}},
		{"a team without a list of keys", `,"tenants":[{"name":"north"}]`, [3]int{401, 401, 401}},
		{"an empty key", `,"tenants":[{"name":"north","api-keys":[""]}]`, [3]int{401, 401, 401}},
		{"no list", ``, [3]int{200, 200, 200}},
		{"an empty list again", `,"tenants":[]`, [3]int{401, 401, 401}},
	} {
		version++
		store.Put(platform.TopicOperators, "config", fmt.Sprintf(keyConfig, version, c.further))
		e.until(c.name, func() bool { return e.view.Load().table.Version == int64(version) })
		for i, key := range keys {
			before := len(servers[0].Requests())
			r := e.askWithKey("/look/1", key)
			ran := len(servers[0].Requests()) > before
			if r.status != c.status[i] || ran != (c.status[i] == http.StatusOK) {
				t.Errorf("%s, key %q: status %d and ran %v, want %d", c.name, key, r.status, ran, c.status[i])
			}
			if r := e.askWithKey("/open/1", key); r.status != http.StatusOK {
				t.Errorf("%s, key %q: status %d on a route that needs none", c.name, key, r.status)
			}
		}
	}
}

// askWithKey asks for a path with a key, or without one if it is empty.
func (e *entry) askWithKey(path, key string) reply {
	return e.ask("GET", path, "r", func(r *http.Request) {
		r.Header.Del("Api-Key")
		if key != "" {
			r.Header.Set("Api-Key", key)
		}
	})
}
