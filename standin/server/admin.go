package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
)

const (
	maxAdminBytes = 64 << 10
	// drainTimeout bounds the drain of a server that an admin request starts.
	drainTimeout = time.Minute
)

// Admin is the HTTP interface by which tests and experiments inject faults and
// read counts. It listens on an address of its own.
type Admin struct {
	fleet *Fleet
	// reload reads the configuration again; nil if that isn't possible.
	reload func() (*ebonyworks.Configuration, error)
	mux    *http.ServeMux
}

// NewAdmin returns the handler. reload may be nil.
func NewAdmin(fleet *Fleet, reload func() (*ebonyworks.Configuration, error)) *Admin {
	a := &Admin{fleet: fleet, reload: reload, mux: http.NewServeMux()}
	a.mux.HandleFunc("GET /servers", a.listServers)
	a.mux.HandleFunc("GET /executions", a.listExecutions)
	a.mux.HandleFunc("PUT /faults", a.putFaults)
	a.mux.HandleFunc("POST /kill", a.kill)
	a.mux.HandleFunc("POST /drain", a.drain)
	a.mux.HandleFunc("POST /start", a.start)
	a.mux.HandleFunc("POST /epoch", a.switchEpoch)
	a.mux.HandleFunc("POST /reload", a.reloadConfiguration)
	return a
}

// ServeHTTP serves the admin interface.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mux.ServeHTTP(w, r)
}

// State is what GET /servers tells of a server.
type State struct {
	Server      ebonyworks.ServerID
	Catalogue   ebonyworks.CatalogueID
	Service     ebonyworks.ServiceID
	Domain      ebonyworks.DomainID
	Address     string
	State       Phase
	Incarnation ebonyworks.Incarnation
	// Connections are open ones, TurnedAway those that were closed beyond the
	// cap in this incarnation.
	Connections, TurnedAway int
	SlotsBusy, Queued       int
	Snapshots               []ebonyworks.Snapshot
	Counts                  Counts
}

// StateList is the reply to GET /servers.
type StateList struct {
	Servers []State
}

// ExecutionList is the reply to GET /executions.
type ExecutionList struct {
	Executions []Execution
	// Dropped counts reservations that weren't remembered.
	Dropped int
}

// AffectedList is the reply to requests that change servers.
type AffectedList struct {
	Servers []ebonyworks.ServerID
}

// FaultsBody is the body of PUT /faults.
type FaultsBody struct {
	SlowFactor                float64
	Frozen                    bool
	CrashValue                string
	CrashDowntimeMilliseconds int64
	Reply                     ReplyFault
	ReplyShare                float64
	Close                     ClosePoint
	CloseShare                float64
	Shed                      bool
	Report                    ReportFault
}

// Faults returns the faults that the body describes.
func (b FaultsBody) Faults() Faults {
	return Faults{
		SlowFactor:    b.SlowFactor,
		Frozen:        b.Frozen,
		CrashValue:    b.CrashValue,
		CrashDowntime: time.Duration(b.CrashDowntimeMilliseconds) * time.Millisecond,
		Reply:         b.Reply,
		ReplyShare:    b.ReplyShare,
		Close:         b.Close,
		CloseShare:    b.CloseShare,
		Shed:          b.Shed,
		Report:        b.Report,
	}
}

// State returns what the server is doing.
func (s *Server) State() State {
	view := s.view()
	busy, queued := view.life.slots.load()
	state := State{
		Server:      s.ID(),
		Catalogue:   view.catalogue.ID,
		Service:     s.options.Service,
		Domain:      s.options.Server.Domain,
		Address:     s.Address().String(),
		State:       view.state,
		Incarnation: view.life.incarnation,
		SlotsBusy:   busy,
		Queued:      queued,
		Snapshots:   s.options.Timeline.Held(s.ID(), time.Now()),
		Counts:      s.Counts(),
	}
	if view.life.door != nil {
		state.Connections, state.TurnedAway = view.life.door.connections()
	}
	return state
}

