package budgeter

// firstCeilingDivisor sets the first ceiling: the holder that opens a program may
// spend a quarter of the budget without a record. Each grant raises the ceiling by
// a quarter of the budget as well, or by more if a call needs more.
const firstCeilingDivisor = 4

// FirstCeiling returns the ceiling, in tokens, of the holder that opens a program. This
// ceiling needs no record in the log.
func FirstCeiling(budget int64) int64 {
	return min(budget, max(1, budget/firstCeilingDivisor))
}

// Account is one holder's view of a program's budget. All amounts are in tokens.
type Account struct {
	// Budget is the maximum that the program may spend in total.
	Budget int64
	// Ceiling limits the sum of Spent and Reserved for this holder.
	// Ceiling <= Budget.
	Ceiling int64
	// Spent is the sum of the settled costs and of the tokens that earlier holders
	// could have spent. Spent + Reserved <= Ceiling.
	Spent int64
	// Reserved is the sum of the highest possible costs of the running calls.
	Reserved int64
}

// Open returns the account of the holder that opens a program with a budget in tokens.
func Open(budget int64) Account {
	return Account{Budget: budget, Ceiling: FirstCeiling(budget)}
}

// Verdict is the result of a reservation: Reserved, CeilingTooLow or Exceeded for an
// Account, and EscrowReserved, RecordFirst or Exceeded for an Escrow.
type Verdict interface{ verdict() }

// Reserved means that the cost is reserved in the Account.
type Reserved struct{}

// CeilingTooLow means that the budget covers the cost but the ceiling does not: the
// holder has to get a higher ceiling granted first.
type CeilingTooLow struct {
	// Ceiling is the ceiling to request, in tokens.
	Ceiling int64
}

// Exceeded means that the budget does not cover the cost.
type Exceeded struct {
	// Left is how many tokens the budget still covers.
	Left int64
}

func (Reserved) verdict()      {}
func (CeilingTooLow) verdict() {}
func (Exceeded) verdict()      {}

// Left returns the part of the budget that is neither spent nor reserved, in tokens.
func (a Account) Left() int64 { return a.Budget - a.Spent - a.Reserved }

// WithReserved returns the account with the cost reserved if the verdict is Reserved,
// and the unchanged account otherwise.
func (a Account) WithReserved(cost int64) (Account, Verdict) {
	need := a.Spent + a.Reserved + cost
	switch {
	case cost < 0 || need > a.Budget:
		return a, Exceeded{Left: a.Left()}
	case need > a.Ceiling:
		return a, CeilingTooLow{Ceiling: min(a.Budget, max(need, a.Ceiling+FirstCeiling(a.Budget)))}
	}
	a.Reserved += cost
	return a, Reserved{}
}

// WithSettled returns the account after a call has ended. reserved is the cost that
// the call reserved, and spent is the part of that cost that the call used.
func (a Account) WithSettled(reserved, spent int64) Account {
	a.Reserved -= reserved
	a.Spent += min(reserved, max(0, spent))
	return a
}

// WithCeiling returns the account with the ceiling that the log has granted. The
// ceiling never falls.
func (a Account) WithCeiling(ceiling int64) Account {
	a.Ceiling = min(a.Budget, max(a.Ceiling, ceiling))
	return a
}
