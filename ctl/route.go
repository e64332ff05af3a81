package ctl

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/ctl/internal/screen"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// maxShownServers limits the servers that are listed for an upstream without keys.
const maxShownServers = 12

type routeCommand struct {
	Host         string   `long:"host" value-name:"HOST" description:"host of the request"`
	Method       string   `long:"method" value-name:"METHOD" default:"GET" description:"method of the request"`
	Header       []string `long:"header" value-name:"NAME:VALUE" description:"header field of the request; may be repeated"`
	Organisation string   `long:"organisation" value-name:"NAME" description:"organisation that the request has the API key of"`
	Zone         string   `long:"zone" value-name:"ZONE" description:"availability zone where the request enters"`
	Bytes        bool     `long:"bytes" description:"compare the path byte by byte, as on platforms that do"`
	Args         struct {
		Path string `positional-arg-name:"PATH" required:"1" description:"path of the request, with its query"`
	} `positional-args:"yes" required:"yes"`
}

// run shows where a request would go now. Nothing is sent to a node or a backend server.
func (c *routeCommand) run(ctx context.Context, s *session) error {
	query, err := c.query()
	if err != nil {
		return err
	}
	if err := s.connect(); err != nil {
		return err
	}
	revision, set, err := s.currentRules(ctx)
	if err != nil {
		return err
	}
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	update := &wirev1.Update{Index: status.GetIndex(), Rules: &wirev1.RulesRevision{Revision: max(revision.GetRevision(), 1), Text: revision.GetText()}}
	for _, n := range status.GetNodes() {
		update.Nodes = append(update.Nodes, n.GetNode())
	}
	table, err := routing.New().With(update)
	if err != nil {
		return fmt.Errorf("rules in force: %w", err)
	}
	e := &routeExplanation{command: c, table: table, set: set, status: status}
	d := table.Decide(query)
	if d.Key != "" && d.Reason != outcome.ReasonBadRequest {
		if e.key, err = s.client.Explain(ctx, d.Upstream.Name, d.Key); err != nil {
			return err
		}
	}
	e.explain(d)
	s.PrintTable(e.rows)
	return nil
}

