package experiment

// All returns all experiments.
func All() []Experiment {
	return []Experiment{
		{"hops", "Latency that the two hops of a request add.", hops},
		{"recovery", "Time during which keys are unavailable.", recovery},
	}
}
