// Package challenger tests a deployment of citronpier entries, whose store
// holds the history and budgets of programs. The tests inject every fault at
// every step of a program and check the guarantees against what callers and
// upstreams observed. Everything runs in one process with simulated time.
package challenger
