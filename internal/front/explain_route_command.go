package front

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
)

// explainRouteTimeout bounds the answer of a proxy to explain-route.
const explainRouteTimeout = 10 * time.Second

// maxExplanationSize bounds the answer, in bytes. A group with 100 homes and databases
// takes about 60 KB.
const maxExplanationSize = 4 << 20

// ExplainRouteOptions holds the arguments of the explain-route subcommand. Values that may
// be absent are pointers.
type ExplainRouteOptions struct {
	Metrics   string  `arg:"--metrics,required" placeholder:"ADDRESS" help:"metrics address of the proxy, for example 10.0.0.1:7440"`
	Database  string  `arg:"--database,required" placeholder:"NAME" help:"name of the database that callers connect to"`
	Workspace *string `arg:"--workspace" placeholder:"NAME" help:"workspace of the caller; needed unless the route is public"`
	Kind      *string `arg:"--kind" placeholder:"KIND" help:"read, write or begin (of a transaction that may write) [default: read]"`
	Token     *string `arg:"--token" placeholder:"POSITION" help:"position of the session's last commit, as term/offset"`
	MaxAge    *string `arg:"--maxAgeMillis" placeholder:"N" help:"maximum age of a read in ms, in place of the route's"`
	JSON      bool    `arg:"--json" help:"print the answer as JSON"`
}

// namesKey reports whether the arguments of explain-route have a key. The parser of the
// arguments would quote it in its error.
func namesKey(args []string) bool {
	return slices.Contains(args, "explain-route") && slices.ContainsFunc(args, func(a string) bool {
		name, _, _ := strings.Cut(a, "=")
		return name == "--key" || name == "-key"
	})
}

// query returns the parameters that are sent to the proxy.
func (o *ExplainRouteOptions) query() url.Values {
	values := url.Values{parameterDatabase: {o.Database}}
	for name, value := range map[string]*string{
		parameterWorkspace: o.Workspace, parameterKind: o.Kind, parameterToken: o.Token, parameterMaxAge: o.MaxAge,
	} {
		if value != nil {
			values.Set(name, *value)
		}
	}
	return values
}

// explainRoute asks a proxy where a request would go, prints the answer and returns the
// exit code.
func explainRoute(o *ExplainRouteOptions, out, errOut io.Writer) int {
	if _, err := parseRouteQuery(o.query()); err != nil {
		_, _ = fmt.Fprintln(errOut, "oleanderflow-front:", err)
		return exitUsage
	}
	content, err := askRoute(o)
	if err == nil && o.JSON {
		_, err = out.Write(content)
	} else if err == nil {
		err = printRoute(out, content)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "oleanderflow-front:", err)
		return exitFailed
	}
	return exitOK
}

// askRoute returns the answer of the proxy as JSON.
func askRoute(o *ExplainRouteOptions) ([]byte, error) {
	client := &http.Client{Timeout: explainRouteTimeout}
	target := url.URL{Scheme: "http", Host: o.Metrics, Path: explainRoutePath, RawQuery: o.query().Encode()}
	response, err := client.Get(target.String())
	if err != nil {
		// The error of the client quotes the URL, whose values may be keys given by mistake.
		var failed *url.Error
		if errors.As(err, &failed) {
			err = failed.Err
		}
		return nil, errors.Wrap(err, "ask the proxy at the address of --metrics")
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationSize))
	if err != nil {
		return nil, errors.Wrap(err, "read the answer of the proxy")
	}
	if response.StatusCode == http.StatusOK {
		return content, nil
	}
	var failure routeError
	if json.Unmarshal(content, &failure) != nil || failure.Error == "" {
		return nil, errors.Errorf("the proxy answers %s; builds without explain-route answer 404", response.Status)
	}
	return nil, errors.New(failure.Error)
}

func printRoute(out io.Writer, content []byte) error {
	var e session.Explanation
	if err := json.Unmarshal(content, &e); err != nil {
		return errors.Wrap(err, "decode the answer of the proxy")
	}
	return writeRoute(out, &e)
}
