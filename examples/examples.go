// Package examples holds the rule files of example deployments. A rule file lists
// the organisations that may send work, their kinds of programs with budgets and
// latency targets, the services that programs may call, and limits.
package examples

import _ "embed"

// Deepam is the rule file of a deployment for one organisation, a maker of signal
// timers in Kerala.
//
//go:embed deepam.rules
var Deepam string

// Baromedr is the rule file of a deployment for one organisation, a workshop in
// Wales that repairs barometers.
//
//go:embed baromedr.rules
var Baromedr string

// Demo is the rule file of the demo, a deployment that the organisations of
// Deepam and Baromedr share.
//
//go:embed demo.rules
var Demo string

// API keys of the example organisations. The rule files contain their hashes.
const (
	DeepamKey   = "deepam-demo-key"
	BaromedrKey = "baromedr-demo-key"
)
