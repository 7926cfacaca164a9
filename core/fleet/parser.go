package fleet

import (
	"bytes"
	"encoding/json"

	"github.com/sesamemoor/sesamemoor/core/jsonarray"
)

// Parser parses successive versions of a configuration. It decodes only the host routes
// that the version before did not have: versions of many routes that differ in a few would
// otherwise take a daemon with a small share of a processor away from its requests. A
// Parser is not safe for concurrent use; its zero value is ready for use.
type Parser struct {
	routes map[string]*parsedRoute // of the last version, by their JSON text
}

type parsedRoute struct {
	text  string
	route HostRoute
}

// Parse is the function Parse with the memory of the version before.
func (p *Parser) Parse(data []byte) (*Config, error) {
	c, ok := p.decode(data)
	if !ok {
		return Parse(data) // has the same errors for all documents
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

// ParsePublished is the function ParsePublished with the memory of the version before.
func (p *Parser) ParsePublished(data []byte) (*Config, error) {
	c, err := p.Parse(data)
	if err != nil {
		return nil, err
	}
	if err := c.checkPublished(); err != nil {
		return nil, err
	}
	return c, nil
}

// decode decodes a document route by route. ok is false if it cannot, in which case the
// document may be valid nevertheless.
func (p *Parser) decode(data []byte) (c *Config, ok bool) {
	rest, elements, ok := jsonarray.Cut(data, "host_routes")
	if !ok || len(data) > maxConfigBytes {
		return nil, false
	}
	c = new(Config)
	if decodeStrictly(rest, c) != nil || c.HostRoutes != nil {
		return nil, false
	}
	seen := make(map[string]*parsedRoute, len(elements))
	c.HostRoutes = make([]HostRoute, 0, len(elements))
	for _, text := range elements {
		r := p.routes[string(text)]
		if r == nil {
			r = &parsedRoute{text: string(text)}
			if decodeStrictly(text, &r.route) != nil {
				return nil, false
			}
		}
		seen[r.text] = r
		c.HostRoutes = append(c.HostRoutes, r.route)
	}
	p.routes = seen
	return c, true
}

// decodeStrictly decodes one JSON value and rejects unknown fields and further data.
func decodeStrictly(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if dec.More() {
		return errMoreData
	}
	return nil
}
