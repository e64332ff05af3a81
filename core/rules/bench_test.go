package rules_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/jujubeknot/jujubeknot/core/rules"
)

// rulesText returns a rules file with count rules. The proportions are those of
// the sample files: for each upstream 7 routes, a limit and a pin.
func rulesText(count int) string {
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

// BenchmarkParse measures how long it takes to parse and validate a whole file.
// Control members and nodes do this for each change of the rules.
func BenchmarkParse(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 10000} {
		text := rulesText(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, errors := rules.Parse(text); errors != nil {
					b.Fatal(errors)
				}
			}
			b.ReportMetric(float64(len(text)), "text-bytes")
			b.ReportMetric(float64(retained(text)), "set-bytes")
		})
	}
}

// retained returns the heap bytes that the set parsed from text keeps in use. The
// set refers to the text, whose bytes are not counted.
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

// BenchmarkCompare measures the comparison of two sets that differ in one rule.
func BenchmarkCompare(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 10000} {
		text := rulesText(count)
		before, _ := rules.Parse(text)
		after, errors := rules.Parse(text + "zone amman-1 out  # Nadia: switch\n")
		if errors != nil {
			b.Fatal(errors)
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if len(rules.Compare(before, after)) != 1 {
					b.Fatal("Compare did not return exactly one change")
				}
			}
		})
	}
}
