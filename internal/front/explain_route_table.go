package front

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// writeRoute writes an explanation as tables, the decision first.
func writeRoute(out io.Writer, e *session.Explanation) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(columns ...any) {
		texts := make([]string, len(columns))
		for i, c := range columns {
			texts[i] = printable(fmt.Sprint(c))
		}
		_, _ = fmt.Fprintln(t, strings.Join(texts, "\t"))
	}
	row("decision:", decisionText(&e.Decision))
	row("because:", e.Decision.Why)
	for _, c := range e.Decision.Conditions {
		row("provided:", c)
	}
	row("asked:", fmt.Sprintf("%s (%s), configuration %d", e.Instance, e.Zone, e.Version))
	row("request:", fmt.Sprintf("%s of database %s", e.Kind, e.Route.Database))
	row("route:", routeText(&e.Route))
	row("workspace:", workspaceText(e))
	row("homes:", e.Homes.Order)
	row("databases:", databasesText(&e.Databases))
	if err := t.Flush(); err != nil {
		return err
	}
	if len(e.Homes.Candidates) > 0 {
		row("")
		row("HOME", "ZONE", "PREFERRED", "REACHED", "LATENCY", "COST", "REASON")
	}
	for _, h := range e.Homes.Candidates {
		latency, cost := millis(h.Latency), millis(h.Cost)
		if h.Name == e.Instance {
			// It forwards nothing to itself.
			latency, cost = "-", "-"
		}
		row(mark(h.Chosen)+h.Name, h.Zone, yesNo(h.Preferred), yesNo(h.Reached && !h.Reported), latency, cost, h.Reason)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(e.Databases.Candidates) > 0 {
		row("")
		row("DATABASE", "ROLE", "ZONE", "RECEIVED", "AGE", "LAG", "FLOOR", "LATENCY", "COST", "LIMIT", "IN FLIGHT", "WAITING", "ELIGIBLE", "REASON")
	}
	for _, d := range e.Databases.Candidates {
		received, floor, limit := "-", "-", "-"
		if d.Received != "" {
			received = d.Received
		}
		if d.FloorReceived != nil {
			floor = yesNo(*d.FloorReceived)
		}
		if d.Limit > 0 {
			limit = fmt.Sprintf("%.1f", d.Limit)
		}
		row(mark(d.Chosen)+d.ID, d.Role, d.Zone, received, optionalDuration(d.StatusAgeMillis), optionalDuration(d.LagMillis), floor,
			millis(d.Latency), millis(d.Cost), limit, d.InFlight, d.Waiting, yesNo(d.Eligible), d.Reason)
	}
	return t.Flush()
}

func decisionText(d *session.Decision) string {
	switch d.Outcome {
	case session.Sent:
		return fmt.Sprintf("sent to database %s as %s", d.Database, d.Role)
	case session.Forwarded:
		return "forwarded to home " + d.Home
	case session.Waiting:
		return fmt.Sprintf("waits up to %s, then refused with code %s, reason %s", d.WaitMillis, d.Code, d.Reason)
	case session.Refused:
		text := fmt.Sprintf("refused with code %s, reason %s", d.Code, d.Reason)
		if d.RetryMillis > 0 {
			text += fmt.Sprintf(", retry after %s", d.RetryMillis)
		}
		return text
	default:
		return string(d.Outcome)
	}
}

func routeText(r *session.ExplainedRoute) string {
	text := fmt.Sprintf("%s, group %s, kind %s", r.Name, r.Group, r.Kind)
	if r.MaxAgeMillis > 0 {
		text += fmt.Sprintf(", at most %s old", r.MaxAgeMillis)
	}
	text += fmt.Sprintf(", class %d, target %s, timeout %s", r.Class, r.TargetLatencyMillis, r.TimeoutMillis)
	if r.Public {
		text += ", public"
	}
	return text
}

func workspaceText(e *session.Explanation) string {
	w := e.Workspace
	if w == nil {
		return "none"
	}
	text := fmt.Sprintf("%s, priority %d", w.Name, w.Priority)
	if w.Rate == 0 {
		return text + ", no limit"
	}
	text += fmt.Sprintf(", %g operations a second and a burst of %g over all proxies", w.Rate, w.Burst)
	if w.Token == "" {
		return text + ", no token asked for here"
	}
	text += fmt.Sprintf("; %d used in the last second and %d tokens here, token %s", w.UsedLastSecond, w.Tokens, w.Token)
	if w.Accountant != "" {
		text += ", accountant " + w.Accountant
	}
	return text
}

func databasesText(d *session.ExplainedDatabases) string {
	if len(d.Candidates) == 0 {
		return "none known"
	}
	text := "no primary known"
	if d.Primary != "" {
		text = "primary " + d.Primary
	}
	text += fmt.Sprintf(", term %d", d.Term)
	if d.Floor != "" {
		text += ", floor " + d.Floor
	}
	return text + fmt.Sprintf(", at most %d connections to each from here", d.Connections)
}

// mark returns the mark of a candidate, which is ">" if it is chosen.
func mark(chosen bool) string {
	if chosen {
		return "> "
	}
	return "  "
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func millis(v float64) string { return fmt.Sprintf("%.1fms", v) }

func optionalDuration(d *clock.Duration) string {
	if d == nil {
		return "-"
	}
	return d.String()
}
