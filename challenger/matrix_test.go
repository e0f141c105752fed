package challenger_test

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
)

// columns are the steps at which a fault is injected. The fault is injected only
// once, when its step is first reached in or after the turn that armTurn
// returns:
//
//   - begin: a turn is about to be sent.
//   - hold: the reservation of the turn's tokens is being appended to a shard.
//   - sent: an upstream received the turn.
//   - event: the upstream sent the first event of the answer.
//   - end: the finished turn is being appended to a shard.
//   - answered: the caller received the complete answer.
//   - tool: a service received a call.
//   - configuration: a new configuration was written.
//   - departure: an upstream announced that it is leaving.
//   - takeover: a host was killed, and others take over its shards.
var columns = []string{"begin", "hold", "sent", "event", "end", "answered", "tool", "configuration", "departure", "takeover"}

// TestMatrix injects every fault (row) at every step (column). Each combination
// of a fault and a step is one test case.
func TestMatrix(t *testing.T) {
	for _, r := range rows {
		for _, c := range columns {
			t.Run(r.name+"/"+c, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runCase(t, r, c) })
			})
		}
	}
}

// pairColumns are the steps at which pairs of faults are injected by default.
// At these steps budget is reserved, a request that must run at most once was
// sent, or a turn becomes durable.
var pairColumns = []string{"hold", "sent", "end"}

var allPairs = flag.Bool("challenger.all", false, "inject pairs of faults at every step, not only where budget is spent or requests run")

// TestPairs injects every pair of faults at the same step. A pair may consist
// of the same fault twice. The steps are pairColumns, or all columns if the
// flag -challenger.all is set.
func TestPairs(t *testing.T) {
	if testing.Short() {
		t.Skip("pairs of faults are skipped in short mode")
	}
	steps := pairColumns
	if *allPairs {
		steps = columns
	}
	for i, first := range rows {
		for _, second := range rows[i:] {
			pair := row{first.name + " and " + second.name, func(fx *fixture) {
				first.inject(fx)
				second.inject(fx)
			}}
			for _, c := range steps {
				t.Run(pair.name+"/"+c, func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { runCase(t, pair, c) })
				})
			}
		}
	}
}

// armTurn returns the number, counted from 0, of the first turn in which the
// fault may be injected. For the step "hold", the append of a token
// reservation, it returns the first turn: a later turn may be covered by an
// allowance that was recorded earlier, and then it does not wait for its
// reservation.
func armTurn(column string) int {
	if column == "hold" {
		return 0
	}
	return 1
}

// turnCount is the number of turns of the program.
const turnCount = 5

// schedule calls a function after a delay. The fault counts as lasting until the
// function is called: checkRecovery waits for recoveryTime after that call.
func (fx *fixture) schedule(after time.Duration, call func()) {
	fx.mu.Lock()
	if end := time.Now().Add(after); end.After(fx.lastFault) {
		fx.lastFault = end
	}
	fx.mu.Unlock()
	time.AfterFunc(after, call)
}

// arm arranges for a fault to be injected once, the next time that a step is
// reached.
func (fx *fixture) arm(r row, column string) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.step = func(name string) {
		if name != column {
			return
		}
		fx.mu.Lock()
		alreadyInjected := fx.injected
		fx.injected = true
		fx.step = nil
		fx.mu.Unlock()
		if !alreadyInjected {
			fx.schedule(0, func() {}) // sets fx.lastFault to the current time
			r.inject(fx)
		}
	}
}

// runCase runs one test case: it runs a program, injects the fault of r at the
// step column and checks the guarantees.
func runCase(t *testing.T, r row, column string) {
	fx := newFixture(t)
	defer fx.stop()
	// previous is the id of the last answered turn, and chain the history up to
	// its end: the inputs and outputs of all answered turns.
	previous, chain := "", ""
	changed := false
	for i := range turnCount {
		if i == armTurn(column) {
			fx.arm(r, column)
		}
		id, ok := fx.turn(i, previous, chain)
		if !ok {
			break
		}
		chain += input(i) + output(id)
		previous = id
		fx.callTool(i)
		if i == 1 {
			fx.changeDeployment()
			changed = true
		}
	}
	if !changed {
		// The program ended early: either its shard was unavailable for all
		// attempts, or its budget is used up.
		fx.changeDeployment()
	}
	fx.checkRecovery(previous, chain)
	fx.check()
}

func input(turn int) string { return fmt.Sprintf("in%d\n", turn) }

func request(id, path, body string) descriptor.Request {
	return descriptor.Request{ID: id, Method: http.MethodPost, Host: "h", Path: path, Target: path, Body: []byte(body)}
}

func turnRequest(id, program, previous, body string) descriptor.Request {
	r := request(id, "/chat/x", body)
	r.Program, r.Session, r.Budget, r.MaxTokens, r.Previous, r.Model = program, "s", budget, maxTurnTokens, previous, "m"
	return r
}

