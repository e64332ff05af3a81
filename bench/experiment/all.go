package experiment

// All returns all experiments.
func All() []Experiment {
	return []Experiment{
		{"hops", "Latency that the two hops of a request add.", hops},
		{"hotkeys", "Imbalance and churn of ownership when the hottest 10 keys change.", hotkeys},
		{"recovery", "Time during which keys are unavailable.", recovery},
	}
}
