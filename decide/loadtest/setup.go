package loadtest

import (
	"fmt"
	"math"
	"time"

	"github.com/apricothub/apricothub/decide/admit"
)

// sizeLogStdDev is the standard deviation of the logarithm of the requests' sizes.
const sizeLogStdDev = 0.3

// Domains are the failure domains of ReferenceSetup.
var Domains = []string{"a", "b", "c"}

// ReferenceSetup returns a setup of the size of current deployments: 8 entries, 12 model workers in
// 3 failure domains and 10 customers, 3 of them large with 70% of the load. The load is a fraction
// of the capacity of all backend servers when warm.
func ReferenceSetup(policy Policy, load float64) Setup {
	s := Setup{
		Seed: 1, Policy: policy, Entries: 8,
		Plans: []admit.PlanShare{{Name: "gold", Share: 3}, {Name: "basic", Share: 1}},
	}
	for i := range 12 {
		s.Backends = append(s.Backends, Backend{
			VM: fmt.Sprintf("vm-%02d", i), Domain: Domains[i%len(Domains)],
			WarmCapacity: 32, ColdCapacity: 2, WarmAfterCompletions: 60, StartsWarm: true,
		})
	}
	rate := load * Capacity(s.Backends)
	for i := range 10 {
		c := Customer{Name: fmt.Sprintf("customer-%d", i), Plan: "basic", Weight: 1, Rate: rate * 0.3 / 7}
		if i < 3 {
			c.Plan = "gold"
			c.Rate = rate * 0.7 / 3
		}
		s.Customers = append(s.Customers, c)
	}
	return s
}

// Capacity returns the number of requests of average size that the backend servers complete per
// second when warm and fully loaded.
func Capacity(backends []Backend) float64 {
	size := (defaultTimeToFirstToken + defaultTimeToEnd).Seconds() * math.Exp(sizeLogStdDev*sizeLogStdDev/2)
	total := 0.0
	for _, b := range backends {
		total += float64(b.WarmCapacity) / (size * (1 + batchOverhead) * max(b.Slowdown, 1))
	}
	return total
}

// Default service times of a request, alone at a warm backend server.
const (
	defaultTimeToFirstToken = 150 * time.Millisecond
	defaultTimeToEnd        = 800 * time.Millisecond
)
