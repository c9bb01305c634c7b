(tuning (round 1ms) (links on))
