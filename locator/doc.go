// Package locator finds the host that is home for a program, a key or an
// upstream. Homes follow from rendezvous hashing over the platform's list of
// hosts, corrected by what the host itself saw of its peers. Two hosts may
// disagree about a home for a while; no promise depends on their agreement.
package locator
