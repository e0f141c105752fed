package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/citronpier/citronpier/demonstrator"
	"github.com/citronpier/citronpier/dialer"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/publisher"
	"github.com/citronpier/citronpier/recorder"
)

const (
	// publishTimeout bounds the publish command, including the wait for the hosts.
	publishTimeout = 30 * time.Second
	// pollInterval is the time between two queries of all hosts for the version of
	// their rules.
	pollInterval = 100 * time.Millisecond
)

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:         "publish",
		Usage:        "publish a rule file",
		ArgsUsage:    "FILE",
		Category:     categoryCommands,
		OnUsageError: onUsageError,
		Flags: []cli.Flag{
			logFlag(), hostFlag(),
			&cli.Int64Flag{Name: "base", Value: -1, Usage: "version that the file was edited from; -1 is the version in force"},
			&cli.StringFlag{Name: "author", Sources: cli.EnvVars("CITRONPIER_AUTHOR", "USER"), Usage: "name of the person who publishes"},
			&cli.BoolFlag{Name: "wait", Usage: "return only when the rules are in force on every live host"},
		},
		Action: publish,
	}
}

// publish checks a rule file and appends it to the platform's log. With --wait it
// returns only once the file is in force on every live host.
func publish(ctx context.Context, c *cli.Command) error {
	text, err := readFile(c)
	if err != nil {
		return err
	}
	if _, err := (parser.Parser{}).Parse(text); err != nil {
		return err
	}
	if c.String(flagLog) == "" {
		return &usageError{Detail: "--log is needed: the address of the platform's log"}
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	p := publisher.New(dialer.NewLog(c.String(flagLog), dialer.NewDial()))
	base := c.Int64("base")
	if base < 0 {
		ledger, err := p.Read(ctx)
		if err != nil {
			return err
		}
		base = ledger.Rules().Version
	}
	version, err := p.Publish(ctx, &recorder.RuleFile{
		Base: base, Text: text, Author: author(c), Time: time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	fmt.Printf("published version %d\n", version)
	if !c.Bool("wait") {
		return nil
	}
	return waitForHosts(ctx, c.String(flagHost), version)
}

// author returns the author of a rule file: the name in the --author flag or its
// environment variables, or else the name of the operating system's user.
func author(c *cli.Command) string {
	if a := c.String("author"); a != "" {
		return a
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// waitForHosts waits until a version of the rules is in force on every live host.
// If ctx ends first, it returns an error that names the hosts on which the
// version is not in force.
func waitForHosts(ctx context.Context, host string, version int64) error {
	for {
		outdated, err := hostsWithout(ctx, host, version)
		if err == nil && len(outdated) == 0 {
			fmt.Println("in force on every live host")
			return nil
		}
		if ctx.Err() != nil {
			return &notInForceError{Hosts: outdated, Cause: err}
		}
		time.Sleep(pollInterval)
	}
}

// notInForceError reports that a published version of the rules is not yet in
// force on some hosts.
type notInForceError struct {
	Hosts []string
	Cause error
}

// Error names the hosts and the error of the last query.
func (e *notInForceError) Error() string {
	return fmt.Sprintf("published, but not in force on %v: %v", e.Hosts, e.Cause)
}

// Unwrap returns the error of the last query.
func (e *notInForceError) Unwrap() error { return e.Cause }

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:         "demo",
		Usage:        "run three hosts, simulated upstreams and both example deployments in one process",
		Category:     categoryCommands,
		OnUsageError: onUsageError,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "time during which new programs are started"},
			&cli.IntFlag{Name: "stop", Value: 2, Usage: "number of the host that stops half way; 0 is none"},
			&cli.BoolFlag{Name: "kill", Usage: "end that host at once instead of stopping it gracefully"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed for the order of the programs"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the hosts running and print their addresses"},
			&cli.BoolFlag{Name: "verbose", Usage: "log what the hosts do"},
		},
		Action: demo,
	}
}

// demo runs the demo and prints the owner's daily report. It fails if a
// guarantee was broken.
func demo(ctx context.Context, c *cli.Command) error {
	stop := c.Int("stop")
	if stop < 0 || stop > demonstrator.Hosts {
		return &usageError{Detail: fmt.Sprintf("--stop: %d is not allowed; allowed: 0 to %d", stop, demonstrator.Hosts)}
	}
	if length := c.Duration("length"); length <= 0 || length > time.Hour {
		return &usageError{Detail: fmt.Sprintf("--length: %s is not allowed; allowed: up to 1h", length)}
	}
	logger := zerolog.Nop()
	if c.Bool("verbose") {
		logger = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.TimeOnly}).With().Timestamp().Logger()
	}
	d, err := demonstrator.Start(ctx, demonstrator.Config{
		Out: os.Stdout, Length: c.Duration("length"), DownHost: stop, Kill: c.Bool("kill"),
		Seed: c.Uint64("seed"), Logger: logger,
	})
	if err != nil {
		return err
	}
	defer d.Close()
	runErr := d.Run(ctx)
	fmt.Println()
	if err := printPage(os.Stdout, d.Page()); err != nil {
		return err
	}
	if runErr != nil {
		return &brokenRuleError{Summary: runErr.Error()}
	}
	if c.Bool("keep") {
		d.Describe()
		<-ctx.Done()
	}
	return nil
}
