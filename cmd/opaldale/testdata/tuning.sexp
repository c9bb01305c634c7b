(tuning (round 3s) (links on))
