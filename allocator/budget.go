package allocator

// Budget divides the memory of a host into named parts. The parts together leave the Go runtime
// room below RuntimeLimit for everything that is not counted. The zero value divides
// DefaultMemory.
type Budget struct {
	// Memory is the memory of the process in bytes; 0 means DefaultMemory.
	Memory int64
}

const (
	// DefaultMemory is the memory of a host whose settings don't name it, in bytes.
	DefaultMemory = 512 << 20
	// programBytes is the memory of the program's text and data, which the Go runtime does not
	// count.
	programBytes = 24 << 20
	// connectionBytes is the memory of a connection with its buffers and goroutines, in bytes.
	connectionBytes = 24 << 10
	// runtimePercent is the part of the memory beside the program that is set as the soft limit
	// of the Go runtime, in percent. The rest is for what is allocated before the collector has
	// caught up.
	runtimePercent = 75
)

// The parts of a Budget, in percent of RuntimeLimit. The rest is for what is not counted.
const (
	bodiesPercent      = 25
	responsesPercent   = 25
	readersPercent     = 5
	chainsPercent      = 5
	turnsPercent       = 15
	connectionsPercent = 10
)

// Bodies returns the bytes for the bodies that callers send.
func (b Budget) Bodies() int64 { return b.percent(bodiesPercent) }

// Responses returns the bytes for responses of upstreams, the store and other hosts.
func (b Budget) Responses() int64 { return b.percent(responsesPercent) }

// Readers returns the bytes for what slow readers have not taken yet.
func (b Budget) Readers() int64 { return b.percent(readersPercent) }

// Chains returns the bytes for the cached chains of turns.
func (b Budget) Chains() int64 { return b.percent(chainsPercent) }

// Turns returns the bytes for the turns that are kept in memory for their programs.
func (b Budget) Turns() int64 { return b.percent(turnsPercent) }

// Connections returns the number of connections of callers that the memory allows.
func (b Budget) Connections() int { return int(b.percent(connectionsPercent) / connectionBytes) }

// RuntimeLimit returns the soft memory limit of the Go runtime in bytes.
func (b Budget) RuntimeLimit() int64 {
	memory := b.Memory
	if memory <= 0 {
		memory = DefaultMemory
	}
	return max(memory/2, memory-programBytes) * runtimePercent / 100
}

// percent returns a part of RuntimeLimit.
func (b Budget) percent(n int64) int64 { return b.RuntimeLimit() * n / 100 }
