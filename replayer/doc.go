// Package replayer reads a log stream and applies its records to a state, in
// offset order. Replicas that read the same records go through the same states.
package replayer
