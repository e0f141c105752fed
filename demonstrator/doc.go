// Package demonstrator runs a demo: hosts and stand-ins in one process, the
// programs of both example deployments, and the loss of a host half way. It
// checks the promises from the ledgers of the stand-ins.
package demonstrator
