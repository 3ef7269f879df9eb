package api

import "savoryreel.example/savoryreel/contract"

// Headers of the operators' HTTP API.
const (
	HeaderChangeID = "Savoryreel-Change-Id"    // chosen by the client, the same in each retry
	HeaderBase     = "Savoryreel-Base-Version" // catalogue version that the change is based on
	HeaderOperator = "Savoryreel-Operator"     // who makes the change; recorded in the history
	HeaderVersion  = "Savoryreel-Version"      // version of a catalogue sent as YAML
)

// CatalogueView is the response to GET /v1/catalogue.
type CatalogueView struct {
	Version   uint64             `json:"version"`
	Catalogue contract.Catalogue `json:"catalogue"`
}
