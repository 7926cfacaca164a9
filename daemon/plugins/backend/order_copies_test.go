package backend

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/hold"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn/backendconntest"
)

// checkedOrders is the protocol of fake, and looks at the answers to orders.
type checkedOrders struct{ *fake }

func (o checkedOrders) post(ctx context.Context, c *http.Client, addr, path string) (handover string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, nil)
	if err != nil {
		return "", err
	}
	resp, err := c.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return resp.Header.Get("Handover"), nil
}

func (o checkedOrders) Grant(ctx context.Context, c *http.Client, addr string, _ protocol.KeyRange, _ time.Duration, _ string) error {
	_, err := o.post(ctx, c, addr, "/grant")
	return err
}

func (o checkedOrders) Release(ctx context.Context, c *http.Client, addr string, _ protocol.KeyRange) (string, error) {
	return o.post(ctx, c, addr, "/release")
}

// A copy of the answer to one order was taken for the answer to the next one, which the server
// had refused.
func TestCopyOfTheAnswerToAnOrderAnswersTheNext(t *testing.T) {
	for name, form := range map[string]struct{ together, names, others bool }{
		"copies at once":                   {together: true},
		"copies name the order":            {names: true},
		"after copies of others":           {others: true},
		"after copies of others, and name": {others: true, names: true},
	} {
		for _, order := range []string{"grant", "release"} {
			t.Run(order+", "+name, func(t *testing.T) {
				is := is.New(t)
				s := backendconntest.OrderServer{
					IDHeader: "Id", Together: form.together, Names: form.names, Header: func(string) []string { return []string{"Seal: s"} },
				}
				addr := s.Start(t)
				c := newClient(clock.Boot{}, checkedOrders{&fake{}}, noSuspects{})
				for n := 1; n <= 2 && form.others; n++ { // copies that name their request come first
					kind, _ := runRaw(c, addr, backendconntest.ID(n))
					is.Equal(kind == outcome.OK, n == 1)
				}
				for n := 1; n <= 6; n++ {
					var err error
					handover := strconv.Itoa(n)
					if order == "grant" {
						err = c.sendGrant(t.Context(), &server{addr: addr}, protocol.KeyRange{}, hold.Grant{}, clock.Boot{}.Now().Add(time.Minute))
					} else {
						handover, err = c.protocol.Release(t.Context(), c.releaseClient, addr, protocol.KeyRange{})
					}
					if n%2 == 0 {
						is.True(err != nil) // the server refused it
						continue
					}
					is.NoErr(err)
					is.Equal(handover, strconv.Itoa(n))
				}
			})
		}
	}
}

// A server that writes each answer once must not get a connection for each order.
func TestOrdersOpenConnections(t *testing.T) {
	is := is.New(t)
	const orders = 50
	s := backendconntest.Server{IDHeader: "Id", Framing: "length", Answer: func(*http.Request) backendconntest.Answer {
		return backendconntest.Answer{Status: http.StatusOK}
	}}
	addr := s.Start(t)
	c := newClient(clock.Boot{}, checkedOrders{&fake{}}, noSuspects{})
	for range orders {
		is.NoErr(c.sendGrant(t.Context(), &server{addr: addr}, protocol.KeyRange{}, hold.Grant{}, clock.Boot{}.Now().Add(time.Minute)))
		_, err := c.protocol.Release(t.Context(), c.releaseClient, addr, protocol.KeyRange{})
		is.NoErr(err)
	}
	is.Equal(s.Conns(), 2)
}
