// Package citronpier schedules agent programs. A program is a chain of
// dependent model calls whose length and order are not known in advance. Only
// the time from its first call to its last answer matters.
//
// The package has two kinds of entry host, which accept requests from callers:
//
//   - A Host keeps its state in the platform's log. It is home of some programs
//     and upstreams and keeps replicas of the log's streams in memory.
//   - An Entry keeps the history and budgets of programs in the platform's
//     partitioned store. It is home of some shards of the programs.
//
// The home of a program, shard or upstream is the host that owns it. Every host
// computes the home by rendezvous hashing over the live hosts.
package citronpier
