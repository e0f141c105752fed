package demonstrator

// scenario is one kind of program in the demo.
type scenario struct {
	kind  string
	key   string
	says  []string
	limit int64
	// service and path name a call that is made once at the end.
	service string
	path    string
	// share is how often the scenario is chosen, relative to the others.
	share int
}

// model is the model that the demo's engines serve.
const model = "timer-7b"

func scenarios(deepam, baromedr string) []scenario {
	return []scenario{
		{
			kind: "fitter", key: deepam, limit: 48, share: 3,
			says: []string{
				"The board at Vytilla stays dark after dusk.",
				"The relay clicks but the lamp does not light.",
				"The fuse is whole. What next?",
			},
			service: "install", path: "log",
		},
		{
			kind: "dealer", key: deepam, limit: 96, share: 4,
			says: []string{
				"Plan the week for forty shops in Kochi.",
				"Onam falls on Thursday: keep the boards lit until two.",
				"And dim them by half after midnight.",
				"List what changes.",
			},
		},
		{
			kind: "command", key: deepam, limit: 24, share: 2,
			says:    []string{"Switch shop 118 on at 18:12."},
			service: "timer", path: "switch",
		},
		{
			kind: "volunteer", key: baromedr, limit: 96, share: 3,
			says: []string{
				"The needle sticks at Change.",
				"It moves when I tap the glass.",
				"Is the chain worn?",
			},
		},
		{
			kind: "owner", key: baromedr, limit: 48, share: 2,
			says: []string{"When does my glass come home to Swansea?"},
		},
		{
			kind: "driver", key: baromedr, limit: 24, share: 1,
			says:    []string{"I am at the door for the Wrexham stick barometer."},
			service: "courier", path: "book",
		},
		{
			kind: "parts", key: baromedr, limit: 48, share: 1,
			says:    []string{"One bellows for an aneroid of 1890.", "Brass, not steel."},
			service: "order", path: "bellows",
		},
	}
}
