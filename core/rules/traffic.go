package rules

import (
	"strconv"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
)

// upstreamRule parses a rule that sets fields of an existing upstream. settings
// returns the settings that the rule may have, each of which sets a field of
// the given upstream.
func (p *parser) upstreamRule(c *cursor, rule string, settings func(*Upstream) []setting) {
	name, upstream, ok := c.upstreamReference()
	if !ok {
		return
	}
	if upstream == nil {
		// The upstream's own rule could not be parsed. The settings are checked
		// anyway.
		upstream = &Upstream{}
	}
	p.declare(rule+" "+name.text, c.line, name.column)
	allowed := settings(upstream)
	if c.settings(allowed...) == 0 {
		c.errorf(c.end, "the rule sets nothing; expected at least %s=", allowed[0].name)
	}
}

func (p *parser) limit(c *cursor) {
	p.upstreamRule(c, "limit", func(u *Upstream) []setting {
		u.LimitComment = c.comment
		return []setting{
			{"requestsPerSecond", func(w word) { u.RequestsPerSecond = c.decimal(w, 0.001, maxRequestsPerSecond) }},
			{"keyShare", func(w word) { u.KeyShare = c.percentage(w, 0.1, 100) }},
			{"priority", func(w word) { u.MinPriority = int(c.integer(w, 0, maxPriority)) }},
			{"body", func(w word) { u.MaxBodyBytes = c.size(w, 1, maxBodyBytes) }},
		}
	})
}

func (p *parser) retry(c *cursor) {
	p.upstreamRule(c, "retry", func(u *Upstream) []setting {
		u.RetryComment = c.comment
		return []setting{
			{"budget", func(w word) { u.RetryBudget = c.percentage(w, 0, 100) }},
			{"attempts", func(w word) { u.RetryAttempts = int(c.integer(w, 1, maxAttempts)) }},
			{"burst", func(w word) { u.RetryBurst = int(c.integer(w, 1, maxRetryBurst)) }},
		}
	})
}

func (p *parser) cold(c *cursor) {
	p.upstreamRule(c, "cold", func(u *Upstream) []setting {
		u.ColdStartComment = c.comment
		return []setting{{"requestsPerSecond", func(w word) { u.ColdStartRate = c.decimal(w, 0.001, maxRequestsPerSecond) }}}
	})
}

func (p *parser) hedge(c *cursor) {
	p.upstreamRule(c, "hedge", func(u *Upstream) []setting {
		u.HedgeComment = c.comment
		u.HedgeBudget, u.HedgeAfter = DefaultHedgeBudget, DefaultHedgeAfter
		return []setting{
			{"budget", func(w word) { u.HedgeBudget = c.percentage(w, 0, 100) }},
			{"after", func(w word) {
				if u.HedgeAfter = 0; w.text != "auto" {
					u.HedgeAfter = c.duration(w, minHedgeAfter, maxHedgeAfter)
				}
			}},
		}
	})
}

func (p *parser) pin(c *cursor) {
	name, upstream, ok := c.upstreamReference()
	if !ok {
		return
	}
	if upstream != nil && !upstream.Keyed {
		c.errorf(name.column, "upstream %s is unkeyed; expected a keyed upstream, whose partitions have owners", name.text)
		return
	}
	w, ok := c.word("key=KEY or partition=N")
	if !ok {
		return
	}
	pin := Pin{Upstream: name.text, Comment: c.comment}
	partitions := uint32(keyspace.MaxPartitions)
	if upstream != nil && keyspace.ValidPartitionCount(upstream.Partitions) {
		partitions = upstream.Partitions
	}
	kind, value, _ := w.split()
	switch {
	case kind == "key" && value.text != "":
		if pin.Key, ok = c.unquote(value); !ok {
			return
		}
		hash, ok := upstream.KeyHash(pin.Key)
		if !ok {
			c.errorf(value.column, "found %q; expected a key from 0 to %d", pin.Key, keyspace.MaxNumericKey)
			return
		}
		pin.Partition = keyspace.Partition(hash, partitions)
	case kind == "partition" && value.text != "":
		pin.Partition = uint32(c.integer(value, 0, int64(partitions)-1))
	default:
		c.errorf(w.column, "found %q; expected key=KEY or partition=N", w.text)
		return
	}
	if !c.expect("to") {
		return
	}
	server, ok := c.name("a backend server")
	if !ok {
		return
	}
	pin.Server = server.text
	c.settings()
	p.declare(pinIdentity(pin), c.line, w.column)
	p.set.Pins = append(p.set.Pins, pin)
}

func pinIdentity(pin Pin) string {
	// A pin of a key and a pin of the key's partition have the same identity.
	return "pin " + pin.Upstream + " partition " + strconv.FormatUint(uint64(pin.Partition), 10)
}
