package simulator

import _ "opaldale/internal/kvstoretest" // discards the log
