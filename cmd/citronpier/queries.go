package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/publisher"
	"github.com/citronpier/citronpier/reporter"
	"github.com/citronpier/citronpier/server"
)

// queryTimeout bounds one query to a host.
const queryTimeout = 5 * time.Second

// newQuery returns a command that gets the JSON document at a path of a host
// and prints it with write, or as JSON if --json is set.
func newQuery[T any](name, usage, path string, write func(io.Writer, T) error) *cli.Command {
	return &cli.Command{
		Name:         name,
		Usage:        usage,
		Category:     categoryQueries,
		OnUsageError: onUsageError,
		Flags:        []cli.Flag{hostFlag(), jsonFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			var answer T
			if err := get(ctx, c.String(flagHost), path, &answer); err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				return printJSON(answer)
			}
			return write(os.Stdout, answer)
		},
	}
}

// hostError reports that a host answered with a status other than 200.
type hostError struct {
	Host   string
	Status string
}

// Error names the host and the status.
func (e *hostError) Error() string { return "host " + e.Host + " answered " + e.Status }

// get decodes the JSON document at a path of a host into target.
func get(ctx context.Context, host, path string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+path, nil)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Accept", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("query host: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return &hostError{Host: host, Status: res.Status}
	}
	if err := json.NewDecoder(res.Body).Decode(target); err != nil {
		return fmt.Errorf("decode answer of the host: %w", err)
	}
	return nil
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// checkResult is the JSON output of the check command.
type checkResult struct {
	Rules  int            `json:"rules"`
	Faults []parser.Fault `json:"faults"`
}

// printCheck prints the result of a check as JSON and returns the error of the
// check, which sets the exit code.
func printCheck(rules parser.Rules, err error) error {
	faults, _ := err.(parser.Faults)
	if printErr := printJSON(checkResult{Rules: len(rules.List), Faults: faults}); printErr != nil {
		return printErr
	}
	return err
}

// ruleFile is the response to GET /v1/rules.
type ruleFile struct {
	Version int64                   `json:"version"`
	Text    string                  `json:"text"`
	History []publisher.Publication `json:"history"`
}

func rulesQuery() *cli.Command {
	q := newQuery("rules", "show the rules in force", "/v1/rules", func(w io.Writer, r ruleFile) error {
		_, err := fmt.Fprintf(w, "# version %d\n%s", r.Version, r.Text)
		return err
	})
	q.Flags = append(q.Flags, &cli.BoolFlag{Name: "history", Usage: "list all published versions with author, time and result"})
	showRules := q.Action
	q.Action = func(ctx context.Context, c *cli.Command) error {
		if !c.Bool("history") {
			return showRules(ctx, c)
		}
		var r ruleFile
		if err := get(ctx, c.String(flagHost), "/v1/rules", &r); err != nil {
			return err
		}
		if c.Bool(flagJSON) {
			return printJSON(r.History)
		}
		return printHistory(os.Stdout, r.History)
	}
	return q
}

func printHistory(w io.Writer, history []publisher.Publication) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "VERSION\tBASE\tAUTHOR\tTIME\tRESULT")
	for _, p := range history {
		result := "in force from then"
		if !p.Accepted {
			result = "not accepted: " + p.Fault
		}
		at := time.UnixMilli(p.Time).Format(time.DateTime)
		_, _ = fmt.Fprintf(t, "%d\t%d\t%s\t%s\t%s\n", p.Version, p.Base, p.Author, at, result)
	}
	return t.Flush()
}

func hostsQuery() *cli.Command {
	return newQuery("hosts", "list the hosts that callers should use", "/v1/hosts", func(w io.Writer, l server.HostList) error {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(t, "HOST\tCALLERS\tDATA CENTRE")
		for _, h := range l.Hosts {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\n", h.ID, h.Caller, h.DataCentre)
		}
		return t.Flush()
	})
}

// hostsWithout returns the IDs of the hosts on which the version of the rules in
// force is older than the given version, and of the hosts that do not answer.
func hostsWithout(ctx context.Context, host string, version int64) ([]string, error) {
	var list server.HostList
	if err := get(ctx, host, "/v1/hosts", &list); err != nil {
		return nil, err
	}
	var outdated []string
	for _, h := range list.Hosts {
		var s server.Status
		if err := get(ctx, h.Caller, "/status", &s); err != nil || s.Rules < version {
			outdated = append(outdated, h.ID)
		}
	}
	return outdated, nil
}

func statusQuery() *cli.Command {
	return newQuery("status", "show the state of one host", "/status", func(w io.Writer, s server.Status) error {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintf(t, "host\t%s in %s\n", s.Host.ID, s.Host.DataCentre)
		_, _ = fmt.Fprintf(t, "ready\t%t\n", s.Ready)
		_, _ = fmt.Fprintf(t, "rules\tversion %d\n", s.Rules)
		_, _ = fmt.Fprintf(t, "log\toffset %d, answered %d ms ago\n", s.LogOffset, s.LogAge)
		_, _ = fmt.Fprintf(t, "programs\t%d\n", s.Programs)
		_, _ = fmt.Fprintf(t, "hosts\t%d live\n", s.Hosts)
		return t.Flush()
	})
}

func todayQuery() *cli.Command {
	return newQuery("today", "show the owner's daily report", "/today", func(w io.Writer, p reporter.Page) error {
		if err := printPage(w, p); err != nil {
			return err
		}
		if !p.Well {
			return &brokenRuleError{Summary: p.Summary}
		}
		return nil
	})
}

// printPage prints the owner's daily report as text.
func printPage(w io.Writer, p reporter.Page) error {
	_, _ = fmt.Fprintf(w, "%s\n%s\n", p.Day, p.Summary)
	if p.Warning != "" {
		_, _ = fmt.Fprintln(w, p.Warning)
	}
	for _, l := range p.Lost {
		_, _ = fmt.Fprintf(w, "To look at: at %s a call to %s with key %s may or may not have run.\n", l.Time, l.Service, l.Key)
	}
	_, _ = fmt.Fprintln(w, "\nRules")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, l := range p.Rules {
		_, _ = fmt.Fprintf(t, "  %s\t%s\t%s\t%s: %s\n", l.Verdict, l.Rule, l.Figure, l.Asker, l.Reason)
	}
	_, _ = fmt.Fprintln(t, "\nPrograms\tfinished\thalf within\t95 in 100 within")
	for _, k := range p.Kinds {
		_, _ = fmt.Fprintf(t, "  %s (%s)\t%d\t%d ms\t%d ms\n", k.Kind, k.Rank, k.Finished, k.Median, k.P95)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range p.Refusals {
		_, _ = fmt.Fprintf(w, "Refused %d times: %s (%s)\n", r.Count, r.Words, r.Reason)
	}
	return nil
}
