package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Paths of AdminHandler.
const (
	PathEndpoints    = "/admin/endpoints" // GET: list of the endpoints' Stats.
	PathSummary      = "/admin/summary"   // GET: Summary.
	PathRecord       = "/admin/record"    // GET: the Record of the request ID in ParamID.
	PathFaults       = "/admin/faults"    // GET and PUT: Faults of the endpoint in ParamEndpoint.
	PathConnectivity = "/admin/reach"     // POST: sets the connectivity of ParamEndpoint from the address in ParamFrom to ParamConnectivity.
	PathDrain        = "/admin/leave"     // POST: starts draining the endpoint in ParamEndpoint.
)

// Query parameters of AdminHandler.
const (
	ParamEndpoint     = "endpoint"
	ParamID           = "id"
	ParamFrom         = "from"  // IP address of a caller.
	ParamConnectivity = "reach" // A name that ParseConnectivity accepts.
)

const maxAdminBytes = 1 << 20

// AdminHandler returns the handler that changes the faults of a host's endpoints and serves its counts.
func AdminHandler(h *Host) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathEndpoints, func(w http.ResponseWriter, _ *http.Request) {
		stats := []Stats{}
		for _, e := range h.Endpoints() {
			stats = append(stats, e.Stats())
		}
		writeJSON(w, stats)
	})
	mux.HandleFunc("GET "+PathSummary, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.recorder.Summary()) })
	mux.HandleFunc("GET "+PathRecord, func(w http.ResponseWriter, r *http.Request) {
		record, ok := h.recorder.Record(r.URL.Query().Get(ParamID))
		if !ok {
			http.Error(w, "request ID not recorded", http.StatusNotFound)
			return
		}
		writeJSON(w, record)
	})
	mux.HandleFunc("GET "+PathFaults, onEndpoint(h, func(w http.ResponseWriter, _ *http.Request, e *Endpoint) { writeJSON(w, e.Faults()) }))
	mux.HandleFunc("PUT "+PathFaults, onEndpoint(h, putFaults))
	mux.HandleFunc("POST "+PathConnectivity, onEndpoint(h, postConnectivity))
	mux.HandleFunc("POST "+PathDrain, onEndpoint(h, func(w http.ResponseWriter, _ *http.Request, e *Endpoint) {
		e.Drain()
		w.WriteHeader(http.StatusNoContent)
	}))
	return mux
}

func onEndpoint(h *Host, f func(http.ResponseWriter, *http.Request, *Endpoint)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		addr := r.URL.Query().Get(ParamEndpoint)
		e, ok := h.Endpoint(fleet.Endpoint(addr))
		if !ok {
			http.Error(w, fmt.Sprintf("endpoint %q is not on this host", addr), http.StatusNotFound)
			return
		}
		f(w, r, e)
	}
}

func postConnectivity(w http.ResponseWriter, r *http.Request, e *Endpoint) {
	from, err := netip.ParseAddr(r.URL.Query().Get(ParamFrom))
	if err != nil {
		http.Error(w, fmt.Sprintf("from: %v", err), http.StatusBadRequest)
		return
	}
	connectivity, err := ParseConnectivity(r.URL.Query().Get(ParamConnectivity))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetConnectivityFrom(from, connectivity)
	w.WriteHeader(http.StatusNoContent)
}

func putFaults(w http.ResponseWriter, r *http.Request, e *Endpoint) {
	var faults Faults
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAdminBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, fmt.Sprintf("decode faults: %v", err), http.StatusBadRequest)
		return
	}
	if err := e.SetFaults(faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
