// Command bench compares scheduling policies under load, and measures the costs
// that grow with the size of a deployment, from which the capacity page is
// calculated. It runs real hosts and fakes of the services that they use
// (package standin) in one process, on the loopback interface.
package main
