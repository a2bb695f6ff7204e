// Package keybind binds callers' own keys to tickets, so that a request which comes
// again under a key of the caller's making runs at most once.
//
// A binding stands in a record of an append-only stream with offsets. A record names its
// base: its appender had read everything below, and found the keys unbound. A binding
// holds unless another one of its key stands from the base on: the first in the stream's
// order wins, and whoever appended another one uses the ticket of the first. The ticket
// does all the rest: see package ticket.
//
// A Fold holds what the stream says. A verdict depends on the records from the base on
// and on nothing else, so that folds which began at different offsets come to the same
// one; a fold that began after the base knows that it cannot tell. Bindings are let go
// by records too, at their place in the stream. The Ages tell an appender which offset
// to name for that; a Batcher puts many bindings into one record.
//
// Nothing in this package reads a clock, opens a socket or starts a goroutine. Times
// are arguments: since the process's start on its monotonic clock, except where wall
// time is said. The types are not safe for concurrent use.
package keybind
