// Package ticket gives a request that may not be repeated the right to run at
// most once.
//
// A ticket names one incarnation of one agent, a place in a block of sequence
// numbers and an expiry, under a MAC. Only that incarnation can run it, and it
// decides from its own memory alone: the Ledger. No other process can ever run
// it, so there is nothing to agree on, and nothing is lost when the platform's
// log is out, a process is paused or an entry is replaced.
//
// The agent holds a Ledger and grants blocks to entries. Each entry holds a
// Minter and makes tickets out of the blocks without a round trip.
//
// Nothing in this package reads a clock, opens a socket or starts a goroutine.
// Every time is an argument: the time since the calling process started, on its
// monotonic clock. The types are not safe for concurrent use.
package ticket
