// Package ticket implements tickets, which guarantee that a non-idempotent request runs at
// most once.
//
// A ticket names one incarnation of one agent, a sequence number within a block, and an
// expiry, and is authenticated by a MAC. Only that incarnation can run it, and decides from
// its own memory alone (the Ledger). No other process can run the ticket, so no consensus is
// needed, and the guarantee holds while the platform's log is unavailable, a process is
// paused or an entry is replaced.
//
// The agent holds a Ledger and grants blocks to entries. Each entry holds a Minter and mints
// tickets from the blocks without a round trip.
//
// The package reads no clock, opens no socket and starts no goroutine. Times are passed as
// arguments: the time since the calling process started, on its monotonic clock. The types
// are not safe for concurrent use.
package ticket
