; Turns the view of half-broken links on (docs/links-operations.md). Given to `serve` with
; --tuning; the times are the defaults.
(tuning
  (links on)
  (links-suspect 1s)      ; granted beyond a link's usual delays before it is suspected
  (links-half-life 15s)   ; of the penalty for a link that breaks again and again
  (links-hold 15s)        ; a lead is kept for so long before it is handed over
  (links-persist 3s))     ; a sibling must be better placed for so long
