package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/metastore/protocol"
)

// Paths of the fault injection and call counts. The real platform does not have them.
const (
	PathFaults       = "/admin/faults"    // GET and PUT: Faults.
	PathCounts       = "/admin/counts"    // GET: Counts.
	PathListing      = "/admin/listing"   // GET and PUT: metastore.Listing, without lag.
	PathUpstreams    = "/admin/upstreams" // PUT: the upstreams of some services, which replace the listed ones of these services.
	PathExpireLeases = "/admin/lapse"     // POST: expires the lease of ParamLeaseID, or every lease without it.
	ParamLeaseID     = "lease"            // Of PathExpireLeases.
	maxAdminBytes    = protocol.MaxListBytes
)

func (s *Server) registerAdminRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.platform.Faults()) })
	mux.HandleFunc("PUT "+PathFaults, s.putFaults)
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.platform.Counts()) })
	mux.HandleFunc("GET "+PathListing, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.platform.Listing()) })
	mux.HandleFunc("PUT "+PathListing, s.putListing)
	mux.HandleFunc("PUT "+PathUpstreams, s.putUpstreams)
	mux.HandleFunc("POST "+PathExpireLeases, s.expireLeases)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := readJSON(r, &faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.platform.SetFaults(faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putListing(w http.ResponseWriter, r *http.Request) {
	var listing metastore.Listing
	if err := readJSON(r, &listing); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.platform.SetListing(listing)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putUpstreams(w http.ResponseWriter, r *http.Request) {
	var upstreams map[fleet.Service][]fleet.Upstream
	if err := readJSON(r, &upstreams); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.platform.UpdateListing(func(l *metastore.Listing) { maps.Copy(l.Upstreams, upstreams) })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) expireLeases(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get(ParamLeaseID)
	if text == "" {
		s.platform.ExpireAllLeases()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("lease %q is no number", text), http.StatusBadRequest)
		return
	}
	s.platform.ExpireLease(metastore.LeaseID(id))
	w.WriteHeader(http.StatusNoContent)
}

func readJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAdminBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("decode %T: %w", into, err)
	}
	return nil
}
