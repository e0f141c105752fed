// Package budgeter keeps programs within their token budgets without leases. Costs
// are counted in generated tokens. Before a call is sent, the maximum number of
// tokens that it can generate is reserved. After the call has ended, the tokens
// that it actually generated are settled.
//
// There are two schemes. In the first, Account is the view of a program's holder:
// the host that runs the program's calls. Each holder spends only up to its own
// ceiling. The first ceiling needs no record; each higher ceiling is granted by a
// record in the log, which Ledger tracks. A new holder counts as spent all
// tokens that earlier holders could have spent under their ceilings. So the sum stays
// within the budget even if hosts are paused, programs are taken over or answers arrive
// late.
//
// In the second scheme, Escrow is the view of a program's home: the host that
// owns the program's shard by rendezvous hashing, and reserves budget for the turns
// of all programs of the shard.
package budgeter
