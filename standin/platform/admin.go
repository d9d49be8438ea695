package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

// Admin is the HTTP interface by which operators of tests publish values and
// hosts and inject faults. It listens on an address of its own.
type Admin struct {
	platform *Platform
	// directory is read by POST /reload; empty if there is none.
	directory string
	mux       *http.ServeMux
}

// NewAdmin returns the handler. The directory may be empty.
func NewAdmin(platform *Platform, directory string) *Admin {
	a := &Admin{platform: platform, directory: directory, mux: http.NewServeMux()}
	a.mux.HandleFunc("PUT /values/{key...}", a.putValue)
	a.mux.HandleFunc("DELETE /values/{key...}", a.removeValue)
	a.mux.HandleFunc("POST /reload", a.reload)
	a.mux.HandleFunc("GET /hosts", a.getHosts)
	a.mux.HandleFunc("PUT /hosts", a.putHosts)
	a.mux.HandleFunc("POST /hosts", a.mergeHosts)
	a.mux.HandleFunc("DELETE /hosts", a.removeHost)
	a.mux.HandleFunc("PUT /outage", a.putOutage)
	a.mux.HandleFunc("PUT /stale", a.putStale)
	a.mux.HandleFunc("GET /calls", a.getCalls)
	a.mux.HandleFunc("DELETE /calls", a.resetCalls)
	return a
}

// ServeHTTP serves the admin interface.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mux.ServeHTTP(w, r)
}

func (a *Admin) putValue(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	version, err := a.platform.Put(ebonyworks.ConfigurationKey(r.PathValue("key")), value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(versionHeader, strconv.FormatUint(uint64(version), 10))
	w.WriteHeader(http.StatusNoContent)
}

func (a *Admin) removeValue(w http.ResponseWriter, r *http.Request) {
	a.platform.Remove(ebonyworks.ConfigurationKey(r.PathValue("key")))
	w.WriteHeader(http.StatusNoContent)
}

func (a *Admin) reload(w http.ResponseWriter, _ *http.Request) {
	if a.directory == "" {
		http.Error(w, "no directory to reload", http.StatusNotFound)
		return
	}
	if err := a.platform.LoadDirectory(a.directory); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Admin) getHosts(w http.ResponseWriter, _ *http.Request) {
	document, err := configdoc.Codec{}.EncodeHosts(a.platform.Hosts())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(document)
}

func (a *Admin) putHosts(w http.ResponseWriter, r *http.Request) {
	if hosts, ok := readHosts(w, r); ok {
		a.setHosts(w, hosts)
	}
}

// mergeHosts replaces the entries with the same name and address and adds the others.
func (a *Admin) mergeHosts(w http.ResponseWriter, r *http.Request) {
	changes, ok := readHosts(w, r)
	if !ok {
		return
	}
	hosts := a.platform.Hosts()
	for _, change := range changes {
		hosts = replace(hosts, change)
	}
	a.setHosts(w, hosts)
}

func replace(hosts []ebonyworks.ListedHost, change ebonyworks.ListedHost) []ebonyworks.ListedHost {
	for i, host := range hosts {
		if host.Name == change.Name && host.Address == change.Address {
			hosts[i] = change
			return hosts
		}
	}
	return append(hosts, change)
}

// removeHost removes all entries with the name.
func (a *Admin) removeHost(w http.ResponseWriter, r *http.Request) {
	var kept []ebonyworks.ListedHost
	for _, host := range a.platform.Hosts() {
		if host.Name != r.FormValue("Name") {
			kept = append(kept, host)
		}
	}
	a.setHosts(w, kept)
}

func (a *Admin) setHosts(w http.ResponseWriter, hosts []ebonyworks.ListedHost) {
	if err := a.platform.SetHosts(hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func readHosts(w http.ResponseWriter, r *http.Request) ([]ebonyworks.ListedHost, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return nil, false
	}
	hosts, problems := configdoc.Codec{}.DecodeHosts(body)
	if len(problems) > 0 {
		http.Error(w, problems[0].Path+": "+problems[0].Message, http.StatusBadRequest)
		return nil, false
	}
	return hosts, true
}

func (a *Admin) putOutage(w http.ResponseWriter, r *http.Request) {
	outage := Outage(r.FormValue("Kind"))
	switch outage {
	case NoOutage, Unavailable, Hanging, Closing:
		a.platform.SetOutage(outage)
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, "Kind is unavailable, hanging, closing or empty", http.StatusBadRequest)
	}
}

func (a *Admin) putStale(w http.ResponseWriter, r *http.Request) {
	replica, err := strconv.Atoi(r.FormValue("Replica"))
	if err == nil {
		err = a.platform.SetStale(replica, r.FormValue("Stale") != "false")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Admin) getCalls(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.platform.Calls())
}

func (a *Admin) resetCalls(w http.ResponseWriter, _ *http.Request) {
	a.platform.calls.reset()
	w.WriteHeader(http.StatusNoContent)
}