// turn sends one turn of the program to one host after another until one host
// gives a complete answer. Each attempt has its own request id; turn returns the
// id of the answered attempt. It gives up after maxAttempts or when the program's
// budget is used up.
func (fx *fixture) turn(number int, previous, chain string) (id string, ok bool) {
	for try := range maxAttempts {
		live := fx.live()
		if len(live) == 0 {
			time.Sleep(restartDelay)
			continue
		}
		p := live[(number+try)%len(live)]
		id = fmt.Sprintf("t%d.%d", number, try)
		r := turnRequest(id, "p", previous, input(number))
		fx.mu.Lock()
		fx.current = p
		fx.mu.Unlock()
		fx.reachStep("begin")
		got := fx.send(p, r)
		if fx.checkTurn(r, got, chain) {
			return id, true
		}
		if got.status == http.StatusPaymentRequired {
			return "", false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "", false
}

// checkTurn reports whether a turn got a complete answer. It records a violation
// if an upstream got a prompt other than chain, the history so far, plus the
// input, if the previous turn was reported missing, or if a complete answer has
// the wrong content.
func (fx *fixture) checkTurn(r descriptor.Request, got result, chain string) bool {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	for _, body := range fx.observed.ran[r.ID] {
		if diff := cmp.Diff(chain+string(r.Body), body); diff != "" {
			fx.recordViolation("turn %s at an upstream (-want +got):\n%s", r.ID, diff)
		}
	}
	if got.status == http.StatusNotFound {
		fx.recordViolation("turn %s: the previous turn was reported missing: %s", r.ID, got.body)
	}
	if !got.complete {
		return false
	}
	var want strings.Builder
	for i := 1; i <= eventsPerTurn; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s-%d\n\n", i, r.ID, i)
	}
	if diff := cmp.Diff(want.String(), got.body); diff != "" {
		fx.recordViolation("answer of %s (-want +got):\n%s", r.ID, diff)
	}
	return true
}

// recordViolation records an observation that breaks a guarantee. The caller
// must hold fx.mu.
func (fx *fixture) recordViolation(format string, args ...any) {
	fx.observed.violations = append(fx.observed.violations, fmt.Sprintf(format, args...))
}

// callTool makes one call that must run at most once. It tries the next host
// only if a host refused the call with status 503, which guarantees that the
// call did not run.
func (fx *fixture) callTool(number int) {
	for try, p := range fx.live() {
		id := fmt.Sprintf("c%d.%d", number, try)
		got := fx.send(p, request(id, "/once/x", ""))
		if got.complete {
			fx.mu.Lock()
			if diff := cmp.Diff("did "+id, got.body); diff != "" {
				fx.recordViolation("answer of %s (-want +got):\n%s", id, diff)
			}
			fx.mu.Unlock()
			return
		}
		if got.status != http.StatusServiceUnavailable {
			return
		}
	}
}

// changeDeployment writes a new configuration, announces that an upstream is
// leaving, and kills a host.
func (fx *fixture) changeDeployment() {
	fx.configure()
	fx.reachStep("configuration")
	fx.mu.Lock()
	leaving := fx.tools[1].entry.WithLeaving(true)
	leaving.HeartbeatSequence++
	fx.tools[1].entry = leaving
	fx.mu.Unlock()
	fx.putKeyed(upstreams, leaving.ID, leaving)
	fx.reachStep("departure")
	// The other hosts take over the shards of the killed host.
	if live := fx.live(); len(live) > 1 {
		fx.kill(live[0])
	}
	fx.reachStep("takeover")
}

// checkRecovery checks that every live host works normally once recoveryTime
// has passed since the last fault. Each host must serve a new program, continue
// from the last answered turn of the old program, and use the newest
// configuration instead of an older version. No request sent after the faults
// may run at the leaving upstream.
func (fx *fixture) checkRecovery(previous, chain string) {
	fx.mu.Lock()
	fx.step = nil
	rest := time.Until(fx.lastFault.Add(recoveryTime))
	fx.mu.Unlock()
	time.Sleep(max(0, rest))
	leaving := fx.tools[1]
	for i, p := range fx.live() {
		program := fmt.Sprint("after", i)
		r := turnRequest(program+".1", program, "", input(i))
		if got := fx.send(p, r); !fx.checkTurn(r, got, "") {
			fx.t.Errorf("%s does not serve a new program: %+v", p.name, got)
		}
		if previous != "" {
			r := turnRequest(program+".2", program+"b", previous, "more\n")
			if got := fx.send(p, r); !fx.checkTurn(r, got, chain) {
				fx.t.Errorf("%s does not continue from an old turn: %+v", p.name, got)
			}
		}
		id := fmt.Sprint("last", i)
		if got := fx.send(p, request(id, fmt.Sprintf("/v%d/x", fx.newestVersion()), "")); !got.complete {
			fx.t.Errorf("%s does not have the newest configuration: %+v", p.name, got)
		}
		if got := fx.send(p, request(id+"o", fmt.Sprintf("/v%d/x", versionStep), "")); got.complete {
			fx.t.Errorf("%s still has an old configuration", p.name)
		}
	}
	fx.mu.Lock()
	defer fx.mu.Unlock()
	for id := range fx.observed.ran {
		if strings.HasPrefix(id, "last") && leaving.didRun(id) {
			fx.recordViolation("the leaving upstream ran %s", id)
		}
	}
}

// newestVersion returns the version of the configuration that was written last.
func (fx *fixture) newestVersion() int {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.version
}

// check checks the guarantees against what callers and upstreams observed. A
// service call runs at most once, a request reported as not run did not run,
// and the answers exceed the budget by at most one turn.
func (fx *fixture) check() {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	if !fx.injected {
		fx.t.Error("the step was never reached")
	}
	for _, text := range fx.observed.violations {
		fx.t.Error(text)
	}
	if fx.crashes != nil {
		fx.crashes.check(fx.t)
	}
	for id, bodies := range fx.observed.ran {
		if strings.HasPrefix(id, "c") && len(bodies) > 1 {
			fx.t.Errorf("request %s ran %d times", id, len(bodies))
		}
	}
	for _, id := range fx.observed.reportedNotRun {
		if len(fx.observed.ran[id]) > 0 {
			fx.t.Errorf("request %s ran and was reported as not run", id)
		}
	}
	if fx.observed.deliveredTokens > budget+maxTurnTokens {
		fx.t.Errorf("%d tokens were delivered on a budget of %d", fx.observed.deliveredTokens, budget)
	}
}
