package outcome

// Defaults of a Budget.
const (
	// DefaultBudgetShare is the share of requests that may be retried or
	// hedged. It bounds the extra load in a full outage to a tenth of the
	// requests.
	DefaultBudgetShare = 0.1
	// DefaultBudgetBurst is the number of retries or hedged requests that may
	// follow each other without new requests between them. It lets a node with
	// little traffic retry at all.
	DefaultBudgetBurst = 10
)

// BudgetConfig configures a Budget. The zero value means the defaults.
type BudgetConfig struct {
	// Share of requests that may be retried or hedged, from 0 to 1. 0 means
	// DefaultBudgetShare; a negative value allows none.
	Share float64
	// Burst is the largest number of tokens that can be saved up, at least 1.
	// 0 means DefaultBudgetBurst.
	Burst float64
}

func (c BudgetConfig) withDefaults() BudgetConfig {
	if c.Share == 0 {
		c.Share = DefaultBudgetShare
	}
	c.Share = min(c.Share, 1)
	if c.Burst <= 0 {
		c.Burst = DefaultBudgetBurst
	}
	c.Burst = max(c.Burst, 1)
	if c.Share < 0 {
		c.Share, c.Burst = 0, 0
	}
	return c
}

// Budget is a token bucket that bounds retries or hedged requests to a share of
// requests. Over any span, it allows at most Share times the number of
// requests, plus Burst. It depends on counts alone, not on time. It is not safe
// for concurrent use.
type Budget struct {
	config BudgetConfig
	tokens float64
}

// NewBudget returns a Budget whose whole burst is available.
func NewBudget(config BudgetConfig) *Budget {
	config = config.withDefaults()
	return &Budget{config: config, tokens: config.Burst}
}

// CountRequest counts a request that is sent for the first time.
func (b *Budget) CountRequest() {
	b.tokens = min(b.tokens+b.config.Share, b.config.Burst)
}

// Take reports whether a retry or a hedged request is allowed. It takes a token
// if so.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Configure changes the share and the burst. Saved tokens are kept as far as
// the new burst allows.
func (b *Budget) Configure(config BudgetConfig) {
	b.config = config.withDefaults()
	b.tokens = min(b.tokens, b.config.Burst)
}
