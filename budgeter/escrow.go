package budgeter

// Escrow is the view that one home has of a program's budget. All amounts are in
// tokens. A home reserves tokens in three ways: by a reservation recorded in the
// store, without a record up to its recorded allowance, and for at most one further
// turn whose record is still being written. The allowances of other homes count as
// spent, since a home that crashed can't tell how much of its allowance it used. So
// a program generates at most its budget and one further turn.
type Escrow struct {
	// Budget is the maximum that the program may generate in total.
	Budget int64
	// Settled is the number of tokens that ended turns generated.
	Settled int64
	// Reserved is the sum of the reservations of running turns: the maximum that each can
	// generate.
	Reserved int64
	// OtherAllowances is the sum of the allowances of other homes.
	OtherAllowances int64
	// Allowance is how much this home may reserve without a record in the store.
	Allowance int64
	// Unrecorded is the part of Settled and Reserved that is not in the store yet.
	Unrecorded int64
}

// budgetAllowanceDivisor limits an allowance to a third of the budget. This covers
// some turns of a program while the store is unavailable. If the home crashes, the
// program can no longer use the allowance. Most programs can bear this loss: they
// use a quarter of their budget, and only one program in ten uses more than two fifths.
const budgetAllowanceDivisor = 3

// leftAllowanceDivisor limits an allowance to half of the budget that is left. So a
// program always has budget left after its home has crashed.
const leftAllowanceDivisor = 2

// WantedAllowance returns the allowance that a home without an allowance should
// record, in tokens.
func (e Escrow) WantedAllowance() int64 {
	return max(0, min(e.Budget/budgetAllowanceDivisor, e.Left()/leftAllowanceDivisor))
}

// EscrowReserved means that the tokens are reserved in the Escrow.
type EscrowReserved struct {
	// RecordNow is set if the allowance does not cover the reservation: the
	// reservation has to be recorded at once.
	RecordNow bool
}

// RecordFirst means that nothing is reserved: the unrecorded earlier reservations exceed
// the allowance and have to be recorded first.
type RecordFirst struct{}

func (EscrowReserved) verdict() {}
func (RecordFirst) verdict()    {}

// Left returns the part of the budget that is not settled, reserved or part of another
// home's allowance, in tokens.
func (e Escrow) Left() int64 { return e.Budget - e.Settled - e.Reserved - e.OtherAllowances }

// WithReservation returns the escrow with the tokens of one turn reserved if the
// verdict is EscrowReserved, and the unchanged escrow otherwise. maxTokens is the
// maximum that the turn can generate.
func (e Escrow) WithReservation(maxTokens int64) (Escrow, Verdict) {
	switch {
	case maxTokens < 0 || maxTokens > e.Left():
		return e, Exceeded{Left: e.Left()}
	case e.Unrecorded > e.Allowance:
		return e, RecordFirst{}
	}
	e.Reserved += maxTokens
	e.Unrecorded += maxTokens
	return e, EscrowReserved{RecordNow: e.Unrecorded > e.Allowance}
}

// WithSettled returns the escrow after a turn has ended. maxTokens is what the turn
// reserved, generated what the turn generated, and recorded reports whether the
// reservation is in the store.
func (e Escrow) WithSettled(maxTokens, generated int64, recorded bool) Escrow {
	generated = min(maxTokens, max(0, generated))
	e.Reserved -= maxTokens
	e.Settled += generated
	if !recorded {
		e.Unrecorded += generated - maxTokens
	}
	return e
}

// WithRecorded returns the escrow after an amount of Unrecorded tokens was recorded
// in the store.
func (e Escrow) WithRecorded(amount int64) Escrow {
	e.Unrecorded -= amount
	return e
}
