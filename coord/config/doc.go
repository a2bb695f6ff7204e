// Package config folds the platform's log into the configuration in force.
//
// The log is the one total order. A change names the offset it was made from,
// its base, and the fold accepts it only while that base is current. So of two
// operators who race, one wins and the other gets a conflict, and every process
// that reads the log comes to the same verdict without asking another.
//
// The package holds no clock, socket or goroutine. Its types are not safe for
// concurrent use, except View, which never changes.
package config
