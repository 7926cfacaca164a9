package backendconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// answerOnce starts a server that writes text instead of its answer to each first request.
func answerOnce(t *testing.T, text string) (addr string) {
	return listen(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(conn, text)
			_, _ = http.ReadRequest(r) // until the client closes
		}
	})
}

// A whole answer was taken for two because a field other than the name of its request has its id and
// another one.
func TestFieldWithSeveralIDsCountsAsTwoHeads(t *testing.T) {
	is := is.New(t)
	addr := answerOnce(t, "HTTP/1.1 200 OK\r\nId: own\r\nCaused-By: parent\r\nCaused-By: own\r\nContent-Length: 4\r\n\r\nbody")
	var continuity Continuity
	client := &http.Client{Transport: &http.Transport{DialContext: WatchedDialer(clock.Boot{}, &continuity, false)}}
	defer client.CloseIdleConnections()
	responses := NewResponseReader()
	_, body, err := exchangeOn(client, &responses, addr, "own")
	is.NoErr(err)
	is.Equal(body, "body")
}
