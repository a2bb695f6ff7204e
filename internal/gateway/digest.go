package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
)

// digestBytes is the length of a digest in bytes: enough that two requests of a site hardly ever share one.
const digestBytes = 8

// digest returns a digest of a request's content, in hexadecimal. All entries compute the same one.
func digest(method, uri string, body []byte) string {
	h := sha256.New()
	_, _ = io.WriteString(h, method+" "+uri+"\n")
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}
