package upstream

import (
	"net/http"
	"strconv"
)

// garbage is an answer that is no HTTP.
const garbage = "\x00\x17HTP/9 what\r\n\r\n\xff\xfe"

// answer sends the answer of a job that ran.
func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request, j job, run int, end ending) {
	switch end {
	case endSilent:
		panic(http.ErrAbortHandler)
	case endGarbage:
		sendGarbage(w)
		return
	}
	body, err := e.answerBody(r, j, run)
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
	if end == endFailed {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	if end == endCutOff {
		cutOff(w, body)
	}
	writeBody(w, body, j.chunked)
}

// setHeaders sets what each answer says of the endpoint.
func (e *Endpoint) setHeaders(w http.ResponseWriter, f Faults) {
	header := w.Header()
	header.Set(HeaderEndpoint, string(e.addr))
	header.Set(HeaderLoad, formatLoad(e.loadShare(len(e.slots), f)))
	if !e.DrainingSince().IsZero() {
		header.Set(HeaderDraining, "1")
	}
}

// cutOff sends half of the body and closes the connection.
func cutOff(w http.ResponseWriter, body []byte) {
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

func sendGarbage(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = conn.Write([]byte(garbage))
	_ = conn.Close()
}
