package backendconn

import (
	"net/http"
	"testing"
)

// A whole body that ends in the name of the protocol was taken for one with a cut copy.
func TestBodyThatEndsInTheProtocolNameIsWhole(t *testing.T) {
	answer := &http.Response{Proto: "HTTP/1.1", Status: "200 OK", StatusCode: 200, Header: http.Header{"Id": {"r-1"}}}
	n := requestIDs{own: "r-1", marks: marksOf, carried: func(string) bool { return false }}
	for _, body := range []string{"we speak HTTP/1.1", "we speak HTTP/1.", "GET / HTTP/1.1\r"} {
		if _, err := ownBody(answer, []byte(body), 0, n); err != nil {
			t.Errorf("%q: %v", body, err)
		}
	}
}
