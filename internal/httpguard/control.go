package httpguard

import "time"

// Limits for the clients of listeners that answer short questions of other processes.
const (
	controlHeaderBytes = 64 << 10
	controlHeaderTime  = 5 * time.Second
	controlBodyTime    = 5 * time.Second
	controlIdleTime    = time.Minute
)

// ControlLimits returns the limits for listeners that answer short questions of other processes.
func ControlLimits() Limits {
	return Limits{HeaderBytes: controlHeaderBytes, HeaderTime: controlHeaderTime, BodyTime: controlBodyTime, IdleTime: controlIdleTime}
}
