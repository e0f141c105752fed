package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "compare scheduling policies under load, and measure slopes",
		Commands: []*cli.Command{
			{
				Name:  "load",
				Usage: "run scenarios under each policy in the same run",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "scenario", Value: "all", Usage: strings.Join(scenarioNames(), ", ") + " or all"},
					&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "time in which programs arrive"},
					&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals and programs"},
					&cli.StringFlag{Name: "policies", Value: "citronpier,least,rr", Usage: "policies to compare"},
					&cli.StringFlag{Name: "out", Usage: "file that gets a JSON line for each row"},
				},
				Action: load,
			},
			{Name: "slopes", Usage: "measure the slopes of the capacity page", Action: slopes},
		},
	}
}

// load is the action of "bench load": it runs the chosen scenarios one after
// another and prints a row for each policy.
func load(ctx context.Context, c *cli.Command) error {
	var rows []row
	for _, s := range scenarios {
		if wanted := c.String("scenario"); wanted != "all" && wanted != s.name {
			continue
		}
		compared, err := compare(ctx, s, strings.Split(c.String("policies"), ","), c.Duration("length"), c.Uint64("seed"))
		if err != nil {
			return err
		}
		printRows(os.Stdout, compared)
		rows = append(rows, compared...)
	}
	if len(rows) == 0 {
		return &unknownError{Kind: "scenario", Name: c.String("scenario")}
	}
	return writeLines(c.String("out"), rows)
}

// unknownError reports that no scenario or policy has the given name. Kind is
// "scenario" or "policy".
type unknownError struct{ Kind, Name string }

// Error names the unknown scenario or policy.
func (e *unknownError) Error() string { return "unknown " + e.Kind + ": " + e.Name }

// compare runs a scenario under all policies at the same time, so that other
// load on the machine affects all policies alike.
func compare(ctx context.Context, s scenario, policies []string, length time.Duration, seed uint64) ([]row, error) {
	rows := make([]row, len(policies))
	errs := make([]error, len(policies))
	var group sync.WaitGroup
	for i, name := range policies {
		p, ok := policyByName(name)
		if !ok {
			return nil, &unknownError{Kind: "policy", Name: name}
		}
		group.Go(func() { rows[i], errs[i] = run(ctx, s, p, length, seed) })
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// writeLines appends the rows to a file as JSON, one row per line. It does
// nothing if the path is empty.
func writeLines(path string, rows []row) error {
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open output: %w", err)
	}
	defer func() { _ = f.Close() }()
	e := json.NewEncoder(f)
	for _, r := range rows {
		if err := e.Encode(r); err != nil {
			return fmt.Errorf("write row: %w", err)
		}
	}
	return nil
}
