// Package sequencer keeps the calls of a program in order and its message history
// consistent. Each answer carries a signed token, which the next call presents. The
// token has a digest of the messages up to and including that answer. A call is
// accepted only if its messages start with the messages that the digest covers and
// add to them. So the order of calls follows from the token, and hosts need not
// coordinate.
package sequencer
