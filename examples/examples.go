// Package examples holds rule files that show how a deployment is described.
package examples

import _ "embed"

// Deepam is the rule file of a house that makes signal timers.
//
//go:embed deepam.rules
var Deepam string

// Baromedr is the rule file of a workshop that mends barometers.
//
//go:embed baromedr.rules
var Baromedr string

// Demo is the rule file of the demo, with both houses.
//
//go:embed demo.rules
var Demo string

// The keys of the example organisations.
const (
	DeepamKey   = "deepam-demo-key"
	BaromedrKey = "baromedr-demo-key"
)
