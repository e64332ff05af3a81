package peer

import (
	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// setOrganisation sets the organisation that a call is made for. It reports false for
// a name that no rules can have: unlike the class of a call, the organisation decides
// what the backend server may do, so a call must not run without it.
func setOrganisation(c *relay.Call, name string) bool {
	c.Organisation = name
	return rules.ValidOrganisationName(name)
}

// appendOrganisation appends the organisation of a call to the fields of its frame.
func appendOrganisation(fields []*wirev1.PeerField, c *relay.Call) []*wirev1.PeerField {
	if c.Organisation == "" {
		return fields
	}
	return append(fields, &wirev1.PeerField{Name: headers.PeerOrganisation, Value: []byte(c.Organisation)})
}

// setOrganisationFromFields sets the organisation that the fields of a call frame state,
// if any. It reports false for an invalid one.
func setOrganisationFromFields(c *relay.Call, fields []*wirev1.PeerField) bool {
	for _, f := range fields {
		if f.GetName() == headers.PeerOrganisation && !setOrganisation(c, string(f.GetValue())) {
			return false
		}
	}
	return true
}
