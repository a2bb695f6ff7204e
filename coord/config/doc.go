// Package config folds the records of the platform's log into the configuration in force.
//
// The log is the only total order. A change names its base, which is the offset of the version that
// it was made from, and the fold accepts the change only while that base is current. When two
// operators race, one wins and the other gets a conflict, and every process that reads the log
// reaches the same verdict without asking another process.
//
// The package has no clock, socket or goroutine of its own. Its types are not safe for concurrent
// use, except View, which is immutable.
package config
