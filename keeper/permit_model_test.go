package keeper_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citronpier/citronpier/messenger"
)

var (
	modelSeeds = flag.Int("model.seeds", 200, "number of seeds of the budget model")
	modelFirst = flag.Uint64("model.first", 1, "first seed of the budget model")
)

// run runs turns of a program one after another, as a caller that repeats refused turns. A
// program has up to six such sessions at once.
func (m *model) run(p *modelProgram, worker int) {
	for turn, refused := 0, 0; refused < maxTries && (p.loops || turn < p.turns); {
		h := m.pick()
		if h.isGone() {
			refused++
			time.Sleep(200 * time.Millisecond)
			continue
		}
		verdict := m.runTurn(h, p, fmt.Sprint(p.id, ".", worker, ".", turn, ".", refused))
		switch verdict {
		case messenger.BeginReply_RESERVED:
			turn, refused = turn+1, 0
			if m.long {
				time.Sleep(time.Duration(m.intn(20000)) * time.Millisecond)
			}
		default:
			refused++
			time.Sleep(time.Duration(100+m.intn(600)) * time.Millisecond)
		}
		if refused == maxTries {
			m.mu.Lock()
			p.unfinished++
			m.mu.Unlock()
		}
	}
}

func (h *modelHost) isGone() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead || h.resumed != nil
}

// runTurn begins a turn at a home and hands its tokens out if the home lets it run.
func (m *model) runTurn(h *modelHost, p *modelProgram, id string) messenger.BeginReply_Verdict {
	begin, end := beginRequest(id, ""), endRequest(id, "")
	begin.Program, begin.Budget, end.Program = p.id, p.budget, p.id
	begin.Retain = !m.quiet && m.intn(6) == 0
	end.Retain = begin.Retain
	verdict := h.keeper.Begin(m.ctx, begin, time.Now()).GetVerdict()
	if verdict != messenger.BeginReply_RESERVED {
		return verdict
	}
	end.Generated = int64(1 + m.intn(maxTokens))
	if p.loops {
		end.Generated = maxTokens
	}
	m.mu.Lock()
	p.handed += end.Generated
	m.mu.Unlock()
	time.Sleep(time.Duration(50+m.intn(500)) * time.Millisecond)
	if h.isGone() || m.intn(20) == 0 {
		return verdict
	}
	ctx, cancel := context.WithTimeout(m.ctx, 2*time.Second)
	defer cancel()
	_, _ = h.keeper.End(ctx, end, time.Now())
	return verdict
}

// runModel runs programs and disturbances of one seed, and returns the programs.
func runModel(t *testing.T, seed uint64) []*modelProgram {
	var programs []*modelProgram
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := &model{f: &fixture{}, ctx: ctx, random: rand.New(rand.NewPCG(seed, 0)), long: seed%4 == 0, quiet: isQuiet(seed), split: []int{8, 1}[seed/4%2]}
		warm := m.f.startHome(ctx, "first")
		begin := beginRequest("0", "")
		begin.Program, begin.Retain = "first", false
		warm.Begin(ctx, begin, time.Now())
		synctest.Wait()
		m.f.store.SetFault(m.fault)
		m.hosts = make([]*modelHost, 2)
		for i := range m.hosts {
			m.replace(i, false)
		}
		var running sync.WaitGroup
		for i := range 24 {
			p := &modelProgram{id: fmt.Sprint("p", i), budget: int64(1+m.intn(12)) * maxTokens, loops: m.intn(3) == 0, turns: 2 + m.intn(6), sessions: 1 + m.intn(6)}
			if m.intn(2) == 0 {
				p.loops, p.sessions, p.turns, p.budget = false, 1, 2+m.intn(4), 12*maxTokens
			}
			programs = append(programs, p)
			start := m.scaled(time.Duration(m.intn(15000)) * time.Millisecond)
			for worker := range p.sessions {
				running.Go(func() {
					time.Sleep(start)
					m.run(p, worker)
				})
			}
		}
		if isQuiet(seed) {
			m.disturbOnce()
		}
		for range 8 + m.intn(8) {
			if isQuiet(seed) {
				break
			}
			time.Sleep(m.scaled(time.Duration(m.intn(2500)) * time.Millisecond))
			m.disturb()
		}
		running.Wait()
		cancel()
		time.Sleep(20 * time.Minute)
		synctest.Wait()
	})
	return programs
}

// Programs are handed more than their budget and one turn, because homes die, are paused or
// work at the same time, and the store loses calls and answers or is unavailable.
func TestModelBudgetExceeded(t *testing.T) {
	frugal, finished := make(map[bool]int), make(map[bool]int)
	for i := range *modelSeeds {
		seed := *modelFirst + uint64(i)
		for _, p := range runModel(t, seed) {
			if p.isFrugal() {
				frugal[isQuiet(seed)]++
			}
			if p.isFrugal() && p.unfinished == 0 {
				finished[isQuiet(seed)]++
			}
			if p.handed > p.budget+maxTokens {
				t.Errorf("seed %d: program %s was handed %d tokens of a budget of %d", seed, p.id, p.handed, p.budget)
			}
		}
	}
	t.Logf("%d of %d programs that need less than half of their budget finished in quiet seeds, %d of %d in others",
		finished[true], frugal[true], finished[false], frugal[false])
}
