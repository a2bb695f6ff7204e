package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/apricothub/apricothub/api"
)

const (
	// macSize is the length of a ticket's MAC in bytes. 128 bits cannot be guessed, and keep
	// the caller's header short.
	macSize = 16
	// customerDigestSize is the length of a customer's digest in bytes.
	customerDigestSize = 8
)

// CustomerDigest returns the digest that a ticket carries in place of the customer's name: the
// first 8 bytes of its SHA-256.
func CustomerDigest(customer string) []byte {
	sum := sha256.Sum256([]byte(customer))
	return sum[:customerDigestSize]
}

// blockKey derives the key of one block. The expiry is part of the input, so that an entry
// cannot mint tickets that are valid for longer than was granted.
func blockKey(ledgerKey []byte, number uint64, expiryMS int64) []byte {
	mac := hmac.New(sha256.New, ledgerKey)
	writeString(mac, "apricothub ticket block")
	writeUint(mac, number)
	writeUint(mac, uint64(expiryMS))
	return mac.Sum(nil)
}

// sign returns the MAC of a ticket under its block's key.
func sign(key []byte, t *api.Ticket) []byte {
	mac := hmac.New(sha256.New, key)
	writeString(mac, "apricothub ticket")
	writeString(mac, t.GetAgentVm())
	writeString(mac, t.GetIncarnation())
	writeUint(mac, t.GetBlock())
	writeUint(mac, uint64(t.GetSeq()))
	writeUint(mac, uint64(t.GetExpiryMs()))
	writeString(mac, string(t.GetCustomer()))
	return mac.Sum(nil)[:macSize]
}

// writeString writes the length first: otherwise two different tickets could give the same
// bytes, and one MAC would be valid for both.
func writeString(h hash.Hash, s string) {
	writeUint(h, uint64(len(s)))
	h.Write([]byte(s))
}

func writeUint(h hash.Hash, v uint64) {
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], v)
	h.Write(buf[:])
}
