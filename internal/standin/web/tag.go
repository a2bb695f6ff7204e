package web

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
)

// AnswerTagged sends an answer with a tag of its contents, or no contents to one who has
// them. It returns the bytes sent of the body.
func AnswerTagged(w http.ResponseWriter, r *http.Request, out any) int {
	data, err := json.Marshal(out)
	if err != nil {
		Answer(w, nil, err)
		return 0
	}
	sum := sha256.Sum256(data)
	tag := `"` + hex.EncodeToString(sum[:8]) + `"`
	w.Header().Set("ETag", tag)
	w.Header().Set("Content-Type", "application/json")
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return 0
	}
	_, _ = w.Write(data)
	return len(data)
}
