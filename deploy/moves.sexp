; Moves running tasks when that pays (docs/rebalancing-operations.md), with the view of
; half-broken links on as in links.sexp; the budgets are the defaults. Given to `serve` with
; --tuning.
(tuning
  (links on)
  (rebalance move)
  (moves-cluster 4)    ; moves at once
  (moves-zone 2)       ; of them, from machines of one zone
  (moves-team 2)       ; of them, of one team's tasks
  (moves-margin 2))    ; a move must gain so many times its cost
