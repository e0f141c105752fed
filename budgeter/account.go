package budgeter

// firstShare is the share of a budget, as a divisor, that the opening holder
// may spend without a record. It is also the step of a grant.
const firstShare = 4

// First returns the ceiling that the opener of a program holds without a record.
func First(budget int64) int64 {
	return min(budget, max(1, budget/firstShare))
}

// Account is one holder's view of a program's budget.
type Account struct {
	// Budget is the most that the program may spend over its life.
	Budget int64
	// Ceiling is the most that this holder may bring Spent plus Reserved to.
	// Ceiling <= Budget.
	Ceiling int64
	// Spent counts settled costs and what earlier holders could have spent.
	// Spent + Reserved <= Ceiling.
	Spent int64
	// Reserved counts the worst cost of the calls under way.
	Reserved int64
}

// Open returns the account of a program's opener.
func Open(budget int64) Account {
	return Account{Budget: budget, Ceiling: First(budget)}
}

// Verdict is the answer to a reservation.
type Verdict interface{ verdict() }

// Reserved says that the cost is reserved.
type Reserved struct{}

// Short says that a higher ceiling must be granted first.
type Short struct {
	// Ceiling is the ceiling to ask for.
	Ceiling int64
}

// Exceeded says that the budget does not cover the cost.
type Exceeded struct {
	// Left is what the budget still covers.
	Left int64
}

func (Reserved) verdict() {}
func (Short) verdict()    {}
func (Exceeded) verdict() {}

// Left returns what the budget covers beyond spent and reserved costs.
func (a Account) Left() int64 { return a.Budget - a.Spent - a.Reserved }

// WithReserved returns the account with a cost reserved, where it is covered.
func (a Account) WithReserved(cost int64) (Account, Verdict) {
	need := a.Spent + a.Reserved + cost
	switch {
	case cost < 0 || need > a.Budget:
		return a, Exceeded{Left: a.Left()}
	case need > a.Ceiling:
		return a, Short{Ceiling: min(a.Budget, max(need, a.Ceiling+First(a.Budget)))}
	}
	a.Reserved += cost
	return a, Reserved{}
}

// WithSettled returns the account after a call that reserved a cost has spent
// part of it.
func (a Account) WithSettled(reserved, spent int64) Account {
	a.Reserved -= reserved
	a.Spent += min(reserved, max(0, spent))
	return a
}

// WithCeiling returns the account after a grant.
func (a Account) WithCeiling(ceiling int64) Account {
	a.Ceiling = min(a.Budget, max(a.Ceiling, ceiling))
	return a
}
