package standin

import _ "opaldale/internal/statetest"
