// Command citronpier is the command-line tool of citronpier: it checks and
// publishes rule files, shows the owner's page and runs the demo.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/publisher"
)

// The exit codes.
const (
	exitFailed   = 1 // the command did not work
	exitUsage    = 2 // the command line is wrong
	exitFaults   = 3 // the rule file has mistakes
	exitConflict = 4 // another rule file was published first
	exitBroken   = 5 // a rule did not hold, or the demo broke a promise
)

// usageError says that the command line is wrong.
type usageError struct{ Detail string }

// Error describes the failure.
func (e *usageError) Error() string { return e.Detail }

// unwellError says that a rule did not hold.
type unwellError struct{ Summary string }

// Error describes the failure.
func (e *unwellError) Error() string { return e.Summary }

func main() {
	os.Exit(run(os.Args))
}

func run(args []string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	err := newCommand().Run(ctx, args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "citronpier:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *usageError
	var faults parser.Faults
	var conflict *publisher.ConflictError
	var unwell *unwellError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &faults):
		return exitFaults
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unwell):
		return exitBroken
	default:
		return exitFailed
	}
}

// The flags that several commands share.
const (
	flagHost = "host"
	flagLog  = "log"
	flagJSON = "json"
)

// The groups in which the help lists what the tool does.
const (
	categoryCommands = "Commands, which change something"
	categoryQueries  = "Queries, which change nothing"
)

func newCommand() *cli.Command {
	return &cli.Command{
		Name:            "citronpier",
		Usage:           "check and publish rules, read the owner's page, run the demo",
		HideHelpCommand: true,
		Commands: []*cli.Command{
			publishCommand(), demoCommand(),
			checkQuery(), rulesQuery(), hostsQuery(), todayQuery(), statusQuery(), entryQuery(),
		},
		Description: "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 mistakes in the rule file,\n" +
			"4 another rule file was published first, 5 a rule or a promise did not hold.",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return &usageError{Detail: fmt.Sprintf("%q is not a command; see --help", c.Args().First())}
			}
			return cli.ShowRootCommandHelp(c)
		},
	}
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageError{Detail: err.Error()}
}

func hostFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagHost, Value: "127.0.0.1:8080", Sources: cli.EnvVars("CITRONPIER_HOST"),
		Usage: "caller address of any host; for entry hosts the metrics address",
	}
}

func logFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagLog, Sources: cli.EnvVars("CITRONPIER_LOG"), Usage: "address of the platform's log",
	}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagJSON, Usage: "print JSON"}
}

// readFile returns the text of the one file that a command takes.
func readFile(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", &usageError{Detail: c.Name + " takes one rule file"}
	}
	raw, err := os.ReadFile(c.Args().First())
	if err != nil {
		return "", fmt.Errorf("read rule file: %w", err)
	}
	return string(raw), nil
}
