package quarantine

import "slices"

// Part is something in a request that may end the servers which answer it.
type Part struct {
	// ID names the part. Other requests with the same ID have the same part.
	ID    string
	Scope Scope
}

// Scope is how many other requests may have a part.
type Scope uint8

const (
	// Shared is a part of the prompt that requests of many callers may have, and that may end a server as it
	// begins to answer.
	Shared Scope = iota
	// Midway is such a part that may end a server in the middle of an answer. It has an ID of its own.
	Midway
	// Session is the last part of the prompt, that of the request or of its session.
	Session
	// Whole is the whole request. Only repeats of it have that part in common.
	Whole
)

// MidwayID returns the ID by which a shared part is known as one that ends servers in the middle of answers.
func MidwayID(id string) string { return "midway:" + id }

// isNarrow reports whether hardly any other request has the part.
func (s Scope) isNarrow() bool { return s == Session || s == Whole }

// needsWholeAnswer reports whether nothing but a whole answer proves the part sound, since it may end a server in
// the middle of one.
func (s Scope) needsWholeAnswer() bool { return s != Shared }

// mayHaveEnded returns those parts of a request that may have ended a server. hasBegun means that its answer
// had got past its beginning.
func mayHaveEnded(parts []Part, hasBegun bool) []Part {
	var suspect []Part
	for _, p := range parts {
		if p.Scope.isNarrow() || hasBegun == (p.Scope == Midway) {
			suspect = append(suspect, p)
		}
	}
	return suspect
}

func indexOf(parts []Part, id string) int {
	return slices.IndexFunc(parts, func(p Part) bool { return p.ID == id })
}

// addPart adds a part to a list without repeats. Of two scopes the wider one stands.
func addPart(parts []Part, p Part) []Part {
	if i := indexOf(parts, p.ID); i >= 0 {
		parts[i].Scope = min(parts[i].Scope, p.Scope)
		return parts
	}
	if len(parts) >= maxParts {
		return parts
	}
	return append(parts, p)
}
