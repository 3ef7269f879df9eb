// Package document transfers the versions of a document that a few processes hold and hundreds
// receive, over links that may be slow, lossy or busy.
//
// A receiver asks for one part after another, of any holder. What has arrived counts: a part that
// is lost, or a holder that stops, costs that part and not the transfer. Where the holder still
// has the version that the receiver has, it sends the difference between the two.
//
// The package does no I/O.
package document

import "github.com/cespare/xxhash/v2"

// Version identifies the content of a document.
type Version struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Revision uint64
	Sum      uint64 // xxhash of the content
}

// VersionOf returns the version of a document.
func VersionOf(revision uint64, content []byte) Version {
	return Version{Revision: revision, Sum: xxhash.Sum64(content)}
}

// Request asks for a part of a version.
type Request struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	HasBase bool // the receiver has Base
	Base    Version
	// Target and Difference are those of the transfer in progress, if Continues. Otherwise the
	// newest version above Base is asked for.
	Continues  bool
	Target     Version
	Difference bool
	Offset     int  // of the part in what is transferred
	MaxBytes   int  // of the part
	Whole      bool // no difference is wanted
}

// Part is a part of a version, or of the difference from the request's Base to it.
type Part struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Status     Status
	Target     Version
	Difference bool
	Size       int // of all parts
	Offset     int
	Data       []byte
}

// Status is what a holder can do for a request.
type Status uint8

// The statuses.
const (
	StatusPart    Status = iota // the part follows
	StatusNone                  // the holder has no version above Base
	StatusUnknown               // the holder does not have Target, or no longer has Base
)
