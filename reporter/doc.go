// Package reporter summarises what happened on the hosts and makes the owner's
// page, which states for one day which rules held and which did not. Each host
// counts events in a Reporter and appends summaries of them to the log. A Ledger
// collects the summaries of all hosts.
package reporter
