// Package caller is a small client for agent programs. It asks the system
// which host to use, carries the program's token and history, and repeats a
// failed request with the same key at the next host.
package caller
