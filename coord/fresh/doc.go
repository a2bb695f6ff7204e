// Package fresh decides whether a process may trust the configuration it holds.
//
// A process may take new work only while it has evidence, no older than the
// freshness limit, that it holds every change that operators were told is
// accepted. There are two kinds of evidence, each as of some time:
//
//   - tail evidence: at that time, all of the platform's log was applied. It comes
//     from the process's own fetch.
//   - quorum evidence: at that time, every accepted change was applied. It comes
//     from hearing a majority of members, none of which has applied more. A change
//     is accepted only once a majority holds it, so one of those heard would have
//     had it. It lets a process go on in an outage of the log.
//
// A process that hears too few members itself adds up what others have counted:
// Counts says how many members of each failure domain are known to hold no more than
// this process, with the time as of which that holds, and Counted takes it. Domains
// add up; counts of one domain do not. An agent is counted with the entry that its
// Knowledge names.
//
// Both pass from process to process with their age added: who has applied as much
// as another holds what the other holds.
//
// The package holds no clock, socket or goroutine. Times are on the caller's
// monotonic clock since the process started, and that clock must count while the
// process is paused.
package fresh
