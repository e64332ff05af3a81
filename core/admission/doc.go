// Package admission bounds the work of one backend server: slots, a queue that knows deadlines, fairness among keys, an adaptive limit and cold start.
package admission
