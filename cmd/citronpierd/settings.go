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

// invalidSettingError reports that a flag has a value that is not allowed. If
// Flag is empty, Detail is the whole message.
type invalidSettingError struct {
	Flag    string
	Value   string
	Allowed string
	Detail  string
}

// Error returns a text with the flag, its value and the allowed values.
func (e *invalidSettingError) Error() string {
	if e.Flag == "" {
		return e.Detail
	}
	return fmt.Sprintf("--%s: %s is not allowed; allowed: %s", e.Flag, strconv.Quote(e.Value), e.Allowed)
}

// settings holds the checked values of the flags.
type settings struct {
	id            string
	callerAddress string
	peerAddress   string
	dataCentre    string
	logAddress    string
	listAddress   string
	tokenKeys     [][]byte
	peerKey       string
	logger        zerolog.Logger
	drainTimeout  time.Duration
	drainPeriod   time.Duration
	maxBody       int64
	memory        int64
}

// The names of the flags. A flag can also be set by an environment variable:
// CITRONPIER_ and the flag's name in capitals, with _ in place of -.
const (
	flagID           = "id"
	flagCaller       = "caller"
	flagPeer         = "peer"
	flagDataCentre   = "datacentre"
	flagLog          = "log"
	flagList         = "list"
	flagTokenKeys    = "token-keys"
	flagPeerKey      = "peer-key"
	flagLevel        = "level"
	flagFormat       = "format"
	flagDrainTimeout = "drain"
	flagDrainPeriod  = "linger"
	flagMaxBody      = "max-body"
	flagMemory       = "memory-mb"
)

// The limits and defaults of the flags' values. The limits of the maximum request
// body are in bytes.
const (
	minPeerKeyBytes     = 16
	minBodyLimit        = 1 << 10
	maxBodyLimit        = 64 << 20
	minMemoryMB         = 64
	maxMemoryMB         = 1 << 20
	maxDuration         = time.Hour
	defaultDrainTimeout = "2m"
	defaultDrainPeriod  = "6s"
)

func flags() []cli.Flag {
	return []cli.Flag{
		textFlag(flagID, "", "name of the host, unique among the hosts"),
		textFlag(flagCaller, "127.0.0.1:8080", "address, IP:PORT, that callers connect to"),
		textFlag(flagPeer, "127.0.0.1:8081", "address, IP:PORT, that other hosts connect to"),
		textFlag(flagDataCentre, "", "data centre that the host runs in"),
		textFlag(flagLog, "", "address, HOST:PORT, of the platform's log"),
		textFlag(flagList, "", "address, HOST:PORT, of the platform's service-discovery list"),
		textFlag(flagTokenKeys, "", "keys that sign program tokens, separated by commas; the first one signs new tokens"),
		textFlag(flagPeerKey, "", "shared key with which hosts authenticate to each other"),
		textFlag(flagLevel, "info", "lowest level that is logged: debug, info, warn or error"),
		textFlag(flagFormat, "json", "format of the log: json or text"),
		textFlag(flagDrainTimeout, defaultDrainTimeout, "longest time that a stopping host waits for running calls"),
		textFlag(flagDrainPeriod, defaultDrainPeriod, "drain period: time for which a stopping host still accepts calls and forwards them"),
		textFlag(flagMaxBody, strconv.Itoa(server.DefaultMaxBody), "largest request body in bytes"),
		textFlag(flagMemory, "0", "memory of the process in MB, which bodies, connections and slow readers share; 0 if it is unknown"),
	}
}

// textFlag returns a flag that is read as text and checked by readSettings, so
// that the errors of all flags have the same form.
func textFlag(name, value, usage string) cli.Flag {
	variable := "CITRONPIER_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: cli.EnvVars(variable)}
}

// settingsReader reads the values of flags and keeps the first error. A method
// such as name or duration returns the value of a flag, and records an error if
// the value is not allowed.
type settingsReader struct {
	command *cli.Command
	err     error
}

// reject records that a flag's value is not allowed, unless an earlier error was
// recorded.
func (r *settingsReader) reject(flag, allowed string) {
	if r.err == nil {
		r.err = &invalidSettingError{Flag: flag, Value: r.command.String(flag), Allowed: allowed}
	}
}

