// Command citronpierd runs one entry host of citronpier, a scheduler for agent
// programs. An entry host accepts the calls of programs and sends them to model
// engines and other services.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/citronpier/citronpier"
	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/dialer"
	"github.com/citronpier/citronpier/internal/hangup"
)

// The exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args))
}

// run returns the exit code of the daemon.
func run(args []string) int {
	// The first SIGTERM or interrupt begins a graceful stop. Further signals change
	// nothing, because the drain timeout bounds the stop.
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	err := newCommand().Run(ctx, args)
	var invalid *invalidSettingError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &invalid):
		fmt.Fprintln(os.Stderr, "citronpierd:", invalid)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "citronpierd:", err)
		return exitFailed
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:            "citronpierd",
		Usage:           "one entry host of citronpier, a scheduler for agent programs",
		HideHelpCommand: true,
		Flags:           flags(),
		Commands:        []*cli.Command{platformCommand()},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &invalidSettingError{Detail: err.Error()}
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := readSettings(c)
			if err != nil {
				return err
			}
			hangup.Release()
			return serve(ctx, s)
		},
	}
}

// serve runs a host that keeps its state in the platform's log, until ctx ends
// and the host has stopped.
func serve(ctx context.Context, s settings) error {
	callers, err := net.Listen("tcp", s.callerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := net.Listen("tcp", s.peerAddress)
	if err != nil {
		return fmt.Errorf("listen for other hosts: %w", err)
	}
	if s.memory > 0 {
		debug.SetMemoryLimit(allocator.Budget{Memory: s.memory}.RuntimeLimit())
	}
	dial := dialer.NewDial()
	host, err := citronpier.New(
		citronpier.WithHost(descriptor.Host{
			ID: s.id, Caller: callers.Addr().String(), Peer: peers.Addr().String(), DataCentre: s.dataCentre,
		}),
		citronpier.WithTokenKeys(s.tokenKeys...),
		citronpier.WithPeerKey(s.peerKey),
		citronpier.WithLog(dialer.NewLog(s.logAddress, dial)),
		citronpier.WithList(dialer.NewList(s.listAddress, dial)),
		citronpier.WithDial(dial),
		citronpier.WithListeners(callers, peers),
		citronpier.WithLogger(s.logger),
		citronpier.WithDrainTimeout(s.drainTimeout),
		citronpier.WithDrainPeriod(s.drainPeriod),
		citronpier.WithMaxBody(s.maxBody),
		citronpier.WithMemory(s.memory),
	)
	if err != nil {
		return err
	}
	s.logger.Info().Str("host", s.id).Stringer("caller", callers.Addr()).Stringer("peer", peers.Addr()).Msg("serving")
	return host.Run(ctx)
}
