package ctl

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/jujubeknot/jujubeknot/core/rules"
)

// organisationView shows an organisation without its keys.
type organisationView struct {
	Name string `json:"name"`
	// Keys is the number of API keys.
	Keys int `json:"keys"`
	// Priority is nil if that of the route applies.
	Priority          *int    `json:"priority,omitempty"`
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	Burst             float64 `json:"burst"`
	// Rule is the comment of the rule that names the organisation.
	Rule string `json:"rule"`
}

// organisationViews returns the organisations of a set, sorted by name.
func organisationViews(set rules.Set) []organisationView {
	views := make([]organisationView, 0, len(set.Organisations))
	for _, o := range set.Organisations {
		v := organisationView{Name: o.Name, Keys: len(o.APIKeys), RequestsPerSecond: o.RequestsPerSecond, Burst: o.Burst, Rule: o.Comment.String()}
		if o.HasPriority {
			v.Priority = &o.Priority
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b organisationView) int { return cmp.Compare(a.Name, b.Name) })
	return views
}

func organisationRows(views []organisationView) [][]string {
	rows := [][]string{{"ORGANISATION", "KEYS", "PRIORITY", "QUOTA/S", "BURST", "RULE"}}
	for _, v := range views {
		priority, rate, burst := "of the route", "none", "-"
		if v.Priority != nil {
			priority = strconv.Itoa(*v.Priority)
		}
		if v.RequestsPerSecond > 0 {
			rate, burst = strconv.FormatFloat(v.RequestsPerSecond, 'f', -1, 64), strconv.FormatFloat(v.Burst, 'f', -1, 64)
		}
		rows = append(rows, []string{v.Name, strconv.Itoa(v.Keys), priority, rate, burst, v.Rule})
	}
	return rows
}
