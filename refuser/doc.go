// Package refuser defines the typed refusals of the system. Each refusal has a
// stable reason, says whether the call ran, and may say when to try again.
package refuser