// query returns the request as routing sees it.
func (c *routeCommand) query() (routing.Request, error) {
	path, query, _ := strings.Cut(c.Args.Path, "?")
	q := routing.Request{Path: path, Query: query, Host: c.Host, Header: http.Header{}}
	if c.Bytes {
		q.Paths = routing.MatchBytes
	}
	for _, field := range c.Header {
		name, value, found := strings.Cut(field, ":")
		if !found || strings.TrimSpace(name) == "" {
			return q, newExitError(ExitUsage, fmt.Sprintf("--header %q: expected NAME:VALUE", field))
		}
		http.Header(q.Header).Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return q, nil
}

// routeExplanation collects the steps by which nodes would decide about a request, each
// with its reason.
type routeExplanation struct {
	command *routeCommand
	table   *routing.Table
	set     rules.Set
	status  *wirev1.StatusResponse
	// key is what control knows of the key, nil if there is none.
	key  *wirev1.ExplainResponse
	rows [][]string
}

func (e *routeExplanation) add(step, format string, values ...any) {
	e.rows = append(e.rows, []string{step, screen.Sanitize(fmt.Sprintf(format, values...))})
}

func (e *routeExplanation) refuse(reason outcome.Reason, status int, why string) {
	e.add("result", "refused with %d %s: %s", status, reason, why)
}

// explain adds the steps in the order in which the entry node and the owner's node take
// them. It ends at the first that would refuse the request.
func (e *routeExplanation) explain(d routing.Decision) {
	e.add("request", "%s %s, host %s", e.command.Method, e.command.Args.Path, choose(e.command.Host == "", "any", e.command.Host))
	switch {
	case d.Reason == outcome.ReasonBadRequest && d.Route == nil:
		e.refuse(d.Reason, http.StatusBadRequest, "the path has dot segments or invalid escapes")
		return
	case d.Route == nil:
		e.refuse(outcome.ReasonNoRoute, http.StatusNotFound, "no route has this host and a prefix of this path")
		return
	}
	e.add("route", "%s  %s", ruleText(e.set, "route "+strings.TrimSpace(d.Route.Prefix+" "+d.Route.Host)), d.Route.Comment)
	priority, ok := e.organisation(d.Route)
	if !ok {
		return
	}
	e.runs(d, priority)
	switch {
	case d.Upstream == nil:
		e.refuse(outcome.ReasonNoRoute, http.StatusNotFound, "the route has no upstream")
	case d.Reason == outcome.ReasonNoKey:
		e.refuse(d.Reason, http.StatusBadRequest, "the request has no key where the route expects it")
	case d.Reason == outcome.ReasonBadRequest:
		e.refuse(d.Reason, http.StatusBadRequest, "the key is not valid")
	case priority < d.Upstream.MinPriority:
		e.refuse(outcome.ReasonRateLimit, http.StatusTooManyRequests, fmt.Sprintf("the rule limit sheds priorities below %d", d.Upstream.MinPriority))
	case d.Upstream.Keyed:
		e.owner(d)
	default:
		e.candidates(d)
	}
}

// organisation adds whose request it is, and returns its priority. It reports false if
// the request would be refused.
func (e *routeExplanation) organisation(r *rules.Route) (priority int, ok bool) {
	if !e.table.HasOrganisations() {
		return r.Priority, true
	}
	o := e.table.Organisation(e.command.Organisation)
	switch {
	case o == nil && e.command.Organisation != "":
		e.refuse(outcome.ReasonUnknownAPIKey, http.StatusUnauthorized, "no rule names organisation "+e.command.Organisation)
		return 0, false
	case o == nil && r.Public:
		e.add("organisation", "none needed: the route is public")
		return r.Priority, true
	case o == nil:
		e.refuse(outcome.ReasonUnknownAPIKey, http.StatusUnauthorized, "the route needs the API key of an organisation (--organisation)")
		return 0, false
	case len(o.APIKeys) == 0:
		e.refuse(outcome.ReasonUnknownAPIKey, http.StatusUnauthorized, "organisation "+o.Name+" has no API keys")
		return 0, false
	}
	quota := "no quota"
	if o.RequestsPerSecond > 0 {
		quota = fmt.Sprintf("quota %s/s and %s at once over all nodes", decimal(o.RequestsPerSecond), decimal(o.Burst))
	}
	e.add("organisation", "%s, %s", o.Name, quota)
	if o.HasPriority {
		return o.Priority, true
	}
	return r.Priority, true
}

// runs adds how the request would be run.
func (e *routeExplanation) runs(d routing.Decision, priority int) {
	idempotent := d.Route.Repeat == rules.RepeatAlways ||
		d.Route.Repeat == rules.RepeatByMethod && (slices.Contains(d.Route.Idempotent, e.command.Method) || idempotentMethod(e.command.Method))
	target := ""
	if d.Route.TargetLatency > 0 {
		target = fmt.Sprintf(", wanted within %s", d.Route.TargetLatency)
	}
	e.add("runs", "%s, for at most %s%s, priority %d", choose(idempotent, "more than once if need be", "at most once"), d.Route.Timeout, target, priority)
	if len(d.Route.WeightedUpstreams) > 1 {
		var parts []string
		for _, w := range d.Route.WeightedUpstreams {
			parts = append(parts, fmt.Sprintf("%s %d", w.Upstream, w.Weight))
		}
		e.add("upstreams", "by weight: %s; shown for the first", strings.Join(parts, ", "))
	}
}

// idempotentMethod reports whether a method may be repeated without a rule.
func idempotentMethod(method string) bool {
	return slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}, method)
}

