package entry

import (
	"net/http"
	"strings"
	"testing"
)

// The request head is larger than the default limit.
func TestHeaderAboveLimitIsRefused(t *testing.T) {
	_, backend, url := startServer(t)
	response, _ := call(t, http.MethodGet, url+"/stock", nil, map[string]string{"X-Large": strings.Repeat("x", defaultMaxHeaderBytes)})
	if response.StatusCode < 400 || response.StatusCode >= 500 {
		t.Fatalf("status %d", response.StatusCode)
	}
	if backend.last.Method != "" {
		t.Fatal("the request was forwarded")
	}
}
