// Package coordinator runs the calls of the programs whose home this host is.
// A program is a series of calls that share a history and a token budget; its
// home is the host that owns it by rendezvous hashing. The coordinator keeps the
// calls of a program in order, checks that each call extends the program's
// history, keeps spending within the budget, and runs each call that may not be
// repeated at most once.
package coordinator