// owner adds the owner of the key and what it would do.
func (e *routeExplanation) owner(d routing.Decision) {
	assignment, owner := e.key.GetAssignment(), e.key.GetOwner()
	e.add("key", "%s, partition %d of %d of upstream %s", d.Key, assignment.GetPartition(), d.Upstream.Partitions, d.Upstream.Name)
	if text := e.key.GetWaitingFor(); text != "" {
		e.add("waiting for", "%s", text)
	}
	n := e.node(owner.GetIncarnation())
	if n == nil {
		e.add("result", "held for up to %s for an owner, then refused with 503 %s", e.table.Limits().HoldTimeout, outcome.ReasonNoOwner)
		return
	}
	e.add("owner", "%s in %s since %s, %s", serverName(owner), owner.GetAvailabilityZone(), formatSinceTime(assignment), formatReason(assignment))
	e.add("room", "%s", e.room(n))
	e.add("result", "sent to %s: %s", serverName(owner), e.expect(n))
}

// candidates adds the servers among which the entry node would choose.
func (e *routeExplanation) candidates(d routing.Decision) {
	e.add("upstream", "%s, without keys", d.Upstream.Name)
	var serving []*wirev1.NodeStatus
	for _, candidate := range d.Candidates {
		if n := e.node(candidate.Incarnation); n != nil {
			serving = append(serving, n)
		}
	}
	own := func(n *wirev1.NodeStatus) bool { return n.GetNode().GetAvailabilityZone() == e.command.Zone }
	slices.SortStableFunc(serving, func(a, b *wirev1.NodeStatus) int { return boolToInt(own(b)) - boolToInt(own(a)) })
	for i, n := range serving {
		if i == maxShownServers {
			e.add("", "and %d more", len(serving)-i)
			break
		}
		e.add("server", "%s in %s, %s", serverName(n.GetNode()), n.GetNode().GetAvailabilityZone(), e.room(n))
	}
	switch {
	case len(serving) == 0:
		e.add("result", "held for up to %s for a server, then refused with 503 %s", e.table.Limits().HoldTimeout, outcome.ReasonNoServer)
	case e.command.Zone != "" && own(serving[0]):
		e.add("result", "sent to the server that is expected to answer first, to one in %s while it is in time", e.command.Zone)
	default:
		e.add("result", "sent to the server that is expected to answer first")
	}
}

// node returns the status of an incarnation, nil if it is not registered.
func (e *routeExplanation) node(incarnation uint64) *wirev1.NodeStatus {
	i := slices.IndexFunc(e.status.GetNodes(), func(n *wirev1.NodeStatus) bool { return n.GetNode().GetIncarnation() == incarnation })
	if i < 0 || incarnation == 0 {
		return nil
	}
	return e.status.GetNodes()[i]
}

// room returns what control knows of the room of a server, with its age.
func (e *routeExplanation) room(n *wirev1.NodeStatus) string {
	state := ownerState(n.GetNode(), e.set)
	if e.set.ZoneOut(n.GetNode().GetAvailabilityZone()) {
		state = "zone out"
	}
	return fmt.Sprintf("%s, %d of %d slots in use, %s requests/s, %d ms ago", state, n.GetInFlight(), n.GetNode().GetBackendServer().GetSlots(),
		formatRate(float64(n.GetRequestsPerSecond())), n.GetRenewAgeMs())
}

// expect returns what admission control is expected to do by what control knows.
func (e *routeExplanation) expect(n *wirev1.NodeStatus) string {
	slots := n.GetNode().GetBackendServer().GetSlots()
	switch {
	case n.GetLeaseLeftMs() == 0:
		return "held or refused, its lease is over"
	case e.table.Leaving(n.GetNode()):
		return "held while the key moves to another server"
	case n.GetNode().GetCold():
		return "starts as far as the cold start allows, else refused with 503 " + string(outcome.ReasonCold)
	case n.GetInFlight() >= slots && slots > 0:
		return "waits for a slot if it can be answered in time, else refused with 503 " + string(outcome.ReasonQueueFull)
	}
	return "starts at once"
}

// ruleText returns a rule of a set in its canonical form, without its comment.
func ruleText(set rules.Set, identity string) string {
	for _, change := range rules.Compare(rules.Set{}, set) {
		if change.Rule == identity {
			return change.New
		}
	}
	return identity
}

func decimal(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }

func boolToInt(v bool) int {
	if v {
		return 1
	}
	return 0
}
