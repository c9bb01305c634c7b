; Enables the link monitor, which detects partial network failures (docs/links-operations.md). Pass
; this file to `serve` with --tuning. The durations are the defaults.
(tuning
  (links on)
  (links-suspect 1s)      ; time added to a link's usual delays before the link becomes suspect
  (links-half-life 15s)   ; half-life of the flap damping penalty for a link that fails repeatedly
  (links-hold 15s)        ; minimum time that a node leads before it hands over
  (links-persist 3s))     ; how long another node must be better connected before a handover
