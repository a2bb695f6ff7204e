package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// UsesList is the content of the list of uses: what each plan may use.
const UsesList = `[plan standard]
models = price-writer
services = labels
share = 3

[plan small]
models = price-writer
services = labels
share = 1

[service labels]
repeatable = GET /labels/*

[model price-writer]
version = 1
`

// PlansList returns the content of the list of customers' plans.
func PlansList() string { return PlansListWith(1000) }

// PlansListWith returns the list of plans with a given burst for the customer lakeshore, so that
// versions of the list differ.
func PlansListWith(burst int) string {
	return `[customer bluebonnet]
key-sha256 = ` + keySum(Key) + `
plan = standard
weight = 1
burst = 1000

[customer lakeshore]
key-sha256 = ` + keySum(OtherKey) + `
plan = standard
weight = 1
burst = ` + strconv.Itoa(burst) + `
`
}

func keySum(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
