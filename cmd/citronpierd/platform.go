package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/urfave/cli/v3"

	"github.com/citronpier/citronpier/platform"
)

const (
	// logLines is how many log lines wait to be written before some are dropped.
	logLines = 8192
	// logEvery is the time between looks for lines to write.
	logEvery = 20 * time.Millisecond
	// memoryShare is the part of the memory limit, in percent, that the runtime
	// keeps its heap under.
	memoryShare = 70
	// settingsEvery is the time between looks at the settings file.
	settingsEvery = 5 * time.Second
	// settingsRetry is the time between looks at a file that is not whole, and
	// settingsWait how long a start waits for it: a process that ends is started
	// again only after a delay.
	settingsRetry = 50 * time.Millisecond
	settingsWait  = 5 * time.Second
)

// platformCommand runs a host with the settings file of the users' platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "one entry host on the users' platform, with the platform's settings file",
		Action: func(ctx context.Context, _ *cli.Command) error {
			return servePlatform(ctx, platform.SettingsPath())
		},
	}
}

// awaitSettings reads the settings file. It waits for one that is being written.
func awaitSettings(ctx context.Context, path string, logger zerolog.Logger) (platform.Settings, error) {
	limited, cancel := context.WithTimeout(ctx, settingsWait)
	defer cancel()
	for waiting := false; ; waiting = true {
		s, err := platform.ReadSettings(path)
		var settings *platform.SettingsError
		if err == nil || !errors.As(err, &settings) || settings.Cause == nil {
			return s, err
		}
		if !waiting {
			logger.Warn().Err(err).Dur("wait_ms", settingsWait).Msg("settings are not whole, waiting")
		}
		select {
		case <-limited.Done():
			return s, err
		case <-time.After(settingsRetry):
		}
	}
}

func servePlatform(ctx context.Context, path string) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	var logger zerolog.Logger
	writer := diode.NewWriter(os.Stdout, logLines, logEvery, func(missed int) {
		logger.Warn().Int("lines", missed).Msg("log lines were dropped")
	})
	defer func() { _ = writer.Close() }()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	logger = zerolog.New(writer).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	s, err := awaitSettings(ctx, path, logger)
	if err != nil {
		return &settingError{Detail: err.Error()}
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(s.Memory * memoryShare / 100)
	}
	go followSettings(ctx, path, hangup, logger)
	return platform.Serve(ctx, s, logger)
}

// followSettings checks the settings file after a signal and from time to
// time. What a host is made with stays as it was until it starts again.
func followSettings(ctx context.Context, path string, hangup <-chan os.Signal, logger zerolog.Logger) {
	tick := time.NewTicker(settingsEvery)
	defer tick.Stop()
	changed := modified(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signalled = true
		case <-tick.C:
		}
		now := modified(path)
		if !signalled && now.Equal(changed) {
			continue
		}
		changed = now
		if _, err := platform.ReadSettings(path); err != nil {
			logger.Error().Err(err).Bool("signal", signalled).Msg("settings not reloaded")
			continue
		}
		logger.Info().Bool("signal", signalled).Msg("settings reloaded")
	}
}

// modified returns when a file was changed; zero where it can't be read.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
