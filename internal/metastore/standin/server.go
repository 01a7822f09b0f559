package standin

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/metastore/protocol"
)

// expiryInterval is the time between two checks for expired leases while a Server runs.
const expiryInterval = 100 * time.Millisecond

// Server serves a Platform over the platform's HTTP protocol.
type Server struct {
	platform *Platform
	listener net.Listener
	http     *http.Server
	stop     context.CancelFunc
	stopped  chan struct{}
}

// Serve starts a server for p on addr, an IP address and port; port 0 picks a free port.
func Serve(p *Platform, addr string) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on platform address %s: %w", addr, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{platform: p, listener: listener, stop: stop, stopped: make(chan struct{})}
	s.http = &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: protocol.MaxWatchWait,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	go s.run()
	go expireLeases(ctx, p)
	return s, nil
}

// Addr returns the IP address and port that the server listens on.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Platform returns the platform that the server serves.
func (s *Server) Platform() *Platform {
	return s.platform
}

// Close stops the server and aborts the calls in progress.
func (s *Server) Close() error {
	s.stop()
	err := s.http.Close()
	<-s.stopped
	return err
}

func (s *Server) run() {
	defer close(s.stopped)
	_ = s.http.Serve(s.listener)
}

func expireLeases(ctx context.Context, p *Platform) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.ExpireDueLeases()
		}
	}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.PathKeys+"{key...}", s.getKey)
	mux.HandleFunc("PUT "+protocol.PathKeys+"{key...}", s.putKey)
	mux.HandleFunc("POST "+protocol.PathLeases, s.grantLease)
	mux.HandleFunc("POST "+protocol.PathLeases+"/{lease}"+protocol.PathKeepAlive, s.keepAlive)
	mux.HandleFunc("GET "+protocol.PathList, s.readList)
	s.registerAdminRoutes(mux)
	return mux
}

func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	key, err := requestKey(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, protocol.ErrorMalformed, err)
		return
	}
	if text := r.URL.Query().Get(protocol.ParamWatch); text != "" {
		s.watchKey(w, r, key, text)
		return
	}
	value, err := s.platform.Get(callContext(r), key)
	writeValue(w, value, err)
}

func (s *Server) watchKey(w http.ResponseWriter, r *http.Request, key, after string) {
	version, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, protocol.ErrorMalformed, fmt.Errorf("watch %q is no version", after))
		return
	}
	ctx, cancel := context.WithTimeout(callContext(r), protocol.MaxWatchWait)
	defer cancel()
	value, err := s.platform.Watch(ctx, key, metastore.Version(version))
	if errors.Is(err, context.DeadlineExceeded) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeValue(w, value, err)
}

func (s *Server) putKey(w http.ResponseWriter, r *http.Request) {
	put, err := readPutRequest(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, protocol.ErrorMalformed, err)
		return
	}
	version, err := s.platform.CompareAndSwap(callContext(r), put.key, put.expected, put.data, put.lease)
	w.Header().Set(protocol.HeaderVersion, strconv.FormatUint(uint64(version), 10))
	if err != nil {
		writeStoreError(w, metastore.OpCompareAndSwap, err)
	}
}

func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get(protocol.ParamTTL)
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, protocol.ErrorMalformed, fmt.Errorf("%s %q is no number", protocol.ParamTTL, text))
		return
	}
	id, err := s.platform.GrantLease(callContext(r), time.Duration(millis)*time.Millisecond)
	if err != nil {
		writeStoreError(w, metastore.OpGrantLease, err)
		return
	}
	w.Header().Set(protocol.HeaderLease, strconv.FormatUint(uint64(id), 10))
	w.WriteHeader(http.StatusCreated)
}

