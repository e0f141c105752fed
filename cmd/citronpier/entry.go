package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citronpier/citronpier"
)

func entryQuery() *cli.Command {
	return newQuery("entry", "show an entry host's state and its view of the others; --host is its metrics address", "/status", printEntry)
}

// printEntry prints the state of an entry host as tables.
func printEntry(w io.Writer, s citronpier.EntryStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "host\t%s in %s\n", s.Host.ID, s.Host.DataCentre)
	_, _ = fmt.Fprintf(t, "ready\t%t\nleaving\t%t\nconfiguration\tversion %d\n", s.Ready, s.Leaving, s.Configuration)
	_, _ = fmt.Fprintf(t, "store\tanswers: %t\nrequests\t%d in flight\n", s.StoreReachable, s.Active)
	_, _ = fmt.Fprintln(t, "\nSHARD\tLOADED\tEND\tTURNS\tPROGRAMS\tWAITING\tUNAVAILABLE")
	for _, h := range s.Shards {
		_, _ = fmt.Fprintf(t, "%s\t%t\t%d\t%d\t%d\t%d\t%t\n", h.Shard, h.Loaded, h.End, h.Turns, h.Programs, h.Waiting, h.Unavailable)
	}
	_, _ = fmt.Fprintln(t, "\nOTHER HOST\tREADY\tLEAVING\tCONFIGURATION\tSTORE ANSWERS\tSUSPECTED")
	for _, h := range s.Hosts {
		_, _ = fmt.Fprintf(t, "%s\t%t\t%t\t%d\t%t\t%t\n", h.Host, h.Ready, h.Leaving, h.Configuration, h.StoreReachable, h.Suspected)
	}
	_, _ = fmt.Fprintln(t, "\nUPSTREAM\tSERVICE\tLEAVING\tRUNNING\tFAILING\tSLOWDOWN")
	for _, u := range s.Upstreams {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%.0f%%\t%.1f\n", u.Upstream, u.Service, u.Leaving, u.Running, u.Failing*100, u.Slowdown)
	}
	printOrganisations(t, s.Organisations)
	return t.Flush()
}

// printOrganisations prints the allowances of organisations, if there are any.
func printOrganisations(w io.Writer, organisations []citronpier.OrganisationStatus) {
	if len(organisations) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w, "\nORGANISATION\tKEYS\tRATE\tBURST\tHELD\tANSWERED\tTAKEN\tEXCEEDED\tUNREACHED\tBUCKET HERE")
	for _, o := range organisations {
		answered, bucket := "never", "-"
		if o.AgeMS >= 0 {
			answered = (time.Duration(o.AgeMS) * time.Millisecond).String() + " ago"
		}
		if h := o.Home; h != nil {
			bucket = fmt.Sprintf("%.1f, %d held by hosts, %.1f requests a program", h.Level, h.Held, h.Mean)
			if h.Reduced {
				bucket += ", reduced rate"
			}
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%g\t%g\t%d\t%s\t%d\t%d\t%d\t%s\n",
			o.Organisation, strings.Join(o.Keys, " "), o.PerSecond, o.Burst, o.Held, answered, o.Taken, o.Exceeded, o.Unreached, bucket)
	}
}
