package parser

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// line is the syntax tree of one line of a rule file: words and a comment, both of
// which may be missing.
type line struct {
	Pos     lexer.Position
	Words   []word `parser:"@@*"`
	Comment string `parser:"@Comment?"`
}

// word is one word of a rule and its position in the line.
type word struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
}

// definition lists the lexical tokens of a line. A word ends at a space or a
// comment.
var definition = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Word", Pattern: `[^\s#]+`},
	{Name: "Space", Pattern: `[ \t\r]+`},
})

// grammar parses one line without its line break.
var grammar = participle.MustBuild[line](
	participle.Lexer(definition),
	participle.Elide("Space"),
)
