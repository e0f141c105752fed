// Package publisher appends rule files to the log and determines which rule file
// is in force. Each file names the version that it was edited from, its base.
// Hosts replay the files in offset order and accept a file only when it is valid
// and its base is the version in force at that offset, so all hosts arrive at the
// same result. A host that has no rules yet accepts the first valid file.
package publisher
