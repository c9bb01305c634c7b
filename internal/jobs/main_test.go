package jobs

import (
	"os"
	"testing"

	"opaldale/internal/propertytest"
)

func TestMain(m *testing.M) { os.Exit(propertytest.Main(m)) }
