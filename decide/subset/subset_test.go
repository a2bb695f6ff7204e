package subset

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

func nodes(kind string, n, domains int) []Node {
	all := make([]Node, n)
	for i := range all {
		all[i] = Node{Name: fmt.Sprintf("%s-%04d", kind, i), Domain: fmt.Sprint("domain-", i%domains)}
	}
	return all
}

// countClients counts the clients of each server.
func countClients(links map[string][]string) map[string]int {
	count := make(map[string]int)
	for _, servers := range links {
		for _, s := range servers {
			count[s]++
		}
	}
	return count
}

// countMoved counts the links in after that are not in before, for clients in both.
func countMoved(before, after map[string][]string) int {
	n := 0
	for client, servers := range after {
		old, ok := before[client]
		if !ok {
			continue
		}
		for _, s := range servers {
			if !slices.Contains(old, s) {
				n++
			}
		}
	}
	return n
}

// serversLacking counts the servers without clients of some failure domain although they have more
// clients than there are domains.
func serversLacking(links map[string][]string, clients, servers []Node, domains int) int {
	seen := make(map[string]map[string]bool)
	for _, client := range clients {
		for _, s := range links[client.Name] {
			if seen[s] == nil {
				seen[s] = make(map[string]bool)
			}
			seen[s][client.Domain] = true
		}
	}
	lacking, count := 0, countClients(links)
	for _, s := range servers {
		if count[s.Name] > domains && len(seen[s.Name]) < domains {
			lacking++
		}
	}
	return lacking
}

var cases = []struct {
	name                        string
	clients, servers, k, domain int
}{
	{"today", 8, 15, 4, 3},
	{"one model of one region", 98, 62, 4, 3},
	{"few servers", 98, 9, 4, 3},
	{"many servers", 98, 740, 8, 3},
	{"more links than servers", 5, 3, 4, 3},
	{"one domain", 20, 30, 5, 1},
}

func TestBalanceAndSpread(t *testing.T) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clients, servers := nodes("entry", c.clients, c.domain), nodes("vm", c.servers, c.domain)
			links := Assign(clients, servers, c.k)
			k := min(c.k, c.servers)
			mean := float64(c.clients*k) / float64(c.servers)
			domains := make(map[string]string)
			for _, s := range servers {
				domains[s.Name] = s.Domain
			}
			count := countClients(links)
			low, high := c.clients, 0
			for _, s := range servers {
				low, high = min(low, count[s.Name]), max(high, count[s.Name])
			}
			narrow := 0
			for _, client := range clients {
				seen := make(map[string]bool)
				for _, s := range links[client.Name] {
					seen[domains[s]] = true
				}
				if len(links[client.Name]) != k {
					t.Errorf("%s has %d links", client.Name, len(links[client.Name]))
				}
				if len(seen) < min(k, c.domain) {
					narrow++
				}
			}
			lacking := serversLacking(links, clients, servers, c.domain)
			t.Logf("mean %.2f, from %d to %d; %d clients and %d servers lack a domain", mean, low, high, narrow, lacking)
			if low == 0 && high > 1 {
				t.Errorf("a server has no clients, another has %d", high)
			}
			if lacking > c.servers/20 {
				t.Errorf("%d of %d servers lack clients of a failure domain", lacking, c.servers)
			}
			if high-low > maxClientSpread {
				t.Errorf("servers have from %d to %d clients, mean %.2f", low, high, mean)
			}
			if narrow > c.clients/20 {
				t.Errorf("%d of %d clients lack a failure domain", narrow, c.clients)
			}
		})
	}
}

// A server is replaced, as happens 1,400 times a day. Its own links must move, and few others: each
// moved link costs a handshake and delays requests that wait for it.
func TestFewLinksMoveWhenServerIsReplaced(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	clients, servers := nodes("entry", 98, 3), nodes("vm", 62, 3)
	const k = 4
	before := Assign(clients, servers, k)
	const replacements = 100
	sum := 0
	for i := range replacements {
		servers[rng.IntN(len(servers))].Name = fmt.Sprint("new-", i)
		after := Assign(clients, servers, k)
		sum += countMoved(before, after)
		before = after
	}
	mean, own := float64(sum)/replacements, float64(98*k)/62
	t.Logf("%.1f links move for one server replaced, of %.1f that it had itself", mean, own)
	if mean > 98*k/10 {
		t.Errorf("%.1f of %d links move", mean, 98*k)
	}
}

// A client is replaced. Links of other clients may move only to servers that lost a client.
func TestFewLinksMoveWhenClientIsReplaced(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	clients, servers := nodes("entry", 98, 3), nodes("vm", 62, 3)
	const k = 4
	before := Assign(clients, servers, k)
	const replacements = 100
	sum := 0
	for i := range replacements {
		clients[rng.IntN(len(clients))].Name = fmt.Sprint("new-", i)
		after := Assign(clients, servers, k)
		sum += countMoved(before, after)
		before = after
	}
	mean := float64(sum) / replacements
	t.Logf("%.1f links of other clients move for one client replaced, of %d", mean, 98*k)
	if mean > 98*k/10 {
		t.Errorf("%.1f of %d links move", mean, 98*k)
	}
}

func TestOrderOfListsDoesNotMatter(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	clients, servers := nodes("entry", 20, 3), nodes("vm", 30, 3)
	want := Assign(clients, servers, 4)
	for range 10 {
		rng.Shuffle(len(clients), func(i, j int) { clients[i], clients[j] = clients[j], clients[i] })
		rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
		if got := Assign(clients, servers, 4); !reflect.DeepEqual(got, want) {
			t.Fatal("another order of the lists gives other links")
		}
	}
}

func TestAssignWithoutServersOrClient(t *testing.T) {
	clients := nodes("entry", 3, 1)
	if got := ForClient("entry-0001", clients, nil, 4); len(got) != 0 {
		t.Errorf("no servers: %v", got)
	}
	if got := ForClient("stranger", clients, nodes("vm", 3, 1), 2); got != nil {
		t.Errorf("not in the list: %v", got)
	}
}

// BenchmarkAssign measures the cost of a changed list for one process, with one model of one region
// at the size that the system is designed for.
func BenchmarkAssign(b *testing.B) {
	clients, servers := nodes("entry", 98, 3), nodes("vm", 62, 3)
	b.ReportAllocs()
	for b.Loop() {
		Assign(clients, servers, 4)
	}
}
