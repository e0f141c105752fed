// Package assembler puts the parts of a streamed answer together again.
package assembler
