package simulator

import _ "opaldale/internal/kvstoretest"
