// Command bench compares scheduling policies under load. It also measures the
// costs that grow with the size of a deployment; the capacity page is calculated
// from these costs. It runs real hosts and fakes of the services that the hosts
// use (package standin) in one process, on the loopback interface.
package main
