package descriptor

// Rank is the priority of a program. Calls of a higher rank are served first.
type Rank int

// The ranks, lowest first. The zero value is Ordinary.
const (
	Ordinary Rank = iota
	Urgent
)

// Ranks lists all ranks, lowest first.
func Ranks() []Rank { return []Rank{Ordinary, Urgent} }

// String returns the name of the rank in rule files and metrics.
func (r Rank) String() string {
	if r == Urgent {
		return "urgent"
	}
	return "ordinary"
}

// ParseRank returns the rank with the given name, or false if there is none.
func ParseRank(word string) (Rank, bool) {
	for _, r := range Ranks() {
		if r.String() == word {
			return r, true
		}
	}
	return Ordinary, false
}
