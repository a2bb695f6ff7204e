package gateway

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/platform"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// maxFollowTime is how long a registration may take to be known after an odd record.
const maxFollowTime = 3 * time.Second

// nested is JSON that is nested too deeply for the library.
var nested = strings.Repeat("[", 20000) + strings.Repeat("]", 20000)

// oddRecords are records that cannot be told from others by their key and value.
var oddRecords = map[string]fakeplatform.OddRecord{
	"empty":               {},
	"shorter than a key":  {Log: []byte{9, 'i'}},
	"no UTF-8 in the key": {Log: append([]byte{2, 'i', 0xff}, registrationOf("127.0.0.1:1", "4", "0")...)},
	"a key of a number":   {Log: []byte{0}, Item: `{"key":1,"value":"e30=","offset":0}`},
	"no base64":           {Log: []byte{0}, Item: `{"key":"i-odd","value":"?","offset":0}`},
	"an offset too large": {Log: []byte{0}, Item: `{"key":"i-odd","value":"e30=","offset":1e300}`},
	"an item of a list":   {Log: []byte{0}, Item: `[]`},
	"a nested item":       {Log: []byte{0}, Item: `{"key":"i-odd","value":"e30=","offset":0,"more":` + nested + `}`},
}

// registrationOf returns the registration of a server, with values in JSON.
func registrationOf(address, concurrency, coldMs string) string {
	return fmt.Sprintf(`{"service":"app","address":%q,"zone":"a","concurrency":%s,"state":"ready","cold-remaining-ms":%s,"sequence":1,"born":1}`, address, concurrency, coldMs)
}

// oddValues are values of registrations that another writer may leave.
var oddValues = map[string]string{
	"nested":                    nested,
	"nested in a field":         `{"service":` + nested + `}`,
	"a number too large":        registrationOf("127.0.0.1:1", "99999999999999999999", "0"),
	"the largest number":        registrationOf("127.0.0.1:1", "9223372036854775807", "0"),
	"a port out of range":       registrationOf("127.0.0.1:99999", "4", "0"),
	"port 0":                    registrationOf("127.0.0.1:0", "4", "0"),
	"any address":               registrationOf("0.0.0.0:1", "4", "0"),
	"a multicast address":       registrationOf("224.0.0.1:1", "4", "0"),
	"a zone without end":        strings.Replace(registrationOf("127.0.0.1:1", "4", "0"), `"zone":"a"`, `"zone":"`+strings.Repeat("a", 100_000)+`"`, 1),
	"cold for ever":             registrationOf("127.0.0.1:1", "4", "1e300"),
	"concurrency below zero":    registrationOf("127.0.0.1:1", "-4", "0"),
	"no JSON":                   "\x00\xff",
	"a list":                    "[]",
	"an empty object":           "{}",
	"a state of its own":        strings.Replace(registrationOf("127.0.0.1:1", "4", "0"), "ready", "odd", 1),
	"a name with a line feed":   strings.Replace(registrationOf("127.0.0.1:1", "4", "0"), "app", `app\nx`, 1),
	"a number of another type":  registrationOf("127.0.0.1:1", `"4"`, "0"),
	"a fraction for an integer": registrationOf("127.0.0.1:1", "4.5", "0"),
}

// Guards against one odd record among the registrations after which an entry ends, or follows them no more: in the
// listing that it starts with, and in the log.
func TestAnOddRecordAmongRegistrations(t *testing.T) {
	t.Parallel()
	put := make(map[string]func(*fakeplatform.Store))
	for name, r := range oddRecords {
		put["record/"+name] = func(s *fakeplatform.Store) { s.PutOdd(platform.TopicServers, r) }
	}
	for name, value := range oddValues {
		put["value/"+name] = func(s *fakeplatform.Store) { s.Put(platform.TopicServers, "i-odd", value) }
	}
	put["key/empty"] = func(s *fakeplatform.Store) {
		s.Put(platform.TopicServers, "", registrationOf("127.0.0.1:1", "4", "0"))
	}
	put["key/control bytes"] = func(s *fakeplatform.Store) {
		s.Put(platform.TopicServers, "i\r\nX: 1", registrationOf("127.0.0.1:1", "4", "0"))
	}
	for name, putOdd := range put {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkFollowsPast(t, putOdd)
		})
	}
}

// checkFollowsPast checks that registrations before and after an odd record are known, and serve.
func checkFollowsPast(t *testing.T, putOdd func(*fakeplatform.Store)) {
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1")
	store.Serve(t, "i-before", fakeplatform.Echo)
	putOdd(store)
	e := start(t, settingsFor(store))
	isKnown := func(id string) bool { return e.fleet.isKnown(id) }
	e.until("the server before is known", func() bool { return isKnown("i-before") })
	if isKnown("i-odd") || isKnown("") || isKnown("i\r\nX: 1") {
		t.Error("an odd record counts as a server")
	}
	putOdd(store)
	began := time.Now()
	store.Serve(t, "i-after", fakeplatform.Echo)
	e.until("the server after is known", func() bool { return isKnown("i-after") })
	if took := time.Since(began); took > maxFollowTime {
		t.Errorf("a registration after an odd record was known after %s", took)
	}
	for n := range 4 {
		if r := e.ask("POST", "/push/1", fmt.Sprint("r", n)); r.status != http.StatusOK {
			t.Errorf("a request got %s", r)
		}
	}
}

// storedMessage returns a record of this system in its encoding.
func storedMessage(t *testing.T, m proto.Message) string {
	t.Helper()
	value, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return string(value)
}

// Guards against an odd record in a topic of this system that ends an entry, keeps it from starting or from its list of
// entries, or spends its retries.
func TestAnOddRecordInATopicOfItsOwn(t *testing.T) {
	t.Parallel()
	values := map[string]string{
		"no message":     "\xff\xff\xff",
		"text":           nested,
		"claims":         storedMessage(t, &api.RetryClaims{Claims: []*api.RetryClaim{{Id: math.MaxUint64, Tokens: math.MaxUint32, AgeMs: math.MaxUint32}}}),
		"a quarantine":   storedMessage(t, &api.StoredQuarantine{BegunAtUnixMs: math.MinInt64, UntilUnixMs: math.MaxInt64, Strikes: math.MaxUint32}),
		"a popularity":   storedMessage(t, &api.ExpertPopularity{Sets: [][]byte{{1}, {}}}),
		"an odd address": "255.255.255.255",
	}
	for _, topic := range []string{topicMembers, topicRetries, topicQuarantines} {
		t.Run(topic, func(t *testing.T) {
			t.Parallel()
			store := fakeplatform.NewStore(t)
			store.Configure(1, fakeplatform.Routes(), "key-1")
			store.Serve(t, "i-a", fakeplatform.Echo)
			store.Serve(t, "i-b", func(fakeplatform.ReceivedRequest, net.Conn) bool { return false })
			for _, r := range oddRecords {
				store.PutOdd(topic, r)
			}
			for name, value := range values {
				store.Put(topic, name, value)
				store.Put(topic, "app", value)
			}
			first := start(t, settingsFor(store))
			second := start(t, settingsFor(store))
			for _, e := range []*entry{first, second} {
				e.until("both entries are known", func() bool { return e.view.Load().entries == 2 })
			}
			for n := range 20 {
				if r := first.ask("GET", "/look/1", fmt.Sprint("r", n)); r.status != http.StatusOK {
					t.Errorf("a request that one server of two fails got %s", r)
				}
			}
		})
	}
}
