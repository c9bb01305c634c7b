; Reports the load of machines and teams (docs/rebalancing-operations.md). The link monitor is
; enabled as in links.sexp. Pass this file to `serve` with --tuning.
(tuning
  (links on)
  (rebalance report))
