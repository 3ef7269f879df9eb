package api

import "savoryreel.example/savoryreel/contract"

// Headers of the operators' HTTP API.
const (
	HeaderChangeID = "Savoryreel-Change-Id"    // chosen by the client, the same in each resend
	HeaderBase     = "Savoryreel-Base-Version" // version that the change was made against
	HeaderOperator = "Savoryreel-Operator"     // who makes the change, for the history
	HeaderVersion  = "Savoryreel-Version"      // version of a catalogue sent as YAML
)

// CatalogueView is the answer to GET /v1/catalogue.
type CatalogueView struct {
	Version   uint64             `json:"version"`
	Catalogue contract.Catalogue `json:"catalogue"`
}
