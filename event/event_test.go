package event

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

var eventRow = regexp.MustCompile(`(?m)^\| (\d{4}) \| ([^|]+) \|`)

// Guards against events that docs/EVENTS.md lacks, lists under another message, or lists
// although the code has none: an operator would not find an event from the log there.
func TestPageListsEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	require.NoError(t, err)
	listed := map[string]bool{}
	for _, row := range eventRow.FindAllStringSubmatch(string(page), -1) {
		listed[row[1]+" "+row[2]] = true
	}
	for _, d := range All() {
		require.True(t, listed[fmt.Sprintf("%d %s", d.Kind, d.Name)], "docs/EVENTS.md lacks | %d | %s |", d.Kind, d.Name)
	}
	require.Len(t, listed, len(All()), "docs/EVENTS.md lists events that the code does not have")
}

// Guards against two events with the same number.
func TestEventNumbersAreUnique(t *testing.T) {
	seen := map[Kind]bool{}
	for _, d := range All() {
		require.False(t, seen[d.Kind], strconv.Itoa(int(d.Kind)))
		seen[d.Kind] = true
	}
}
