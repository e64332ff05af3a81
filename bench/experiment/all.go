package experiment

// All returns all experiments, sorted by name.
func All() []Experiment {
	return []Experiment{
		{"cold", "Requests above the capacity of servers in cold start, and tail latency meanwhile.", cold},
		{"connections", "Memory of an entry node with many connections of callers.", connections},
		{"hops", "Latency that the two hops of a request add.", hops},
		{"hotkeys", "Imbalance and churn of ownership when the hottest 10 keys change.", hotkeys},
		{"overload", "Goodput at 3 times capacity.", overload},
		{"recovery", "Time during which keys are unavailable.", recovery},
		{"silent", "Time during which requests are not answered when connections between nodes become half-open.", silent},
		{"straggler", "Tail latency while one of eight servers is slow.", straggler},
		{"stream", "Memory of a node while 100 MB are uploaded and downloaded.", stream},
		{"throughput", "Requests/s of one node on one core.", throughput},
		{"zone", "Service while an availability zone leaves and returns.", zone},
	}
}
