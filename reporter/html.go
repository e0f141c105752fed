package reporter

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// WriteHTML writes the page as an HTML document without scripts.
func WriteHTML(w io.Writer, p Page) error {
	if err := pageTemplate.Execute(w, p); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
