package backend

// WorkspaceStats are the connection counts of one workspace.
type WorkspaceStats struct {
	// Connections is how many connections are open or being opened, and Waiting how many
	// requests wait for one.
	Connections, Waiting int
}

// AddWorkspaceStats adds the counts of each workspace to sums, by its name. Connections and
// requests of no workspace have the empty name.
func (p *Pool) AddWorkspaceStats(sums map[string]WorkspaceStats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, counts := range []map[string]int{p.openFor, p.dialingFor} {
		for name, n := range counts {
			if n > 0 {
				s := sums[name]
				s.Connections += n
				sums[name] = s
			}
		}
	}
	for i := range p.waiting {
		s := sums[p.waiting[i].workspace]
		s.Waiting++
		sums[p.waiting[i].workspace] = s
	}
}

// AddWorkspaceStats adds the counts of all databases of the group to sums.
func (g *GroupClient) AddWorkspaceStats(sums map[string]WorkspaceStats) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		p.AddWorkspaceStats(sums)
	}
}
