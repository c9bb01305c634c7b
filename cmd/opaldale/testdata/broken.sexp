(tuning (round soon) (colour red))
