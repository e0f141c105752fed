package descriptor

// Rank is the importance of a program. A higher rank is served first.
type Rank int

// The ranks, lowest first. The zero value is Ordinary.
const (
	Ordinary Rank = iota
	Urgent
)

// Ranks lists all ranks, lowest first.
func Ranks() []Rank { return []Rank{Ordinary, Urgent} }

// String returns the rank's word in rule files and metrics.
func (r Rank) String() string {
	if r == Urgent {
		return "urgent"
	}
	return "ordinary"
}

// ParseRank returns the rank that a word names.
func ParseRank(word string) (Rank, bool) {
	for _, r := range Ranks() {
		if r.String() == word {
			return r, true
		}
	}
	return Ordinary, false
}
