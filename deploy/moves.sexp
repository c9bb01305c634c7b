; Moves running tasks if the gain exceeds the cost (docs/rebalancing-operations.md). The link monitor
; is enabled as in links.sexp. Pass this file to `serve` with --tuning. The limits are the defaults.
(tuning
  (links on)
  (rebalance move)
  (moves-cluster 4)    ; maximum number of concurrent moves
  (moves-zone 2)       ; maximum number of concurrent moves from machines of one zone
  (moves-team 2)       ; maximum number of concurrent moves of one team's tasks
  (moves-margin 2))    ; minimum ratio of the gain of a move to its cost
