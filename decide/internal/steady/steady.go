// Package steady converts times since the process start for libraries that take a time.Time.
package steady

import "time"

// Time returns a time since the process start as a time.Time. Only differences between such times are
// meaningful.
func Time(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
