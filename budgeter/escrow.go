package budgeter

// Escrow is what one home knows of a program's budget. A home hands out what
// is recorded in the store, what its recorded allowance covers, and at most
// one turn more while the record of that is on its way. Allowances of other
// homes count as spent, since a home that is gone can't say how much of them
// it used. So a program gets at most its budget and one turn.
type Escrow struct {
	// Budget is the most that the program may generate, in tokens.
	Budget int64
	// Settled counts what ended turns generated.
	Settled int64
	// Held counts the most that turns under way generate.
	Held int64
	// Foreign is the sum of the allowances of other homes.
	Foreign int64
	// Allowance is what this home may hand out before it is recorded.
	Allowance int64
	// Unrecorded is the part of Settled and Held that the store does not have.
	Unrecorded int64
}

// allowanceShare is the part of a budget, as a divisor, that a home may hand
// out unrecorded: it lasts a program some turns while the store is away, and is
// lost to it when the home dies. Programs use a quarter of their budgets, one in
// ten more than two fifths.
const allowanceShare = 3

// leftShare is the part of what is left, as a divisor, that an allowance takes
// at most, so that no death of a home ends a program.
const leftShare = 2

// WantedAllowance returns the allowance that a home asks for.
func (e Escrow) WantedAllowance() int64 {
	return max(0, min(e.Budget/allowanceShare, e.Left()/leftShare))
}

// Held says that the most of a turn is held for it.
type Held struct {
	// Record says that the hold has to be recorded at once.
	Record bool
}

// Behind says that earlier holds have to be recorded first.
type Behind struct{}

func (Held) verdict()   {}
func (Behind) verdict() {}

// Left returns what the budget covers beyond all that was or may be spent.
func (e Escrow) Left() int64 { return e.Budget - e.Settled - e.Held - e.Foreign }

// WithHold returns the account with the most of one turn held, where it is
// covered.
func (e Escrow) WithHold(most int64) (Escrow, Verdict) {
	switch {
	case most < 0 || most > e.Left():
		return e, Exceeded{Left: e.Left()}
	case e.Unrecorded > e.Allowance:
		return e, Behind{}
	}
	e.Held += most
	e.Unrecorded += most
	return e, Held{Record: e.Unrecorded > e.Allowance}
}

// WithSettled returns the account after a turn has generated part of its most.
func (e Escrow) WithSettled(most, generated int64, recorded bool) Escrow {
	generated = min(most, max(0, generated))
	e.Held -= most
	e.Settled += generated
	if !recorded {
		e.Unrecorded += generated - most
	}
	return e
}

// WithRecorded returns the account after an amount has got into the store.
func (e Escrow) WithRecorded(amount int64) Escrow {
	e.Unrecorded -= amount
	return e
}
