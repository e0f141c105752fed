package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/citronpier/citronpier/sequencer"
	"github.com/citronpier/citronpier/server"
)

// settingError is a setting with a value that is not allowed.
type settingError struct {
	Flag    string
	Value   string
	Allowed string
	Detail  string
}

// Error names the flag, the value and what is allowed.
func (e *settingError) Error() string {
	if e.Flag == "" {
		return e.Detail
	}
	return fmt.Sprintf("--%s: %s is not allowed; allowed: %s", e.Flag, strconv.Quote(e.Value), e.Allowed)
}

// settings are the daemon's checked settings.
type settings struct {
	id         string
	caller     string
	peer       string
	dataCentre string
	log        string
	list       string
	tokenKeys  [][]byte
	peerKey    string
	logger     zerolog.Logger
	drain      time.Duration
	linger     time.Duration
	maxBody    int64
}

// The flags. Each has an environment variable: CITRONPIER_ and the flag's name
// in capitals.
const (
	flagID         = "id"
	flagCaller     = "caller"
	flagPeer       = "peer"
	flagDataCentre = "datacentre"
	flagLog        = "log"
	flagList       = "list"
	flagTokenKeys  = "token-keys"
	flagPeerKey    = "peer-key"
	flagLevel      = "level"
	flagFormat     = "format"
	flagDrain      = "drain"
	flagLinger     = "linger"
	flagMaxBody    = "max-body"
)

const (
	minPeerKey    = 16
	smallestBody  = 1 << 10
	largestBody   = 64 << 20
	longestDrain  = time.Hour
	defaultDrain  = "2m"
	defaultLinger = "6s"
)

func flags() []cli.Flag {
	return []cli.Flag{
		text(flagID, "", "name of the host, unique among the hosts"),
		text(flagCaller, "127.0.0.1:8080", "address, IP:PORT, that callers connect to"),
		text(flagPeer, "127.0.0.1:8081", "address, IP:PORT, that other hosts connect to"),
		text(flagDataCentre, "", "data centre that the host stands in"),
		text(flagLog, "", "address, HOST:PORT, of the platform's log"),
		text(flagList, "", "address, HOST:PORT, of the platform's list"),
		text(flagTokenKeys, "", "keys of program tokens, separated by commas, the signing one first"),
		text(flagPeerKey, "", "key that hosts show each other"),
		text(flagLevel, "info", "least level that is logged: debug, info, warn or error"),
		text(flagFormat, "json", "form of the log: json or text"),
		text(flagDrain, defaultDrain, "longest time that a stop waits for calls under way"),
		text(flagLinger, defaultLinger, "time that a stopping host still forwards late calls"),
		text(flagMaxBody, strconv.Itoa(server.DefaultMaxBody), "largest request body in bytes"),
	}
}

// text returns a flag that is read as text and checked by readSettings, so
// that every mistake is told in the same way.
func text(name, value, usage string) cli.Flag {
	variable := "CITRONPIER_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: cli.EnvVars(variable)}
}

// reader reads the settings and keeps the first mistake.
type reader struct {
	command *cli.Command
	err     error
}

func (r *reader) reject(flag, allowed string) {
	if r.err == nil {
		r.err = &settingError{Flag: flag, Value: r.command.String(flag), Allowed: allowed}
	}
}

func readSettings(c *cli.Command) (settings, error) {
	r := &reader{command: c}
	if c.Args().Len() > 0 {
		return settings{}, &settingError{Detail: fmt.Sprintf("argument %q is not known; settings are flags", c.Args().First())}
	}
	s := settings{
		id:         r.name(flagID),
		caller:     r.address(flagCaller),
		peer:       r.address(flagPeer),
		dataCentre: r.name(flagDataCentre),
		log:        r.remote(flagLog),
		list:       r.remote(flagList),
		tokenKeys:  r.keys(flagTokenKeys),
		peerKey:    r.key(flagPeerKey),
		logger:     r.logger(),
		drain:      r.duration(flagDrain),
		linger:     r.duration(flagLinger),
		maxBody:    r.size(flagMaxBody),
	}
	return s, r.err
}

func (r *reader) name(flag string) string {
	v := r.command.String(flag)
	if v == "" || strings.ContainsAny(v, " \t\n/") {
		r.reject(flag, "a name without spaces and slashes")
	}
	return v
}

func (r *reader) address(flag string) string {
	v := r.command.String(flag)
	host, _, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		r.reject(flag, "IP:PORT, such as 10.0.0.7:8080")
	}
	return v
}

func (r *reader) remote(flag string) string {
	v := r.command.String(flag)
	host, port, err := net.SplitHostPort(v)
	if err != nil || host == "" || port == "" {
		r.reject(flag, "HOST:PORT, such as 10.0.0.2:7000")
	}
	return v
}

func (r *reader) keys(flag string) [][]byte {
	var keys [][]byte
	for _, k := range strings.Split(r.command.String(flag), ",") {
		if len(k) < sequencer.MinKeyBytes {
			// The value is a secret; its length says enough.
			if r.err == nil {
				r.err = &settingError{
					Flag: flag, Value: fmt.Sprintf("a key of %d bytes", len(k)),
					Allowed: fmt.Sprintf("keys of %d bytes or more, separated by commas", sequencer.MinKeyBytes),
				}
			}
			return nil
		}
		keys = append(keys, []byte(k))
	}
	return keys
}

func (r *reader) key(flag string) string {
	v := r.command.String(flag)
	if len(v) < minPeerKey && r.err == nil {
		r.err = &settingError{
			Flag: flag, Value: fmt.Sprintf("a key of %d bytes", len(v)),
			Allowed: fmt.Sprintf("a key of %d bytes or more", minPeerKey),
		}
	}
	return v
}

func (r *reader) duration(flag string) time.Duration {
	d, err := time.ParseDuration(r.command.String(flag))
	if err != nil || d < 0 || d > longestDrain {
		r.reject(flag, "a time from 0s to "+longestDrain.String()+", such as 30s")
	}
	return d
}

func (r *reader) size(flag string) int64 {
	n, err := strconv.ParseInt(r.command.String(flag), 10, 64)
	if err != nil || n < smallestBody || n > largestBody {
		r.reject(flag, fmt.Sprintf("a number from %d to %d", smallestBody, largestBody))
	}
	return n
}

func (r *reader) logger() zerolog.Logger {
	level, err := zerolog.ParseLevel(r.command.String(flagLevel))
	if err != nil || level < zerolog.DebugLevel || level > zerolog.ErrorLevel {
		r.reject(flagLevel, "debug, info, warn or error")
	}
	logger := zerolog.New(os.Stderr)
	switch r.command.String(flagFormat) {
	case "json":
	case "text":
		logger = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.TimeOnly})
	default:
		r.reject(flagFormat, "json or text")
	}
	return logger.Level(level).With().Timestamp().Logger()
}
