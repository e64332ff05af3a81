package rules_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/jujubeknot/jujubeknot/core/rules"
)

// manyRules returns a rules file of the given number of rules in the
// proportions of the samples: for each upstream 7 routes, a limit and a pin.
func manyRules(count int) string {
	var b strings.Builder
	for i := range count {
		u := i / 10
		switch i % 10 {
		case 0:
			fmt.Fprintf(&b, "upstream u%d keyed partitions=1024 slots=6 connections=110  # Lina (platform): launch\n", u)
		case 1:
			fmt.Fprintf(&b, "limit u%d keyShare=40%% body=1MiB  # Lina (platform): one centre took every slot\n", u)
		case 2:
			fmt.Fprintf(&b, "pin u%d key=centre-%d to app-%d  # Omar (coordinators): a kiosk\n", u, i, u)
		default:
			fmt.Fprintf(&b, "route /u%d/r%d to u%d key=segment:3 timeout=20s priority=8  # Omar: a submission counts\n", u, i, u)
		}
	}
	return b.String()
}

// BenchmarkParse measures the parse and check of a whole file, which control
// members and each node do for each change.
func BenchmarkParse(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 10000} {
		text := manyRules(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, faults := rules.Parse(text); faults != nil {
					b.Fatal(faults)
				}
			}
			b.ReportMetric(float64(len(text)), "text-bytes")
			b.ReportMetric(float64(retained(text)), "set-bytes")
		})
	}
}

// retained returns the bytes that a parsed file keeps in use, without those of
// its text, which the set refers to.
func retained(text string) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	set, _ := rules.Parse(text)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(set)
	return max(after.HeapAlloc, before.HeapAlloc) - before.HeapAlloc
}

// BenchmarkCompare measures the comparison of two files that differ in one
// rule.
func BenchmarkCompare(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 10000} {
		text := manyRules(count)
		before, _ := rules.Parse(text)
		after, faults := rules.Parse(text + "zone amman-1 out  # Nadia: switch\n")
		if faults != nil {
			b.Fatal(faults)
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if len(rules.Compare(before, after)) != 1 {
					b.Fatal("not one change")
				}
			}
		})
	}
}
