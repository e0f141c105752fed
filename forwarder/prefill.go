package forwarder

import "time"

const (
	// initialPrefill is the time for one prompt token that is assumed before anything was
	// measured, and initialPrefillWeight is the weight of this assumption, as a number of
	// measurements with prompts that differ by initialPrefillTokens.
	initialPrefill       = 10 * time.Microsecond
	initialPrefillWeight = 10
	initialPrefillTokens = 1000
	// prefillMemory is the number of measurements after which a measurement has lost
	// most of its weight.
	prefillMemory = 300
	// minPrefill and maxPrefill bound the estimate: few measurements may give nonsense.
	minPrefill = time.Microsecond
	maxPrefill = time.Millisecond
)

// prefill estimates how long the engines of a service take to read one prompt token. It
// is the slope of the line through the measured times until a response begins, over the
// number of tokens to read (least squares); older measurements count less. The zero
// value has no measurements.
type prefill struct {
	// weight is the sum of the weights of all measurements. tokens and time are the
	// weighted means. tokensTokens and tokensTime are the weighted sums of the products
	// of the differences from the means. Times are in seconds.
	weight, tokens, time, tokensTokens, tokensTime float64
}

// WithSample returns p with one more measurement: the response to a prompt of which the
// given number of tokens was to be read began after took.
func (p prefill) WithSample(tokens int64, took time.Duration) prefill {
	const kept = 1 - 1.0/prefillMemory
	p.weight = p.weight*kept + 1
	p.tokensTokens *= kept
	p.tokensTime *= kept
	tokensOff, timeOff := float64(tokens)-p.tokens, took.Seconds()-p.time
	p.tokens += tokensOff / p.weight
	p.time += timeOff / p.weight
	p.tokensTokens += tokensOff * (float64(tokens) - p.tokens)
	p.tokensTime += tokensOff * (took.Seconds() - p.time)
	return p
}

// PerToken returns the time for one prompt token.
func (p prefill) PerToken() time.Duration {
	const assumed = initialPrefillWeight * initialPrefillTokens * initialPrefillTokens
	slope := (p.tokensTime + assumed*initialPrefill.Seconds()) / (p.tokensTokens + assumed)
	return min(maxPrefill, max(minPrefill, time.Duration(slope*float64(time.Second))))
}
