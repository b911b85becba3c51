package operator

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// workspaceKind is the kind of the sections [workspace NAME].
const workspaceKind = "workspace"

const (
	maxPriority = 100
	// maxUserLength is the longest name of a PostgreSQL role, in bytes.
	maxUserLength = 63
	// noRates is what is expected of a workspace's rate and burst. Enforcing them takes
	// accountants and tokens between proxies, which only oleanderflow-front has. A
	// rate that some proxies enforce each by itself would be none.
	noRates = "no rate and no burst: this program does not enforce them, oleanderflow-front does"
)

// bindWorkspace takes in a section [workspace NAME].
func (c *checker) bindWorkspace(s *Section) {
	name := s.ObjectName()
	// One way to write a section is enough: another one could declare the same name twice.
	if len(strings.Fields(s.Name)) != 2 || len(name) > 64 || strings.ContainsAny(name, " :'\"/\\") {
		c.addProblem(s.Source, s.Name, "", "the section lacks a valid name", "[workspace NAME] with at most 64 letters, digits, dots and dashes", "")
		return
	}
	if first, ok := c.workspaces[name]; ok {
		c.addProblem(s.Source, s.Name, "", "workspace "+name+" is declared twice, first at "+first.String(), "one section for each workspace", "")
		return
	}
	if c.workspaces == nil {
		c.workspaces, c.holders = make(map[string]Source), make(map[string]string)
	}
	c.workspaces[name] = s.Source
	w := Workspace{Declaration: Declaration{Name: name, Source: s.Source}}
	c.checkRequired(s, "users")
	bound := *s
	bound.Values = nil
	for _, v := range s.Values {
		if v.Key == "rate" || v.Key == "burst" {
			c.refuseRate(s, v)
			continue
		}
		bound.Values = append(bound.Values, v)
	}
	c.bind(&bound, []binding{
		{"users", "roles separated by commas, each once and of at most 63 bytes", users(&w.Users)},
		{"priority", fmt.Sprintf("a whole number from 0, the highest, to %d", maxPriority), number(&w.Priority, 0, maxPriority)},
	})
	c.checkHolders(s, &w)
	c.config.Workspaces = append(c.config.Workspaces, w)
}

// refuseRate adds a problem for a rate or burst, which are not accepted whatever their
// values.
func (c *checker) refuseRate(s *Section, v Value) {
	message := "rates of workspaces are not enforced for PostgreSQL callers"
	if n, err := strconv.ParseFloat(strings.TrimSpace(v.Text), 64); err != nil || n < 0 || math.IsNaN(n) || math.IsInf(n, 0) {
		message = "invalid value " + strconv.Quote(v.Text)
	}
	c.addProblem(v.Source, s.Name, v.Key, message, noRates, "")
}

// checkHolders adds a problem for each user that another workspace holds.
func (c *checker) checkHolders(s *Section, w *Workspace) {
	for _, user := range w.Users {
		holder, ok := c.holders[user]
		if !ok {
			c.holders[user] = w.Name
			continue
		}
		c.addProblem(s.find("users").Source, s.Name, "users", fmt.Sprintf("user %s is held by workspace %s, declared at %s", user, holder, c.workspaces[holder]), "one workspace for each user", "")
	}
}

// users returns a setter for a list of roles separated by commas.
func users(target *[]string) func(string) bool {
	return func(s string) bool {
		seen := make(map[string]bool)
		for user := range strings.SplitSeq(s, ",") {
			user = strings.TrimSpace(user)
			if user == "" || len(user) > maxUserLength || seen[user] || strings.ContainsFunc(user, func(r rune) bool { return r < ' ' || r == 0x7f }) {
				*target = nil
				return false
			}
			seen[user] = true
			*target = append(*target, user)
		}
		return true
	}
}
