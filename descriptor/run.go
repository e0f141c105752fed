package descriptor

// Run says whether an upstream ran a call.
type Run string

// The values of Run.
const (
	// RunNo says that the call was not run and that no attempt of it will run
	// unless the caller asks again.
	RunNo Run = "no"
	// RunYes says that the call was run.
	RunYes Run = "yes"
	// RunUnknown says that the call may have run. It is never sent again.
	RunUnknown Run = "unknown"
)
