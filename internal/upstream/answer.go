package upstream

import (
	"net/http"
	"strconv"
)

// garbage is an answer that is not HTTP.
const garbage = "\x00\x17HTP/9 what\r\n\r\n\xff\xfe"

// answer sends the answer of a job that ran, damaged as fault says.
func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request, j job, startNumber int, fault faultKind) {
	switch fault {
	case faultNoAnswer:
		panic(http.ErrAbortHandler)
	case faultGarbage:
		writeGarbage(w)
		return
	}
	body, err := e.answerBody(r, j, startNumber)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	e.setHeaders(w, j.faults)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, j.id)
	if !j.chunked {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	status := j.status
	if fault == faultFail {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	if fault == faultTruncate {
		truncateBody(w, body)
	}
	writeBody(w, body, j.chunked)
}

// setHeaders sets the headers that describe the endpoint.
func (e *Endpoint) setHeaders(w http.ResponseWriter, f Faults) {
	header := w.Header()
	header.Set(HeaderEndpoint, string(e.addr))
	header.Set(HeaderLoad, formatLoad(e.loadShare(len(e.slots), f)))
	if !e.DrainingSince().IsZero() {
		header.Set(HeaderDraining, "1")
	}
}

// truncateBody sends half of the body and closes the connection.
func truncateBody(w http.ResponseWriter, body []byte) {
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func writeBody(w http.ResponseWriter, body []byte, chunked bool) {
	if !chunked {
		_, _ = w.Write(body)
		return
	}
	half := len(body) / 2
	_, _ = w.Write(body[:half])
	_ = http.NewResponseController(w).Flush()
	_, _ = w.Write(body[half:])
}

func writeGarbage(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = conn.Write([]byte(garbage))
	_ = conn.Close()
}
