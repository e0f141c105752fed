// Package publisher decides which rule file is in force. Operators append rule
// files to the log; each names the version it was based on. The first valid
// file in offset order wins, and every host replays to the same result.
package publisher
