package keybind

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// digestSize is the size of the digests in a binding, bytes. Two keys that collided
// would share one ticket: 128 bits keep that from happening by chance, and a customer
// who searched for a collision would meet his own keys only.
const digestSize = 16

// Key is the digest of a customer and a key of its own. Keys of different customers
// never meet. The key itself, which may tell of an order or a guest, goes nowhere.
type Key [digestSize]byte

// Request is the digest of a request, by which another one under the same key is told.
type Request [digestSize]byte

// KeyOf returns the digest of a customer's key.
func KeyOf(customer, key string) Key {
	return Key(digest("apricothub key", customer, key))
}

// RequestOf returns the digest of the parts that make a request, in their order.
func RequestOf(parts ...string) Request {
	return Request(digest(parts...))
}

// digest writes each length first: without it, "ab" of "c" would be "a" of "bc".
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

// maxKeyBytes bounds a key, bytes. UUIDs and order numbers are far below it.
const maxKeyBytes = 255

// IsValidKey says whether a caller's text can be a key: printable ASCII of bounded
// length.
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
