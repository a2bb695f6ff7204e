// Package api holds the schemas of apricothub: messages between processes,
// settings, records of the platform's log and result codes, with the Go code
// generated from them. Run `make generate` after a change to a .proto file.
package api
