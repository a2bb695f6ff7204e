// Package admin serves operators: the two lists, marks, state, metrics and
// readiness, over HTTP on an address of its own and behind a token.
//
// A process implements [Process]; an entry implements [Configuration] as well.
// [Handler] does the rest: the token, bounds, parsing, waiting for a change to be
// accepted and in force, and the answers of package adminapi.
package admin
