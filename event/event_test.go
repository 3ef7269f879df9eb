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

// The page and the code name the same events: an operator who searches the page
// for a number from the log must find it, with the same name.
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

func TestEventNumbersAreUnique(t *testing.T) {
	seen := map[Kind]bool{}
	for _, d := range All() {
		require.False(t, seen[d.Kind], strconv.Itoa(int(d.Kind)))
		seen[d.Kind] = true
	}
}
