// Package checker finds mistakes in a configuration before it is published: entries that can't
// be read, entries that never match, limits that contradict each other. It also compares two
// configurations. It knows no file format; the reader of one fills in a Document.
package checker
