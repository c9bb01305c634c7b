; Shows the load of machines and teams (docs/rebalancing-operations.md), with the view of
; half-broken links on as in links.sexp.
(tuning
  (links on)
  (rebalance report))
