package rules

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Limits of organisations.
const (
	// maxAPIKeys limits the keys of one organisation.
	maxAPIKeys = 480
	// shownHashDigits is the number of digits of a hash that are shown where rules
	// are compared.
	shownHashDigits = 8
)

// MinOrganisationRate and MaxOrganisationRate bound RequestsPerSecond of an
// organisation that has a quota. MaxBurst bounds its Burst.
const (
	MinOrganisationRate = 0.001
	MaxOrganisationRate = maxRequestsPerSecond
	MaxBurst            = 1_000_000_000
)

// APIKeyHash is the SHA-256 hash of an API key. Rules and routing tables hold
// hashes, so that a key is not readable where rules are stored, sent or shown.
type APIKeyHash [sha256.Size]byte

// String returns the hash as it is written in a rules file.
func (h APIKeyHash) String() string { return hex.EncodeToString(h[:]) }

// HashAPIKey returns the hash under which the rules list an API key.
func HashAPIKey(key string) APIKeyHash { return sha256.Sum256([]byte(key)) }

// Organisation is a customer whose callers identify themselves by an API key. If
// a set has organisations, each request to a route that is not public must have
// the key of one of them.
type Organisation struct {
	Name string
	// APIKeys has the hashes of the keys, sorted. A key belongs to one organisation. An
	// organisation without keys is one whose callers are all refused.
	APIKeys []APIKeyHash
	// HasPriority is true if Priority takes precedence over the priority of the
	// route. Priority is then between 0, which is shed first, and 9.
	HasPriority bool
	Priority    int
	// RequestsPerSecond and Burst are the quota: the tokens that are added to the
	// organisation's bucket each second, and the size of the bucket, for all nodes
	// together. A RequestsPerSecond of 0 means no limit.
	RequestsPerSecond float64
	Burst             float64
	Comment           Comment
}

// ValidOrganisationName reports whether a text may be the name of an organisation.
func ValidOrganisationName(text string) bool { return validName(text) }

func (p *parser) organisation(c *cursor) {
	name, ok := c.name("an organisation")
	if !ok {
		return
	}
	o := Organisation{Name: name.text, Comment: c.comment}
	c.settings(
		setting{"keys", func(w word) { o.APIKeys = c.apiKeys(w, name.text) }},
		setting{"priority", func(w word) { o.HasPriority, o.Priority = true, int(c.integer(w, 0, maxPriority)) }},
		setting{"requestsPerSecond", func(w word) {
			o.RequestsPerSecond = c.decimal(w, MinOrganisationRate, MaxOrganisationRate)
		}},
		setting{"burst", func(w word) { o.Burst = c.decimal(w, 0, MaxBurst) }},
	)
	if o.Burst > 0 && o.RequestsPerSecond == 0 {
		c.errorf(name.column, "organisation %s has a burst and no rate; expected requestsPerSecond=, or no burst=", name.text)
	}
	p.declare("organisation "+name.text, c.line, name.column)
	p.set.Organisations = append(p.set.Organisations, o)
}

// apiKeys parses the hashes of the API keys of an organisation. No error shows the
// text of a hash, because it may be a key that was written there by mistake.
func (c *cursor) apiKeys(w word, organisation string) []APIKeyHash {
	hashes := make([]APIKeyHash, 0, strings.Count(w.text, ",")+1)
	column := w.column
	for text := range strings.SplitSeq(w.text, ",") {
		var hash APIKeyHash
		n, err := hex.Decode(hash[:], []byte(text[:min(len(text), hex.EncodedLen(len(hash)))]))
		switch holder, held := c.keyHolders[hash]; {
		case err != nil || n != len(hash) || len(text) != hex.EncodedLen(n) || text != strings.ToLower(text):
			c.errorf(column, "found a word of %d characters that is no hash; expected the SHA-256 hash of an API key, %d digits of 0-9 and a-f, as jujubeknotctl hash-key prints it",
				utf8.RuneCountInString(text), hex.EncodedLen(len(hash)))
		case held:
			c.errorf(column, "this API key belongs to organisation %s; expected each key once", holder)
		default:
			c.keyHolders[hash] = organisation
			hashes = append(hashes, hash)
		}
		column += utf8.RuneCountInString(text) + 1
	}
	if len(hashes) > maxAPIKeys {
		c.errorf(w.column, "organisation %s has %d API keys; expected at most %d", organisation, len(hashes), maxAPIKeys)
	}
	slices.SortFunc(hashes, func(a, b APIKeyHash) int { return bytes.Compare(a[:], b[:]) })
	return hashes
}

func organisationWords(o Organisation) []string {
	words := []string{"organisation", o.Name}
	if len(o.APIKeys) > 0 {
		hashes := make([]string, 0, len(o.APIKeys))
		for _, h := range o.APIKeys {
			hashes = append(hashes, h.String())
		}
		words = append(words, "keys="+strings.Join(hashes, ","))
	}
	if o.HasPriority {
		words = append(words, "priority="+strconv.Itoa(o.Priority))
	}
	if o.RequestsPerSecond > 0 {
		words = append(words, "requestsPerSecond="+formatNumber(o.RequestsPerSecond))
	}
	if o.Burst > 0 {
		words = append(words, "burst="+formatNumber(o.Burst))
	}
	return words
}

// shortenHashes returns the text of a rule with the hashes of API keys cut to their
// first digits.
func shortenHashes(text string) string {
	if !strings.HasPrefix(text, "organisation ") {
		return text
	}
	words := strings.Split(text, " ")
	for i, w := range words {
		list, found := strings.CutPrefix(w, "keys=")
		if !found {
			continue
		}
		hashes := strings.Split(list, ",")
		for j, h := range hashes {
			hashes[j] = h[:min(len(h), shownHashDigits)]
		}
		words[i] = "keys=" + strings.Join(hashes, ",")
	}
	return strings.Join(words, " ")
}
