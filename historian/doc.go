// Package historian holds the turns of programs as trees and joins the chain of
// a turn. It knows neither the store nor the clock.
package historian
