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
	publishBudget = 30 * time.Second
	waitEvery     = 100 * time.Millisecond
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
			&cli.Int64Flag{Name: "base", Value: -1, Usage: "version that the file is based on; -1 is the one in force"},
			&cli.StringFlag{Name: "author", Sources: cli.EnvVars("CITRONPIER_AUTHOR", "USER"), Usage: "who publishes"},
			&cli.BoolFlag{Name: "wait", Usage: "return when every live host has the rules in force"},
		},
		Action: publish,
	}
}

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
	ctx, cancel := context.WithTimeout(ctx, publishBudget)
	defer cancel()
	p := publisher.New(dialer.NewLog(c.String(flagLog), dialer.NewDial()))
	base := c.Int64("base")
	if base < 0 {
		state, err := p.Read(ctx)
		if err != nil {
			return err
		}
		base = state.Rules().Version
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

func author(c *cli.Command) string {
	if a := c.String("author"); a != "" {
		return a
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// waitForHosts returns when every live host has a version in force, or an
// error that names those that have not.
func waitForHosts(ctx context.Context, host string, version int64) error {
	for {
		behind, err := hostsBehind(ctx, host, version)
		if err == nil && len(behind) == 0 {
			fmt.Println("in force on every live host")
			return nil
		}
		if ctx.Err() != nil {
			return &behindError{Hosts: behind, Cause: err}
		}
		time.Sleep(waitEvery)
	}
}

// behindError says that some hosts do not have the rules in force.
type behindError struct {
	Hosts []string
	Cause error
}

// Error describes the failure.
func (e *behindError) Error() string {
	return fmt.Sprintf("published, but not in force on %v: %v", e.Hosts, e.Cause)
}

// Unwrap returns the cause.
func (e *behindError) Unwrap() error { return e.Cause }

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:         "demo",
		Usage:        "run three hosts, the stand-ins and both example deployments in one process",
		Category:     categoryCommands,
		OnUsageError: onUsageError,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "time in which programs are begun"},
			&cli.IntFlag{Name: "stop", Value: 2, Usage: "number of the host that is lost half way; 0 is none"},
			&cli.BoolFlag{Name: "kill", Usage: "let that host die instead of stopping it gracefully"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the order of programs"},
			&cli.BoolFlag{Name: "keep", Usage: "leave the hosts up and print their addresses"},
			&cli.BoolFlag{Name: "verbose", Usage: "log what the hosts do"},
		},
		Action: demo,
	}
}

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
		Out: os.Stdout, Length: c.Duration("length"), Stop: stop, Kill: c.Bool("kill"),
		Seed: c.Uint64("seed"), Logger: logger,
	})
	if err != nil {
		return err
	}
	defer d.Close()
	broken := d.Run(ctx)
	fmt.Println()
	if err := printPage(os.Stdout, d.Page()); err != nil {
		return err
	}
	if broken != nil {
		return &unwellError{Summary: broken.Error()}
	}
	if c.Bool("keep") {
		d.Describe()
		<-ctx.Done()
	}
	return nil
}
