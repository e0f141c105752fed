// Package coordinator is the home of programs: it keeps a program's calls in
// order, its history whole and its spending within its budget, and runs each
// call that may not be repeated at most once.
package coordinator