// readSettings reads and checks all flags. It returns the first error.
func readSettings(c *cli.Command) (settings, error) {
	r := &settingsReader{command: c}
	if c.Args().Len() > 0 {
		return settings{}, &invalidSettingError{Detail: fmt.Sprintf("argument %q is not known; settings are flags", c.Args().First())}
	}
	s := settings{
		id:            r.name(flagID),
		callerAddress: r.listenAddress(flagCaller),
		peerAddress:   r.listenAddress(flagPeer),
		dataCentre:    r.name(flagDataCentre),
		logAddress:    r.remoteAddress(flagLog),
		listAddress:   r.remoteAddress(flagList),
		tokenKeys:     r.keyList(flagTokenKeys),
		peerKey:       r.sharedKey(flagPeerKey),
		logger:        r.logger(),
		drainTimeout:  r.duration(flagDrainTimeout),
		drainPeriod:   r.duration(flagDrainPeriod),
		maxBody:       r.number(flagMaxBody, minBodyLimit, maxBodyLimit),
		memory:        r.memory(flagMemory),
	}
	return s, r.err
}

// name reads a flag that is a name. The name must not be empty or contain spaces
// or slashes.
func (r *settingsReader) name(flag string) string {
	v := r.command.String(flag)
	if v == "" || strings.ContainsAny(v, " \t\n/") {
		r.reject(flag, "a name without spaces and slashes")
	}
	return v
}

// listenAddress reads a flag that is an address to listen on, as IP:PORT.
func (r *settingsReader) listenAddress(flag string) string {
	v := r.command.String(flag)
	host, _, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		r.reject(flag, "IP:PORT, such as 10.0.0.7:8080")
	}
	return v
}

// remoteAddress reads a flag that is an address to connect to, as HOST:PORT.
func (r *settingsReader) remoteAddress(flag string) string {
	v := r.command.String(flag)
	host, port, err := net.SplitHostPort(v)
	if err != nil || host == "" || port == "" {
		r.reject(flag, "HOST:PORT, such as 10.0.0.2:7000")
	}
	return v
}

// keyList reads a flag that is a list of keys, separated by commas. Each key must
// have at least sequencer.MinKeyBytes.
func (r *settingsReader) keyList(flag string) [][]byte {
	var keys [][]byte
	for _, k := range strings.Split(r.command.String(flag), ",") {
		if len(k) < sequencer.MinKeyBytes {
			// The key is a secret, so the error states only its length.
			if r.err == nil {
				r.err = &invalidSettingError{
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

// sharedKey reads a flag that is the key with which hosts authenticate to each
// other. The key must have at least minPeerKeyBytes.
func (r *settingsReader) sharedKey(flag string) string {
	v := r.command.String(flag)
	if len(v) < minPeerKeyBytes && r.err == nil {
		r.err = &invalidSettingError{
			Flag: flag, Value: fmt.Sprintf("a key of %d bytes", len(v)),
			Allowed: fmt.Sprintf("a key of %d bytes or more", minPeerKeyBytes),
		}
	}
	return v
}

// duration reads a flag that is a duration from 0 to maxDuration.
func (r *settingsReader) duration(flag string) time.Duration {
	d, err := time.ParseDuration(r.command.String(flag))
	if err != nil || d < 0 || d > maxDuration {
		r.reject(flag, "a time from 0s to "+maxDuration.String()+", such as 30s")
	}
	return d
}

// number reads a flag that is a number within bounds.
func (r *settingsReader) number(flag string, lowest, highest int64) int64 {
	n, err := strconv.ParseInt(r.command.String(flag), 10, 64)
	if err != nil || n < lowest || n > highest {
		r.reject(flag, fmt.Sprintf("a number from %d to %d", lowest, highest))
	}
	return n
}

// memory reads a flag that is the memory of the process in MB; 0 means that it is unknown. It
// returns bytes.
func (r *settingsReader) memory(flag string) int64 {
	if r.command.String(flag) == "0" {
		return 0
	}
	return r.number(flag, minMemoryMB, maxMemoryMB) << 20
}

// logger returns a logger to standard error with the level and format that the
// flags set.
func (r *settingsReader) logger() zerolog.Logger {
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
