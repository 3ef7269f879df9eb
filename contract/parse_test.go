package contract

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validDoc = `workspaces:
  - name: brokers
    owner: ana@drava.example
    class: interactive
    weight: 4
    limits:
      requestsPerSecond: 50
      concurrency: 20
    keys:
      - sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
services:
  - name: statements
    owner: ana@drava.example
    kind: model
    model: ledger-7b
    workspaces: [brokers]
    target:
      firstToken: 720ms
      betweenTokens: 46ms
  - name: credits
    owner: ana@drava.example
    kind: plain
    calls:
      - method: POST
        pathPrefix: /credit
        idempotent: false
`

// Guards against Format losing or changing a value.
func TestFormatParseRoundTrip(t *testing.T) {
	c, err := Parse([]byte(validDoc))
	require.NoError(t, err)
	doc, err := Format(c)
	require.NoError(t, err)
	reparsed, err := Parse(doc)
	require.NoError(t, err)
	require.Empty(t, Diff(c, reparsed))
}

// Guards against accepting an invalid document, and against reporting a violation
// without its reason or with a wrong line.
func TestParseReportsLineOfEachViolation(t *testing.T) {
	cases := []struct {
		name, old, new string
		line           int
		reason         string
	}{
		{"unknown field", "weight: 4", "wieght: 4", 5, "wieght"},
		{"duplicate key", "weight: 4", "weight: 4\n    weight: 5", 6, "weight"},
		{"weight out of range", "weight: 4", "weight: 0", 5, "out of range"},
		{"negative limit", "concurrency: 20", "concurrency: -1", 8, "out of range"},
		{"bad key hash", "sha256:9f", "sha256:zz", 10, "not a key hash"},
		{"unknown class", "class: interactive", "class: urgent", 4, "not one of"},
		{"dangling workspace", "[brokers]", "[broker]", 16, "no workspace"},
		{"duplicate service", "name: credits", "name: statements", 20, "duplicate"},
		{"model missing", "    model: ledger-7b\n", "", 12, "names its model"},
		{"rule without slash", "pathPrefix: /credit", "pathPrefix: credit", 25, "begin with /"},
		{"not YAML", "workspaces:", "workspaces: [", 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validDoc, c.old, c.new, 1)))
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Contains(t, invalid.Violations[0].Reason, c.reason)
			if c.line > 0 {
				require.Equal(t, c.line, invalid.Violations[0].Line, invalid.Error())
			}
		})
	}
}

// Guards against Parse stopping at the first violation.
func TestParseListsAllViolations(t *testing.T) {
	doc := strings.NewReplacer("weight: 4", "weight: 0", "kind: plain", "kind: web").Replace(validDoc)
	_, err := Parse([]byte(doc))
	var invalid *InvalidError
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid.Violations, 2)
}

// Guards against repeating a call that is not idempotent.
func TestServiceIdempotent(t *testing.T) {
	c, err := Parse([]byte(validDoc))
	require.NoError(t, err)
	credits := &c.Services[1]
	require.False(t, credits.Idempotent("POST", "/credit/7"))
	require.False(t, credits.Idempotent("POST", "/other"))
	require.True(t, credits.Idempotent("GET", "/credit/7"))
	require.True(t, c.Services[0].Idempotent("POST", "/v1/chat/completions"))
}

// Guards against a caller raising its class above that of its workspace.
func TestClassLower(t *testing.T) {
	require.Equal(t, ClassBatch, ClassStandard.Lower(ClassBatch))
	require.Equal(t, ClassStandard, ClassStandard.Lower(ClassInteractive))
	require.Equal(t, ClassStandard, ClassStandard.Lower("urgent"))
}

// Guards against Parse returning a catalogue that Validate refuses, or panicking.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDoc))
	f.Add([]byte("workspaces: [{name: a, keys: [sha256:]}]"))
	f.Add([]byte("&a [*a]"))
	f.Fuzz(func(t *testing.T, doc []byte) {
		c, err := Parse(doc)
		if err == nil {
			require.NoError(t, c.Validate())
		}
	})
}
