// Package admin serves the admin interface of a process over HTTP: the two lists, marks, state,
// metrics and readiness. It listens on its own address and requires a token, except for readiness.
//
// A process implements [Process]; an entry also implements [Configuration]. [Handler] checks the
// token, limits and parses requests, waits until a change is accepted and in force, and answers
// with the messages of package adminapi.
package admin
