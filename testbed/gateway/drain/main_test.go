package drain_test

import (
	"os"
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

func TestMain(m *testing.M) { os.Exit(gateway.Main(m)) }
