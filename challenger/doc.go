// Package challenger strikes a deployment of entries, whose store keeps the
// history and budgets of programs, with every fault at every step of a program,
// and checks the promises by what callers and upstreams saw. Everything runs in
// one process and its own time.
package challenger
