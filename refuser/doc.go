// Package refuser defines the error with which a call is refused or fails. A Refusal
// has a stable reason code, states whether the call ran, and may state when to try
// again.
package refuser
