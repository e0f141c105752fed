package parser

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// line is one line of a rule file as written.
type line struct {
	Pos     lexer.Position
	Words   []word `parser:"@@*"`
	Comment string `parser:"@Comment?"`
}

// word is one word of a rule.
type word struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
}

var definition = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Word", Pattern: `[^\s#]+`},
	{Name: "Space", Pattern: `[ \t\r]+`},
})

var grammar = participle.MustBuild[line](
	participle.Lexer(definition),
	participle.Elide("Space"),
)