func (a *Admin) listServers(w http.ResponseWriter, r *http.Request) {
	list := StateList{Servers: []State{}}
	for _, server := range a.fleet.Select(selectorOf(r)) {
		list.Servers = append(list.Servers, server.State())
	}
	writeJSON(w, list)
}

func (a *Admin) listExecutions(w http.ResponseWriter, r *http.Request) {
	list := ExecutionList{Executions: []Execution{}}
	for _, server := range a.fleet.Select(selectorOf(r)) {
		list.Executions = append(list.Executions, server.Executions(ebonyworks.RequestID(r.FormValue("Request")))...)
		list.Dropped += server.executions.droppedCount()
	}
	writeJSON(w, list)
}

func (a *Admin) putFaults(w http.ResponseWriter, r *http.Request) {
	var body FaultsBody
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.change(w, r, func(server *Server) { server.SetFaults(body.Faults()) })
}

func (a *Admin) kill(w http.ResponseWriter, r *http.Request) {
	downtime, err := millisecondsOf(r, "DownMilliseconds")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.change(w, r, func(server *Server) { server.Kill(downtime) })
}

// drain replies when the servers have drained.
func (a *Admin) drain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), drainTimeout)
	defer cancel()
	a.change(w, r, func(server *Server) {
		server.record(event.StandInDraining)
		server.Drain(ctx)
	})
}

func (a *Admin) start(w http.ResponseWriter, r *http.Request) {
	a.change(w, r, func(server *Server) { _ = server.Restart() })
}

func (a *Admin) switchEpoch(w http.ResponseWriter, r *http.Request) {
	timeline, ok := a.fleet.Timeline(ebonyworks.CatalogueID(r.FormValue("Catalogue")))
	from, fromErr := strconv.ParseUint(r.FormValue("From"), 10, 64)
	epoch, epochErr := strconv.ParseUint(r.FormValue("Epoch"), 10, 64)
	if !ok || fromErr != nil || epochErr != nil {
		http.Error(w, "Catalogue, From or Epoch is invalid", http.StatusBadRequest)
		return
	}
	timeline.Switch(ebonyworks.SnapshotNumber(from), ebonyworks.PartitionEpoch(epoch))
	w.WriteHeader(http.StatusNoContent)
}

func (a *Admin) reloadConfiguration(w http.ResponseWriter, _ *http.Request) {
	if a.reload == nil {
		http.Error(w, "no configuration to reload", http.StatusNotFound)
		return
	}
	configuration, err := a.reload()
	if err == nil {
		err = a.fleet.Apply(configuration)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	if recorder := a.fleet.options.Recorder; recorder != nil {
		recorder.Record(event.New(event.StandInReloaded))
	}
	w.WriteHeader(http.StatusNoContent)
}

// change applies a change to all chosen servers at once. A request without a
// selector is refused; All=true chooses all.
func (a *Admin) change(w http.ResponseWriter, r *http.Request, apply func(*Server)) {
	selector := selectorOf(r)
	if selector == (Selector{}) && r.FormValue("All") != "true" {
		http.Error(w, "Catalogue, Service, Server, Domain or All=true is missing", http.StatusBadRequest)
		return
	}
	list := AffectedList{Servers: []ebonyworks.ServerID{}}
	done := make(chan struct{})
	chosen := a.fleet.Select(selector)
	for _, server := range chosen {
		list.Servers = append(list.Servers, server.ID())
		go func() {
			apply(server)
			done <- struct{}{}
		}()
	}
	for range chosen {
		<-done
	}
	writeJSON(w, list)
}

func selectorOf(r *http.Request) Selector {
	query := r.URL.Query()
	return Selector{
		Catalogue: ebonyworks.CatalogueID(query.Get("Catalogue")),
		Service:   ebonyworks.ServiceID(query.Get("Service")),
		Server:    ebonyworks.ServerID(query.Get("Server")),
		Domain:    ebonyworks.DomainID(query.Get("Domain")),
	}
}

func millisecondsOf(r *http.Request, name string) (time.Duration, error) {
	text := r.FormValue(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseUint(text, 10, 31)
	return time.Duration(value) * time.Millisecond, err
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
