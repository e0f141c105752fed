// Package budgeter keeps programs within their token budgets without leases. Costs are
// counted in generated tokens. A call reserves the maximum number of tokens that it can
// generate before it is sent, and settles the tokens that it did generate afterwards.
//
// There are two schemes. In the first, Account is the view of a program's holder:
// the host that runs the program's calls. A holder spends only up to a ceiling of its
// own. The first ceiling needs no record; each higher ceiling is granted by a record
// in the log, which Ledger tracks. A new holder starts above every ceiling that an
// earlier holder could have spent to. So the sum stays within the budget whatever
// hosts are paused, taken over or answered late.
//
// In the second scheme, Escrow is the view of a program's home: the host that
// owns the program's shard by rendezvous hashing, and reserves budget for the turns
// of all programs of the shard.
package budgeter
