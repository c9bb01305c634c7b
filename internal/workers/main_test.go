package workers

import (
	"os"
	"testing"

	"opaldale/internal/propertytest"
)

// propertyChecks is the number of cases of each property. Orders of events that need four or five late messages are rare.
const propertyChecks = 6000

func TestMain(m *testing.M) { os.Exit(propertytest.MainWithChecks(m, propertyChecks)) }
