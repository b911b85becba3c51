package core

import (
	"context"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
)

const (
	// statusTimeout bounds the status request to one proxy.
	statusTimeout = 3 * time.Second
	// maxStatusQueries bounds the number of proxies that are queried at once.
	maxStatusQueries = 32
)

// ProxyStatus is the status that a proxy returned, or the error if it did not
// answer.
type ProxyStatus struct {
	Name   string              `json:"name"`
	State  string              `json:"state"`
	Error  string              `json:"error,omitempty"`
	Answer *proxy.StatusAnswer `json:"says,omitempty"`
}

func runStatus(ctx context.Context, o *StatusOptions) int {
	first, err := queryStatus(ctx, o.Peer)
	if err != nil {
		return fail(errors.Wrap(err, "ask the proxy at "+o.Peer))
	}
	all := queryAll(ctx, first.Members)
	if o.JSON {
		return printJSON(all)
	}
	if err := printStatus(first, all); err != nil {
		return fail(err)
	}
	return ExitOK
}

// queryStatus requests the status of the proxy at address.
func queryStatus(ctx context.Context, address string) (*proxy.StatusAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var answer proxy.StatusAnswer
	if err := proxy.CallAddress(ctx, address, proxy.MethodStatus, struct{}{}, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

// queryAll queries all members that may be alive, at most maxStatusQueries at
// once.
func queryAll(ctx context.Context, members []proxy.Member) []ProxyStatus {
	all := make([]ProxyStatus, len(members))
	slots := make(chan struct{}, maxStatusQueries)
	var wg sync.WaitGroup
	for i, m := range members {
		all[i] = ProxyStatus{Name: m.Name, State: m.State.String()}
		if m.State >= proxy.Dead {
			continue
		}
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			answer, err := queryStatus(ctx, m.Address)
			if err != nil {
				all[i].Error = err.Error()
				return
			}
			answer.Members = nil
			all[i].Answer = answer
		}()
	}
	wg.Wait()
	return all
}

func printStatus(first *proxy.StatusAnswer, all []ProxyStatus) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "proxy\tzone\tstate\tversion\tsessions\tnote")
	for _, s := range all {
		if s.Answer == nil {
			fmt.Fprintf(table, "%s\t\t%s\t\t\tnot heard from: %s\n", s.Name, s.State, s.Error)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\n", s.Name, s.Answer.Zone, s.State, s.Answer.Version, s.Answer.Sessions, statusNote(s.Answer))
	}
	fmt.Fprintln(table, "\ngroup\tprimary\tterm\twritable")
	for _, g := range first.Groups {
		fmt.Fprintf(table, "%s\t%s\t%d\t%t\n", g.Name, g.Primary, g.Term, g.Writable)
	}
	return table.Flush()
}

func statusNote(s *proxy.StatusAnswer) string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Refused > s.Version:
		return fmt.Sprintf("cannot apply version %d", s.Refused)
	case s.TableVersion != 0:
		return fmt.Sprintf("the table has version %d: apply with --above", s.TableVersion)
	}
	return ""
}
