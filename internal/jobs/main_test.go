package jobs

import (
	"os"
	"testing"

	"opaldale/internal/propertytest"
)

// propertyChecks is the number of cases per property. TestAnswersNotOlderThanStore has many steps that must meet.
const propertyChecks = 3000

func TestMain(m *testing.M) { os.Exit(propertytest.MainWithChecks(m, propertyChecks)) }
