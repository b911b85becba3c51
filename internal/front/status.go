package front

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// status is what the metrics address answers at /status.
type status struct {
	Instance         string              `json:"instance"`
	AvailabilityZone string              `json:"availabilityZone"`
	Configuration    configurationStatus `json:"configuration"`
	Workspaces       workspaceStatuses   `json:"workspaces"`
	Keys             keyStatuses         `json:"keys"`
	Groups           []groupStatus       `json:"groups"`
}

// configurationStatus is the configuration in force and what proves that it is the newest.
type configurationStatus struct {
	// Version is 0 if none is in force yet.
	Version uint64 `json:"version"`
	// ProofAgeMillis is the age of the proof. It is absent if there is none, or none is
	// required. From ProofLimitMillis on, requests with keys are refused.
	ProofAgeMillis   *clock.Duration `json:"proofAgeMillis,omitempty"`
	ProofLimitMillis clock.Duration  `json:"proofLimitMillis,omitempty"`
	// Workspaces is the number of declared workspaces.
	Workspaces int `json:"workspaces"`
}

// groupStatus is a group of the configuration in force.
type groupStatus struct {
	Name string `json:"name"`
	// Homes are the proxies that hold connections to the group's databases. It is empty
	// if all proxies do. Local is set if this process does.
	Homes   []string `json:"homes"`
	Local   bool     `json:"local"`
	Primary string   `json:"primary,omitempty"`
	Term    uint64   `json:"term"`
}

// status returns the status of the process. If they are not empty, it shows the workspace
// with the given name before the others, and only the key with the given keyID.
func (f *Front) status(workspace, keyID string) status {
	return status{
		Instance: f.settings.Name, AvailabilityZone: f.settings.Zone, Configuration: f.configurationStatus(),
		Workspaces: f.workspaceStatuses(workspace), Keys: f.keys.statuses(keyID), Groups: f.groupStatuses(),
	}
}

func (f *Front) configurationStatus() configurationStatus {
	var s configurationStatus
	if v := f.versions.Load(); v != nil {
		s.Version, s.Workspaces = v.Number, len(v.Workspaces.All())
	}
	if f.freshness == nil {
		return s
	}
	s.ProofLimitMillis = f.freshness.proof.MaxAge()
	if f.freshness.proof.Proved() {
		age := f.freshness.proof.Age(f.clock.Now())
		s.ProofAgeMillis = &age
	}
	return s
}

func (f *Front) groupStatuses() []groupStatus {
	v := f.versions.Load()
	if v == nil || f.homes == nil {
		return []groupStatus{}
	}
	list := make([]groupStatus, 0, len(v.Groups))
	for _, name := range slices.Sorted(maps.Keys(v.Groups)) {
		s := groupStatus{Name: name, Homes: namesOf(f.homes.Homes(name), "")}
		s.Local, _ = f.homes.ServesLocally(name)
		if s.Homes == nil {
			s.Homes = []string{}
		}
		if g := f.Group(name); g != nil {
			m, _ := g.Primary()
			s.Primary, s.Term = m.ID, g.Term()
		}
		list = append(list, s)
	}
	return list
}

// serveStatus answers /status. The parameter workspace names one to be shown in any case,
// and keyId a key that is to be shown alone.
func (f *Front) serveStatus(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(f.status(query.Get("workspace"), query.Get("keyId")))
}
