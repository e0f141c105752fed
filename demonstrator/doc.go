// Package demonstrator runs a demo in one process: real hosts, fakes of the
// engines and services that they call (package standin), and clients that run
// the programs of two example organisations. Halfway through, one host may be
// stopped or killed. At the end the demo checks the system's guarantees against
// the fakes' own records of the calls that they executed.
package demonstrator
