package demonstrator

// scenario is a template from which the demo makes programs.
type scenario struct {
	kind      string
	apiKey    string
	prompts   []string
	maxTokens int64
	// service and path name the service call at the end of the program. If
	// service is empty, the program makes no service call.
	service string
	path    string
	// weight is the relative frequency with which the scenario is chosen.
	weight int
}

// model is the model that the demo's engines serve.
const model = "timer-7b"

// scenarios returns the demo's scenarios, given the API keys of the two example
// organisations.
func scenarios(deepam, baromedr string) []scenario {
	return []scenario{
		{
			kind: "fitter", apiKey: deepam, maxTokens: 48, weight: 3,
			prompts: []string{
				"The board at Vytilla stays dark after dusk.",
				"The relay clicks but the lamp does not light.",
				"The fuse is whole. What next?",
			},
			service: "install", path: "log",
		},
		{
			kind: "dealer", apiKey: deepam, maxTokens: 96, weight: 4,
			prompts: []string{
				"Plan the week for forty shops in Kochi.",
				"Onam falls on Thursday: keep the boards lit until two.",
				"And dim them by half after midnight.",
				"List what changes.",
			},
		},
		{
			kind: "command", apiKey: deepam, maxTokens: 24, weight: 2,
			prompts: []string{"Switch shop 118 on at 18:12."},
			service: "timer", path: "switch",
		},
		{
			kind: "volunteer", apiKey: baromedr, maxTokens: 96, weight: 3,
			prompts: []string{
				"The needle sticks at Change.",
				"It moves when I tap the glass.",
				"Is the chain worn?",
			},
		},
		{
			kind: "owner", apiKey: baromedr, maxTokens: 48, weight: 2,
			prompts: []string{"When does my glass come home to Swansea?"},
		},
		{
			kind: "driver", apiKey: baromedr, maxTokens: 24, weight: 1,
			prompts: []string{"I am at the door for the Wrexham stick barometer."},
			service: "courier", path: "book",
		},
		{
			kind: "parts", apiKey: baromedr, maxTokens: 48, weight: 1,
			prompts: []string{"One bellows for an aneroid of 1890.", "Brass, not steel."},
			service: "order", path: "bellows",
		},
	}
}
