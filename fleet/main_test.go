package fleet

import (
	"testing"

	"savoryreel.example/savoryreel/internal/testutil"
)

func TestMain(m *testing.M) { testutil.MainNoLeaks(m) }
