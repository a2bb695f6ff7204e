package web

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
)

// RespondWithETag sends body as JSON with an ETag, or 304 Not Modified to a caller that already has
// it. It returns the number of body bytes sent.
func RespondWithETag(w http.ResponseWriter, r *http.Request, body any) int {
	data, err := json.Marshal(body)
	if err != nil {
		Respond(w, nil, err)
		return 0
	}
	sum := sha256.Sum256(data)
	etag := `"` + hex.EncodeToString(sum[:8]) + `"`
	w.Header().Set("ETag", etag)
	w.Header().Set("Content-Type", "application/json")
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return 0
	}
	_, _ = w.Write(data)
	return len(data)
}
