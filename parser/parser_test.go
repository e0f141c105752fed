package parser_test

import (
	"path"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"

	"github.com/citronpier/citronpier/examples"
	"github.com/citronpier/citronpier/parser"
)

// The archive holds pairs of files: a rule file and the faults that the parser
// must report for it.
func TestFaults(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/faults.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(archive.Files); i += 2 {
		rules, want := archive.Files[i], archive.Files[i+1]
		t.Run(path.Dir(rules.Name), func(t *testing.T) {
			got := ""
			if _, err := (parser.Parser{}).Parse(string(rules.Data)); err != nil {
				got = err.Error()
			}
			if diff := cmp.Diff(strings.TrimSpace(string(want.Data)), got); diff != "" {
				t.Errorf("faults (-want +got):\n%s", diff)
			}
		})
	}
}

// The rule files of the examples are valid.
func TestExamplesParse(t *testing.T) {
	for name, text := range map[string]string{
		"deepam": examples.Deepam, "baromedr": examples.Baromedr, "demo": examples.Demo,
	} {
		if _, err := (parser.Parser{}).Parse(text); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The parser must not panic on any text, and accepted rules must retain their
// text unchanged.
func FuzzParse(f *testing.F) {
	f.Add(examples.Demo)
	f.Fuzz(func(t *testing.T, text string) {
		rules, err := parser.Parser{}.Parse(text)
		if err == nil && rules.Text != text {
			t.Errorf("accepted rules have the changed text %q", rules.Text)
		}
	})
}
