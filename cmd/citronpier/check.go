package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/citronpier/citronpier/checker"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/platform"
)

const (
	flagAgainst    = "against"
	flagBodyMemory = "body-memory"
)

func checkQuery() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a rule file or a platform configuration; every mistake is printed with its line and column",
		Description: "A file that begins with { is a configuration in JSON. The exit code is then 0 if it has no\n" +
			"mistakes, 1 if it has, and 2 if it can't be read.",
		ArgsUsage:    "FILE",
		Category:     categoryQueries,
		OnUsageError: onUsageError,
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.StringFlag{Name: flagAgainst, Usage: "also print how a configuration differs from the one in `FILE`"},
			&cli.Int64Flag{Name: flagBodyMemory, Usage: "memory for the bodies of callers on the smallest host, in `BYTES`"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			text, err := readFile(c)
			if err != nil {
				return err
			}
			if strings.HasPrefix(strings.TrimSpace(text), "{") {
				return checkConfiguration(os.Stdout, c, text)
			}
			rules, err := parser.Parser{}.Parse(text)
			if c.Bool(flagJSON) {
				return printCheck(rules, err)
			}
			if err != nil {
				return err
			}
			fmt.Printf("%d rules, no mistakes\n", len(rules.List))
			return nil
		},
	}
}

// configurationReport is the JSON output of the check of a configuration.
type configurationReport struct {
	Version     int64                `json:"version"`
	Findings    []checker.Finding    `json:"findings"`
	Differences []checker.Difference `json:"differences,omitempty"`
}

// findingsError reports that a configuration has mistakes, which are printed already.
type findingsError struct{ Count int }

// Error states the number of mistakes.
func (e *findingsError) Error() string {
	return fmt.Sprintf("%d mistakes in the configuration", e.Count)
}

// checkConfiguration prints the mistakes in a configuration and how it differs from another
// version.
func checkConfiguration(w io.Writer, c *cli.Command, text string) error {
	document, err := platform.ReadDocument([]byte(text))
	if err != nil {
		return &usageError{Detail: err.Error()}
	}
	report := configurationReport{
		Version:  document.Version,
		Findings: checker.Check(document, checker.Limits{BodyMemory: c.Int64(flagBodyMemory)}),
	}
	if path := c.String(flagAgainst); path != "" {
		before, err := readDocument(path)
		if err != nil {
			return err
		}
		report.Differences = checker.Compare(before, document)
	}
	if err := report.print(w, c.Bool(flagJSON)); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return &findingsError{Count: len(report.Findings)}
	}
	return nil
}

// readDocument reads the configuration in a file.
func readDocument(path string) (checker.Document, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return checker.Document{}, &usageError{Detail: err.Error()}
	}
	document, err := platform.ReadDocument(raw)
	if err != nil {
		return checker.Document{}, &usageError{Detail: path + ": " + err.Error()}
	}
	return document, nil
}

// print writes the report as JSON or as lines of text.
func (r configurationReport) print(w io.Writer, asJSON bool) error {
	if asJSON {
		return printJSON(r)
	}
	var lines []string
	for _, f := range r.Findings {
		lines = append(lines, f.String())
	}
	for _, d := range r.Differences {
		lines = append(lines, d.String())
	}
	if len(r.Findings) == 0 {
		lines = append(lines, fmt.Sprintf("version %d, no mistakes", r.Version))
	}
	_, err := fmt.Fprintln(w, strings.Join(lines, "\n"))
	return err
}
