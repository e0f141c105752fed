// Package coordinator runs the calls of the programs whose home this host is.
// A program is a series of calls that share a history and a token budget; its
// home is the host that owns it by rendezvous hashing. The coordinator keeps the
// calls of a program in order, checks that each call extends the program's
// history, keeps spending within the budget, and runs each call that may not be
// repeated at most once.
//
// A host spends a program's budget as a budget holder, which has a random id and a
// ceiling for its spending. A host that takes a program over without a handover
// commits a claim under a new holder to the replicated log. The new holder counts
// as spent all that earlier holders may spend, and only the holder of the latest
// claim can have its ceiling raised.
package coordinator
