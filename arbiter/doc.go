// Package arbiter decides who may send a call that must run at most once. The
// sender puts an intent into the log and reads it back: the first valid intent
// for a key in offset order wins, for ever, whoever is paused meanwhile.
package arbiter
