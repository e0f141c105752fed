// Package assembler combines the chunks of a streamed chat completion into one message.
package assembler
