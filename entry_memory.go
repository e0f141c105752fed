package citronpier

import (
	"expvar"

	"github.com/citronpier/citronpier/allocator"
)

// largeTurnsDivisor sets the part of the memory for turns that large ones may take: a half.
const largeTurnsDivisor = 2

// largeTurns returns the bound of large turns, where the memory for turns has a number of bytes.
func largeTurns(turnBytes int64) *allocator.Window {
	if turnBytes == 0 {
		return nil
	}
	return &allocator.Window{Bytes: turnBytes / largeTurnsDivisor}
}

// hasBacklog reports whether callers have not taken all of their responses yet.
func (e *Entry) hasBacklog() bool {
	if e.config.Backlogs == nil {
		return false
	}
	used, _ := e.config.Backlogs.Used()
	return used > 0
}

// exposeMemory adds what callers take of the host to its metrics.
func (e *Entry) exposeMemory() {
	expose := func(name string, value func() int64) {
		e.counters.Memory.Set(name, expvar.Func(func() any { return value() }))
	}
	expose("turns", func() int64 {
		_, bytes := e.keeper.Size()
		return bytes
	})
	if c := e.config; c.Memory != nil {
		expose("responses", c.Memory.Used)
	}
	if c := e.config; c.Bodies != nil {
		expose("bodies", c.Bodies.Used)
		expose("shed", c.Bodies.Shed)
	}
	if c := e.config; c.Connections != nil {
		expose("connections", func() int64 { return int64(c.Connections.Open()) })
		expose("closed", c.Connections.Closed)
	}
	if c := e.config; c.Backlogs != nil {
		expose("readers", func() int64 {
			used, _ := c.Backlogs.Used()
			return used
		})
		expose("cut", func() int64 {
			_, cut := c.Backlogs.Used()
			return cut
		})
	}
}
