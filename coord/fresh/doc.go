// Package fresh decides whether a process may trust the configuration that it holds.
//
// A process may take new work only while it has evidence, no older than the freshness limit, that
// it holds every change that operators were told is accepted. There are two kinds of evidence, each
// as of some time:
//
//   - tail evidence: at that time, the whole log of the platform was applied. It comes from the
//     process's own fetch.
//   - quorum evidence: at that time, every accepted change was applied. It comes from hearing a
//     majority of members, none of which has applied more. A change is accepted only once a
//     majority holds it, so at least one of the members heard would have held it. Quorum evidence
//     lets a process continue during an outage of the log.
//
// A process that hears too few members itself adds up what others have counted. Counts returns how
// many members of each failure domain are known to hold no more than this process, and the time as
// of which that is so. HandleCounts records the counts of another entry. Counts of different
// domains are added; counts of the same domain are not, since a member may be in several of them.
// An agent is counted with the entry that its Knowledge names.
//
// Both kinds of evidence pass from process to process with their age added: a process that has
// applied as much as another holds what the other holds.
//
// The package has no clock, socket or goroutine of its own. Times are on the caller's monotonic
// clock since the process started. This clock must advance while the process is paused.
package fresh
