package main

import (
	"context"
	"errors"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/urfave/cli/v3"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/internal/hangup"
	"github.com/citronpier/citronpier/platform"
)

const (
	// logBufferLines is how many log lines may wait to be written. When more lines
	// wait, the oldest are dropped, so that logging never blocks a request.
	logBufferLines = 8192
	// logFlushInterval is the time between two checks for log lines to write.
	logFlushInterval = 20 * time.Millisecond
	// settingsCheckInterval is the time between two checks whether the settings
	// file has changed.
	settingsCheckInterval = 5 * time.Second
	// settingsRetryInterval is the time between two reads of a settings file that
	// is missing or not completely written. settingsTimeout bounds how long a
	// starting process repeats the read. The process does not exit at once, because
	// the platform restarts a process that has ended only after a delay.
	settingsRetryInterval = 50 * time.Millisecond
	settingsTimeout       = 5 * time.Second
)

// platformCommand returns the command that runs a host of the users' platform,
// with the settings file that the platform provides.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run one entry host on the users' platform, with the settings file that the platform provides",
		Action: func(ctx context.Context, _ *cli.Command) error {
			return servePlatform(ctx, platform.SettingsPath())
		},
	}
}

// awaitSettings reads the settings file. If the file can't be read or decoded, it
// may not be completely written yet and is read again until settingsTimeout has
// passed. If the settings can be decoded but are not valid, awaitSettings returns
// an error at once.
func awaitSettings(ctx context.Context, path string, logger zerolog.Logger) (platform.Settings, error) {
	waitCtx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	for waiting := false; ; waiting = true {
		s, err := platform.ReadSettings(path)
		var settingsErr *platform.SettingsError
		if err == nil || !errors.As(err, &settingsErr) || settingsErr.Cause == nil {
			return s, err
		}
		if !waiting {
			logger.Warn().Err(err).Dur("wait_ms", settingsTimeout).Msg("settings file is missing or incomplete, will read it again")
		}
		select {
		case <-waitCtx.Done():
			return s, err
		case <-time.After(settingsRetryInterval):
		}
	}
}

// servePlatform runs a host of the users' platform until ctx ends and the host
// has stopped.
func servePlatform(ctx context.Context, path string) error {
	var logger zerolog.Logger
	writer := diode.NewWriter(os.Stdout, logBufferLines, logFlushInterval, func(missed int) {
		logger.Warn().Int("lines", missed).Msg("log lines were dropped")
	})
	defer func() { _ = writer.Close() }()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	logger = zerolog.New(writer).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	s, err := awaitSettings(ctx, path, logger)
	if err != nil {
		return &invalidSettingError{Detail: err.Error()}
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(allocator.Budget{Memory: s.Memory}.RuntimeLimit())
	}
	go followSettings(ctx, path, hangup.Signals(), logger)
	return platform.Serve(ctx, s, logger)
}

// followSettings reads and checks the settings file whenever the file has
// changed or a SIGHUP arrives, and logs whether it is valid. The running host
// keeps its settings until it is restarted.
func followSettings(ctx context.Context, path string, hangups <-chan os.Signal, logger zerolog.Logger) {
	tick := time.NewTicker(settingsCheckInterval)
	defer tick.Stop()
	lastModified := modificationTime(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-tick.C:
		}
		now := modificationTime(path)
		if !signalled && now.Equal(lastModified) {
			continue
		}
		lastModified = now
		if _, err := platform.ReadSettings(path); err != nil {
			logger.Error().Err(err).Bool("signal", signalled).Msg("settings not reloaded")
			continue
		}
		logger.Info().Bool("signal", signalled).Msg("settings reloaded")
	}
}

// modificationTime returns when a file was last modified, or the zero time if
// that time is not known.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
