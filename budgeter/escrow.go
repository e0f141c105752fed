package budgeter

// Escrow is what one home knows of a program's budget. A home hands out what
// it was granted in the store, and at most one turn more while the grant for
// that is on its way. Grants of other homes count as spent, since a home that
// is gone can't say how much of them it used.
type Escrow struct {
	// Budget is the most that the program may generate, in tokens.
	Budget int64
	// Granted is the sum of the recorded grants to all homes. Granted >= Own.
	Granted int64
	// Own is the part of Granted that was granted to this home.
	Own int64
	// Spent counts what this home's ended turns generated.
	Spent int64
	// Reserved counts the most that this home's turns under way generate.
	Reserved int64
}

// aheadTurns is how many turns a grant covers beyond the ones reserved, so that
// most turns need no grant of their own.
const aheadTurns = 2

// Ahead says that the cost is reserved while its grant is on its way.
type Ahead struct {
	// Grant is the amount to ask for.
	Grant int64
}

func (Ahead) verdict() {}

// Left returns what the budget covers beyond all that was or may be spent.
func (e Escrow) Left() int64 {
	return e.Budget - (e.Granted - e.Own) - e.Spent - e.Reserved
}

// WithReserved returns the account with the most of one turn reserved, where it
// is covered. Short asks for a grant before the turn may run.
func (e Escrow) WithReserved(most int64) (Escrow, Verdict) {
	if most < 0 || most > e.Left() {
		return e, Exceeded{Left: e.Left()}
	}
	before := e.Spent + e.Reserved
	need := before + most
	if need <= e.Own {
		e.Reserved += most
		return e, Reserved{}
	}
	grant := min(need+aheadTurns*most, e.Budget-(e.Granted-e.Own)) - e.Own
	if before > e.Own {
		return e, Short{Ceiling: e.Own + grant}
	}
	e.Reserved += most
	return e, Ahead{Grant: grant}
}

// WithSettled returns the account after a turn that reserved its most has
// generated part of it.
func (e Escrow) WithSettled(reserved, generated int64) Escrow {
	e.Reserved -= reserved
	e.Spent += min(reserved, max(0, generated))
	return e
}

// WithGrant returns the account after a recorded grant to this home.
func (e Escrow) WithGrant(amount int64) Escrow {
	e.Granted += amount
	e.Own += amount
	return e
}

// WithRecorded returns the account after a record of another home.
func (e Escrow) WithRecorded(granted int64) Escrow {
	e.Granted = max(e.Own, granted)
	return e
}

// Unused returns what this home was granted and has neither spent nor reserved.
func (e Escrow) Unused() int64 { return max(0, e.Own-e.Spent-e.Reserved) }
