package contract

import (
	"bytes"
	"errors"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/gravitational/trace"
)

// MaxDocument bounds a catalogue document: 4 MiB, some ten thousand workspaces.
const MaxDocumentBytes = 4 << 20

// Parse reads a catalogue from YAML. Decoding is strict: an unknown field, a
// duplicate key, a value out of range or a dangling reference is refused with
// its line. A refusal is an *InvalidError; nothing of the document is returned.
func Parse(doc []byte) (Catalogue, error) {
	if len(doc) > MaxDocumentBytes {
		return Catalogue{}, trace.LimitExceeded("catalogue is %d bytes, at most %d", len(doc), MaxDocumentBytes)
	}
	file, err := parser.ParseBytes(doc, 0)
	if err != nil {
		return Catalogue{}, syntaxError(err)
	}
	var c Catalogue
	dec := yaml.NewDecoder(bytes.NewReader(doc), yaml.Strict())
	if err := dec.Decode(&c); err != nil {
		return Catalogue{}, syntaxError(err)
	}
	var invalid *InvalidError
	if err := c.Validate(); errors.As(err, &invalid) {
		addLines(invalid.Violations, file)
		return Catalogue{}, invalid
	}
	return c, nil
}

// Format writes a catalogue as YAML that Parse reads back to the same value.
func Format(c Catalogue) ([]byte, error) {
	out, err := yaml.Marshal(c)
	return out, trace.Wrap(err)
}

// syntaxError turns a decoder's error into a violation with its line.
func syntaxError(err error) error {
	v := Violation{Path: "$", Reason: err.Error()}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		v.Reason = yamlErr.GetMessage()
		if token := yamlErr.GetToken(); token != nil {
			v.Line = token.Position.Line
		}
	}
	return &InvalidError{Violations: []Violation{v}}
}

// addLines finds each violation's place in the document. A value that the
// document leaves out is shown at the line of the nearest thing around it.
func addLines(violations []Violation, file *ast.File) {
	for i := range violations {
		violations[i].Line = lineOf(violations[i].Path, file)
	}
	slices.SortStableFunc(violations, func(a, b Violation) int { return a.Line - b.Line })
}

func lineOf(path string, file *ast.File) int {
	for path != "" && path != "$" {
		p, err := yaml.PathString(path)
		if err != nil {
			return 0
		}
		if node, err := p.FilterFile(file); err == nil && node != nil {
			return node.GetToken().Position.Line
		}
		path = parentPath(path)
	}
	return 0
}

// parentPath cuts the last step: $.a[1].b, $.a[1], $.a, $.
func parentPath(path string) string {
	lastStep := max(bytes.LastIndexByte([]byte(path), '.'), bytes.LastIndexByte([]byte(path), '['))
	if lastStep < 0 {
		return ""
	}
	return path[:lastStep]
}
