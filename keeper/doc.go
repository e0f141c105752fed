// Package keeper is the home of programs: it holds the history and the budgets
// of the shards of which this host is home, and records them in the platform's
// store. Every append names the offset that it expects, so that hosts which
// believe to be home at the same time stay correct: the one that loses a race
// reads on and builds its records anew.
package keeper
