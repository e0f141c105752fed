package isolator

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/citronpier/citronpier/recorder"
)

// crashesToRefuse is the number of counted crashes after which a request is
// refused.
const crashesToRefuse = 2

// maxFingerprints is the size of the LRU cache of fingerprints with crashes.
const maxFingerprints = 1 << 16

// Verdict tells whether and how a request may run: Clear, Suspect or Refused.
type Verdict interface{ verdict() }

// Clear means that no crash is known for the request.
type Clear struct{}

// Suspect means that one upstream crashed while it was running the request. No
// other suspect should run on the same upstream at the same time.
type Suspect struct{}

// Refused means that the request crashed upstreams repeatedly and must not run
// again.
type Refused struct{}

func (Clear) verdict()   {}
func (Suspect) verdict() {}
func (Refused) verdict() {}

// An Isolator counts the crashes that each request caused. Its methods may be
// called by several goroutines.
type Isolator struct {
	// crashes holds, for each fingerprint, the ids of the attempts during which
	// an upstream crashed.
	crashes *lru.Cache[Fingerprint, []string]
}

// New returns an Isolator without recorded crashes.
func New() *Isolator {
	cache, err := lru.New[Fingerprint, []string](maxFingerprints)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Isolator{crashes: cache}
}

// Verdict returns the verdict on the request with fingerprint f.
func (i *Isolator) Verdict(f Fingerprint) Verdict {
	crashes, _ := i.crashes.Get(f)
	switch {
	case len(crashes) >= crashesToRefuse:
		return Refused{}
	case len(crashes) > 0:
		return Suspect{}
	}
	return Clear{}
}

// RecordCrash records that an upstream crashed while an attempt of the request was in
// flight. Repeated reports of the same attempt count once. After the first crash,
// another crash counts only if the request ran alone, as the only suspect on that
// upstream. Without this rule a harmless request could be refused: programs often
// send the same request several times, and upstreams may crash together for
// another reason.
func (i *Isolator) RecordCrash(f Fingerprint, attempt string, alone bool) {
	crashes, _ := i.crashes.Get(f)
	if slices.Contains(crashes, attempt) || (len(crashes) > 0 && !alone) {
		return
	}
	i.crashes.Add(f, append(slices.Clone(crashes), attempt))
}

// RecordSuccess records that an upstream answered the request, and clears the crashes
// recorded for it.
func (i *Isolator) RecordSuccess(f Fingerprint) { i.crashes.Remove(f) }

// Apply records the crash that a Poison record of the log reports, and ignores
// other records. The log's replica on each host calls it for every record, so that
// a request which crashed upstreams is refused on every host.
func (i *Isolator) Apply(_ int64, record *recorder.Record) {
	if p := record.GetPoison(); p != nil {
		i.RecordCrash(Fingerprint(p.GetFingerprint()), p.GetAttempt(), p.GetAlone())
	}
}

// Prune does nothing when the log is trimmed: maxFingerprints bounds the recorded
// crashes instead.
func (i *Isolator) Prune(int64) {}
