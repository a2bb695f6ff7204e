package gateway

import "testing"

// Guards against two requests with different content being taken for one, and against entries that compute
// different digests of the same request.
func TestDigest(t *testing.T) {
	if got := digest("POST", "/draft/1?a=b", []byte("body")); got != "14a57232cfa0a448" {
		t.Errorf("the digest is %s", got)
	}
	seen := make(map[string]bool)
	for _, r := range [][3]string{
		{"POST", "/draft/1", ""},
		{"GET", "/draft/1", ""},
		{"POST", "/draft/2", ""},
		{"POST", "/draft/1?a", ""},
		{"POST", "/draft/1", "x"},
		{"POST", "/draft/", "1"},
	} {
		seen[digest(r[0], r[1], []byte(r[2]))] = true
	}
	if len(seen) != 6 {
		t.Errorf("6 requests have %d digests", len(seen))
	}
}