func (s *Server) keepAlive(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, protocol.ErrorMalformed, fmt.Errorf("lease %q is no number", r.PathValue("lease")))
		return
	}
	if err := s.platform.KeepAlive(callContext(r), metastore.LeaseID(id)); err != nil {
		writeStoreError(w, metastore.OpKeepAlive, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) readList(w http.ResponseWriter, r *http.Request) {
	listing, err := s.platform.Read(callContext(r))
	if err != nil {
		writeStoreError(w, metastore.OpList, err)
		return
	}
	if r.Header.Get(protocol.HeaderKnownVersion) == strconv.FormatUint(listing.Version, 10) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		writeGzipJSON(w, listing)
		return
	}
	writeJSON(w, listing)
}

// writeGzipJSON writes value as compressed JSON.
func writeGzipJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	_ = json.NewEncoder(compressed).Encode(value)
	_ = compressed.Close()
}

// putRequest is the decoded PUT of a key.
type putRequest struct {
	key      string
	expected metastore.Version
	lease    metastore.LeaseID
	data     []byte
}

func readPutRequest(r *http.Request) (putRequest, error) {
	key, err := requestKey(r)
	if err != nil {
		return putRequest{}, err
	}
	expected, err := strconv.ParseUint(r.Header.Get(protocol.HeaderExpectedVersion), 10, 64)
	if err != nil {
		return putRequest{}, fmt.Errorf("%s %q is no version", protocol.HeaderExpectedVersion, r.Header.Get(protocol.HeaderExpectedVersion))
	}
	var lease uint64
	if text := r.Header.Get(protocol.HeaderLease); text != "" {
		if lease, err = strconv.ParseUint(text, 10, 64); err != nil {
			return putRequest{}, fmt.Errorf("%s %q is no lease", protocol.HeaderLease, text)
		}
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, metastore.MaxValueBytes+1))
	if err != nil {
		return putRequest{}, fmt.Errorf("read value of key %q: %w", key, err)
	}
	return putRequest{key: key, expected: metastore.Version(expected), lease: metastore.LeaseID(lease), data: data}, nil
}

func requestKey(r *http.Request) (string, error) {
	key := r.PathValue("key")
	if key == "" || len(key) > protocol.MaxKeyBytes {
		return "", fmt.Errorf("key of %d bytes is outside 1 to %d", len(key), protocol.MaxKeyBytes)
	}
	return key, nil
}

func callContext(r *http.Request) context.Context {
	name := r.Header.Get(protocol.HeaderClient)
	if name == "" {
		name, _, _ = strings.Cut(r.RemoteAddr, ":")
	}
	return WithClient(r.Context(), name)
}

func writeValue(w http.ResponseWriter, value metastore.Value, err error) {
	if err != nil {
		writeStoreError(w, metastore.OpGet, err)
		return
	}
	w.Header().Set(protocol.HeaderVersion, strconv.FormatUint(uint64(value.Version), 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(value.Data)))
	_, _ = w.Write(value.Data)
}

// writeStoreError writes the response for a store's error. For an unknown result or a dropped read it
// closes the connection without a response.
func writeStoreError(w http.ResponseWriter, op string, err error) {
	switch {
	case errors.Is(err, metastore.ErrNotFound):
		writeError(w, http.StatusNotFound, protocol.ErrorNotFound, err)
	case errors.Is(err, metastore.ErrConflict):
		writeError(w, http.StatusPreconditionFailed, protocol.ErrorConflict, err)
	case errors.Is(err, metastore.ErrTooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, protocol.ErrorTooLarge, err)
	case errors.Is(err, metastore.ErrLeaseLost):
		writeError(w, http.StatusGone, protocol.ErrorLeaseLost, err)
	case errors.Is(err, metastore.ErrUnknownResult), errors.Is(err, errDropped):
		panic(http.ErrAbortHandler)
	default:
		writeError(w, http.StatusServiceUnavailable, protocol.ErrorUnavailable, fmt.Errorf("%s: %w", op, err))
	}
}

func writeError(w http.ResponseWriter, status int, word string, err error) {
	w.Header().Set(protocol.HeaderError, word)
	http.Error(w, err.Error(), status)
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
