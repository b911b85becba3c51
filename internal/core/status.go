package core

import (
	"cmp"
	"slices"

	dbprocess "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
)

// Status returns the proxy's state, members, active version and open groups.
func (p *Proxy) Status() proxy.StatusAnswer {
	p.mu.Lock()
	answer := proxy.StatusAnswer{
		Name: p.instance.Name, Zone: p.instance.Zone, Leaving: p.leaving, Sessions: len(p.sessions),
	}
	members := p.members
	p.mu.Unlock()
	if members != nil {
		answer.Members = members.table()
	}
	if p.versions != nil {
		active, refused := p.versions.current()
		answer.Version, answer.Hash, answer.Refused = active.Version, active.Hash, refused.Version
		answer.TableVersion = p.versions.behind().Version
	}
	for _, g := range p.groups.all() {
		answer.Groups = append(answer.Groups, p.groupStatus(g))
	}
	slices.SortFunc(answer.Groups, func(a, b proxy.GroupStatus) int { return cmp.Compare(a.Name, b.Name) })
	return answer
}

func (p *Proxy) groupStatus(g *group) proxy.GroupStatus {
	status := proxy.GroupStatus{Name: g.serving.Name}
	status.Watching = p.groups.watching(g)
	g.monitor.View(func(known *dbprocess.Group) {
		primary, term := known.Primary()
		status.Term, status.Writable = term, known.Writable()
		if primary >= 0 {
			status.Primary = g.monitor.Members()[primary].Name
		}
	})
	if status.Watching {
		status.Phase = g.failover.Phase().String()
	}
	return status
}
