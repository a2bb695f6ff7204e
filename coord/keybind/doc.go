// Package keybind binds idempotency keys that callers choose to tickets, so that a request
// that is retried under the same key runs at most once.
//
// Bindings are stored in the records of an append-only stream with offsets. Each record names
// a base: its appender had read all records below the base and found the keys unbound. A
// binding is valid unless another binding of its key is at or after the base: the first
// one in the order of the stream wins, and the appender of a later one uses the ticket of the
// first. Package ticket ensures that the ticket runs at most once.
//
// A Fold holds the bindings of the stream. Whether a binding is valid depends only on the
// records from its base on, so that folds that began at different offsets agree; a fold that
// began after the base marks the binding as unconfirmed. Records also release old bindings,
// so that all folds release them at the same offset. An AgeTracker tells an appender up to
// which offset to release, and a Batcher puts many bindings into one record.
//
// The package reads no clock, opens no socket and starts no goroutine. Times are passed as
// arguments: the time since the process started on its monotonic clock, unless wall time is
// stated. The types are not safe for concurrent use.
package keybind
