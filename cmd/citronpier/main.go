// Command citronpier is the command-line tool of citronpier, a scheduler for
// agent programs. It checks and publishes rule files, shows the state of hosts
// and the owner's daily report, and runs a demo.
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
	exitFailed       = 1 // any failure without an exit code below
	exitUsage        = 2 // the command line is wrong
	exitInvalidRules = 3 // the rule file is not valid
	exitConflict     = 4 // another rule file was published first
	exitBrokenRule   = 5 // a rule was broken, or the demo broke a guarantee
)

// usageError reports that the command, a flag or an argument is not valid.
type usageError struct{ Detail string }

// Error states what is wrong and what is allowed.
func (e *usageError) Error() string { return e.Detail }

// brokenRuleError reports that a rule was broken, a call was lost, or the demo
// broke a guarantee.
type brokenRuleError struct{ Summary string }

// Error returns the summary of the owner's report or the demo's finding.
func (e *brokenRuleError) Error() string { return e.Summary }

func main() {
	os.Exit(run(os.Args))
}

// run runs the command line and returns the exit code. A SIGTERM or an
// interrupt cancels the command.
func run(args []string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	err := newCommand().Run(ctx, args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "citronpier:", err)
	}
	return exitCode(err)
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var usage *usageError
	var faults parser.Faults
	var conflict *publisher.ConflictError
	var broken *brokenRuleError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &faults):
		return exitInvalidRules
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &broken):
		return exitBrokenRule
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

// The categories under which the help lists the commands.
const (
	categoryCommands = "Commands, which change something"
	categoryQueries  = "Queries, which change nothing"
)

func newCommand() *cli.Command {
	return &cli.Command{
		Name:            "citronpier",
		Usage:           "check and publish rules, show the owner's daily report, run the demo",
		HideHelpCommand: true,
		Commands: []*cli.Command{
			publishCommand(), demoCommand(),
			checkQuery(), rulesQuery(), hostsQuery(), todayQuery(), statusQuery(), entryQuery(),
		},
		Description: "Exit codes: 0 success, 1 failure, 2 wrong command line, 3 rule file not valid,\n" +
			"4 another rule file was published first, 5 a rule or a guarantee was broken.",
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

// onUsageError turns an error of the cli package about flags into a usageError,
// which sets the exit code.
func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageError{Detail: err.Error()}
}

func hostFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagHost, Value: "127.0.0.1:8080", Sources: cli.EnvVars("CITRONPIER_HOST"),
		Usage: "caller address of any host; for the entry command, the metrics address",
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

// readFile returns the text of the file that is the command's only argument.
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
