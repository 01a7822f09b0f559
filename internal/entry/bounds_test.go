package entry

import (
	"net/http"
	"strings"
	"testing"
)

// TestHeaderOverTheBoundIsRefused sends a head that is larger than the default bound.
func TestHeaderOverTheBoundIsRefused(t *testing.T) {
	_, backend, url := startServer(t)
	response, _ := call(t, http.MethodGet, url+"/stock", nil, map[string]string{"X-Large": strings.Repeat("x", headerBytes)})
	if response.StatusCode < 400 || response.StatusCode >= 500 {
		t.Fatalf("status %d", response.StatusCode)
	}
	if backend.last.Method != "" {
		t.Fatal("the request was passed on")
	}
}
