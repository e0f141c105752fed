package descriptor

// Run states whether an upstream ran a call. The values are sent to callers.
type Run string

// The three values that a Run can have.
const (
	// RunNo means that the call was not run, and that it will not run unless the
	// caller repeats it.
	RunNo Run = "no"
	// RunYes means that the call was run.
	RunYes Run = "yes"
	// RunUnknown means that the call may have run. The system does not send the
	// call to an upstream again.
	RunUnknown Run = "unknown"
)
