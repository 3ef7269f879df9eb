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

// MaxDocumentBytes is the maximum size of a catalogue document.
const MaxDocumentBytes = 4 << 20

// Parse decodes and validates a catalogue from YAML. Decoding is strict: an
// unknown field, a duplicate key, a value out of range or an unknown reference
// gives an *InvalidError with the line of each violation. A document larger than
// MaxDocumentBytes gives a trace.LimitExceeded error.
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

// Format encodes a catalogue as YAML that Parse decodes to an equal catalogue.
func Format(c Catalogue) ([]byte, error) {
	out, err := yaml.Marshal(c)
	return out, trace.Wrap(err)
}

// syntaxError converts an error of the YAML decoder into an *InvalidError with its
// line.
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

// addLines sets the line of each violation and sorts the violations by line. If
// the document lacks the value, the line is that of the nearest enclosing node.
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

// parentPath removes the last step of a path: $.a[1].b, $.a[1], $.a, $.
func parentPath(path string) string {
	lastStep := max(bytes.LastIndexByte([]byte(path), '.'), bytes.LastIndexByte([]byte(path), '['))
	if lastStep < 0 {
		return ""
	}
	return path[:lastStep]
}
