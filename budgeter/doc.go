// Package budgeter keeps a program within its budget without a lease. A
// holder spends only up to a ceiling that is its own: the first ceiling needs
// no record, each higher one is granted in the log. A new holder starts above
// every ceiling that an earlier holder could have spent, so that no pause,
// takeover or late answer can make the sum exceed the budget.
//
// Costs are generated tokens. Each call reserves the most that it can
// generate before it is sent and settles what it did generate afterwards.
package budgeter
