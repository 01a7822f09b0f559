// Package operator serves an instance's operator endpoints on a separate address: health
// check, status, metrics and an explanation of where a request would go.
//
// Every path except api.PathHealth requires "Authorization: Bearer <token>".
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/accept"
	"github.com/damaskcove/damaskcove/internal/operator/api"
)

// readHeaderTimeout bounds the time to read an operator's request headers.
const readHeaderTimeout = 5 * time.Second

// Source provides the contents of the responses.
type Source interface {
	Status() api.Status
	Phase() api.Phase
	Explain(method, path string, account fleet.Account) api.Explanation
}

// Server serves the operator endpoints.
type Server struct {
	source   Source
	token    [sha256.Size]byte
	listener net.Listener
	server   *http.Server
	log      *slog.Logger
}

// New returns a server that listens on address, an IP address and port. Failed accepts are logged to log.
func New(address, token string, source Source, log *slog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for operators on %q: %w", address, err)
	}
	s := &Server{source: source, token: sha256.Sum256([]byte(token)), listener: listener, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathHealth, s.health)
	mux.HandleFunc("GET "+api.PathStatus, s.requireToken(s.status))
	mux.HandleFunc("GET "+api.PathActiveConfig, s.requireToken(s.activeConfig))
	mux.HandleFunc("GET "+api.PathExplain, s.requireToken(s.explain))
	mux.HandleFunc("GET "+api.PathMetrics, s.requireToken(expvar.Handler().ServeHTTP))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Close closes the listener of a server that was never run.
func (s *Server) Close() error {
	return s.listener.Close()
}

// Run serves operators until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(accept.Retry(s.listener, accept.NewFailures(s.log).Observe))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve operators on %q: %w", s.Addr(), err)
}

// requireToken rejects requests without the token. It compares digests, so that the time taken does
// not reveal the length of the token.
func (s *Server) requireToken(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(got[:], s.token[:]) != 1 {
			writeNotAuthorized(w)
			return
		}
		next(w, r)
	}
}

func writeNotAuthorized(w http.ResponseWriter) {
	entry, _ := result.Lookup(result.CodeNotAuthorized)
	http.Error(w, fmt.Sprintf("%d %s: %s", entry.Code, entry.Name, entry.Text), entry.Status)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	phase := s.source.Phase()
	if phase != api.PhaseServing {
		http.Error(w, string(phase), http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, phase)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.source.Status())
}

func (s *Server) activeConfig(w http.ResponseWriter, _ *http.Request) {
	status := s.source.Status()
	writeJSON(w, api.ActiveConfig{Self: status.Self.Ref, Phase: status.Phase, Revision: status.Revision})
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	method := q.Get(api.ParamMethod)
	if method == "" {
		method = http.MethodGet
	}
	writeJSON(w, s.source.Explain(method, q.Get(api.ParamPath), fleet.Account(q.Get(api.ParamAccount))))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
