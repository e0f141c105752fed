// Package coordinator runs the calls of the programs whose home is this host. A
// program is a series of calls that share a history and a token budget; its home is
// the host that owns it by rendezvous hashing. The coordinator keeps the calls of a
// program in order, checks that each call extends the program's history, keeps
// spending within the budget, and ensures that a call that must not be repeated
// runs at most once.
//
// A host holds a program while it has the program's state in memory and runs the
// program's calls. It spends the budget as a budget holder, which has a random id
// and a ceiling for its spending. A host that takes a program over without a
// handover commits a claim under a new holder to the replicated log. The new holder
// counts as spent all tokens that earlier holders may spend, and only the ceiling
// of the latest claim's holder can be raised.
package coordinator
