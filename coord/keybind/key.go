package keybind

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// digestSize is the size of the digests in a binding, in bytes. Two keys that collide would
// share one ticket. 128 bits make a chance collision negligible, and a customer who searches
// for one can only find it among its own keys.
const digestSize = 16

// Key is the digest of a customer's name and a key that the customer chose, so that equal keys
// of different customers differ. The key itself is neither stored nor sent, because it may
// identify an order or a guest.
type Key [digestSize]byte

// Request is the digest of a request. It shows whether a key is reused for another request.
type Request [digestSize]byte

// KeyOf returns the digest of a customer's name and key.
func KeyOf(customer, key string) Key {
	return Key(digest("apricothub key", customer, key))
}

// RequestOf returns the digest of the parts of a request, in their order.
func RequestOf(parts ...string) Request {
	return Request(digest(parts...))
}

// digest writes the length before each part: otherwise the parts "ab", "c" and "a", "bc" would
// have the same digest.
func digest(parts ...string) []byte {
	h := sha256.New()
	for _, part := range parts {
		writePart(h, part)
	}
	return h.Sum(nil)[:digestSize]
}

func writePart(h hash.Hash, part string) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	_, _ = h.Write(size[:])
	_, _ = h.Write([]byte(part))
}

// maxKeyBytes limits the length of a key. UUIDs and order numbers are far shorter.
const maxKeyBytes = 255

// IsValidKey reports whether a caller's text can be a key: printable ASCII of limited length.
func IsValidKey(text string) bool {
	if text == "" || len(text) > maxKeyBytes {
		return false
	}
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}
