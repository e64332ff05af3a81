package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Parse parses and validates the text of a rules file. If the text has errors,
// Parse returns them, as Errors describes, and an empty set. The result depends
// only on the text. The rules in the set are in the order of the file.
func Parse(text string) (Set, Errors) {
	p := parser{
		upstreamIndexes: map[string]int{},
		firstLines:      map[string]int{},
		keyHolders:      map[APIKeyHash]string{},
	}
	all := p.scan(text)
	// Upstreams are parsed first, because rules above an upstream in the file
	// may refer to it.
	for _, s := range all {
		if s.words[0].text == "upstream" {
			p.upstream(&cursor{parser: &p, statement: s, next: 1})
		}
	}
	for _, s := range all {
		p.parseStatement(s)
	}
	if len(p.errors) > 0 {
		return Set{}, p.sortedErrors()
	}
	return p.set, nil
}

// parser holds the rules and errors found so far in one file.
type parser struct {
	set    Set
	errors Errors
	// upstreamIndexes maps the name of an upstream to its index in
	// set.Upstreams. Upstreams with an error are included, so that the error is
	// not reported again by each rule that names them. The index is -1 if the
	// upstream's rule could not be parsed.
	upstreamIndexes map[string]int
	// firstLines maps the identity of a rule to the line of the first rule with
	// that identity.
	firstLines map[string]int
	// keyHolders maps the hash of an API key to its organisation.
	keyHolders map[APIKeyHash]string
}

func (p *parser) errorf(line, column int, format string, values ...any) {
	p.errors = append(p.errors, Error{line, column, fmt.Sprintf(format, values...)})
}

// sortedErrors returns the errors in the order of the file. If there are more
// than MaxErrors, it returns the first MaxErrors and one error with the number
// of those left out.
func (p *parser) sortedErrors() Errors {
	slices.SortStableFunc(p.errors, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if more := len(p.errors) - MaxErrors; more > 0 {
		rest := Error{Message: fmt.Sprintf("%d more errors are not shown", more)}
		return append(p.errors[:MaxErrors:MaxErrors], rest)
	}
	return p.errors
}

// declare reports whether a rule is the first with its identity. A second rule
// with the same identity is an error, because it contradicts or repeats the
// first.
func (p *parser) declare(identity string, line, column int) bool {
	if earlier, ok := p.firstLines[identity]; ok {
		p.errorf(line, column, "duplicate rule for %s; expected only the one on line %d", identity, earlier)
		return false
	}
	p.firstLines[identity] = line
	return true
}

func (p *parser) parseStatement(s statement) {
	c := &cursor{parser: p, statement: s, next: 1}
	switch s.words[0].text {
	case "upstream":
		// Parse has already parsed the upstreams.
	case "route":
		p.route(c)
	case "zone":
		p.zone(c)
	case "server":
		p.server(c)
	case "limit":
		p.limit(c)
	case "retry":
		p.retry(c)
	case "hedge":
		p.hedge(c)
	case "cold":
		p.cold(c)
	case "pin":
		p.pin(c)
	case "option":
		p.option(c)
	case "organisation":
		p.organisation(c)
	default:
		c.errorf(s.words[0].column, "unknown rule %q; expected upstream, route, zone, server, limit, retry, hedge, cold, pin, option or organisation",
			s.words[0].text)
	}
}

// cursor reads the words of one statement in order. next is the index of the
// next word.
type cursor struct {
	*parser
	statement
	next int
}

func (c *cursor) errorf(column int, format string, values ...any) {
	c.parser.errorf(c.line, column, format, values...)
}

// word returns the next word. It reports an error if there is none.
func (c *cursor) word(expected string) (word, bool) {
	if c.next >= len(c.words) {
		c.errorf(c.end, "the rule ends here; expected %s", expected)
		return word{}, false
	}
	c.next++
	return c.words[c.next-1], true
}

// oneOf returns the next word, which must be a or b.
func (c *cursor) oneOf(a, b string) (string, bool) {
	w, ok := c.word(a + " or " + b)
	if ok && w.text != a && w.text != b {
		c.errorf(w.column, "found %q; expected %s or %s", w.text, a, b)
		return "", false
	}
	return w.text, ok
}

// expect skips the next word, which must be text.
func (c *cursor) expect(text string) bool {
	w, ok := c.word(text)
	if ok && w.text != text {
		c.errorf(w.column, "found %q; expected %s", w.text, text)
		return false
	}
	return ok
}

// flag removes the first of the remaining words that is text, and reports whether
// there was one.
func (c *cursor) flag(text string) bool {
	i := slices.IndexFunc(c.words[c.next:], func(w word) bool { return w.text == text })
	if i < 0 {
		return false
	}
	c.words = slices.Delete(slices.Clone(c.words), c.next+i, c.next+i+1)
	return true
}

// name returns the next word, which must be a valid name. what describes the
// named object in errors.
func (c *cursor) name(what string) (word, bool) {
	w, ok := c.word("the name of " + what)
	if ok && !validName(w.text) {
		c.errorf(w.column, "found %q; expected the name of %s: %s", w.text, what, nameSyntax)
		return w, false
	}
	return w, ok
}

// upstreamReference returns the next word and the upstream that it names. The
// upstream is nil if its own rule could not be parsed.
func (c *cursor) upstreamReference() (word, *Upstream, bool) {
	w, ok := c.name("an upstream")
	if !ok {
		return w, nil, false
	}
	u, ok := c.lookupUpstream(w)
	return w, u, ok
}

// lookupUpstream returns the upstream that a word names, or nil if the
// upstream's own rule could not be parsed.
func (c *cursor) lookupUpstream(w word) (*Upstream, bool) {
	if !validName(w.text) {
		c.errorf(w.column, "found %q; expected the name of an upstream: %s", w.text, nameSyntax)
		return nil, false
	}
	index, ok := c.upstreamIndexes[w.text]
	if !ok {
		c.errorf(w.column, "unknown upstream %q; expected one that an upstream rule names", w.text)
		return nil, false
	}
	if index < 0 {
		return nil, true
	}
	return &c.set.Upstreams[index], true
}

// setting is a NAME=VALUE that a rule may have.
type setting struct {
	name  string
	parse func(word)
}

// settings parses the remaining words of the rule as settings and returns their
// number. Each setting may occur once.
func (c *cursor) settings(allowed ...setting) int {
	expected := func() string {
		var names []string
		for _, a := range allowed {
			names = append(names, a.name+"=")
		}
		return cmp.Or(strings.Join(names, ", "), "the comment")
	}
	var seen []string
	for ; c.next < len(c.words); c.next++ {
		w := c.words[c.next]
		name, value, found := w.split()
		i := slices.IndexFunc(allowed, func(s setting) bool { return s.name == name })
		switch {
		case !found || i < 0:
			c.errorf(w.column, "found %q; expected %s", w.text, expected())
		case slices.Contains(seen, name):
			c.errorf(w.column, "%s= occurs a second time; expected it once per rule", name)
		case value.text == "":
			c.errorf(value.column, "%s has no value; expected one after =", name)
		default:
			allowed[i].parse(value)
		}
		seen = append(seen, name)
	}
	return len(seen)
}
