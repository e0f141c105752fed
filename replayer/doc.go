// Package replayer reads a log stream and applies its records to a state, in
// offset order. Every replica of a stream goes through the same states.
package replayer
