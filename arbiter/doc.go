// Package arbiter decides which sender may send a call that must run at most once.
// A sender is one execution of a call with an idempotency key, on any host. The
// sender appends an intent for the key to the log and reads the log back: the first
// intent in offset order wins. The winning sender owns the key until a release
// frees the key or the log drops the key's records, however long a sender is paused
// in between.
package arbiter
