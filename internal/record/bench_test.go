package record

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/wire"
)

// makePage returns a placement page like those in production: jobs on several machines, with ids in
// order of creation, attempts and tasks.
func makePage(jobs, machines int) PlacementPage {
	var page PlacementPage
	for j := range jobs {
		group := AllocationGroup{AllocationHeader: AllocationHeader{Job: wire.JobID(fmt.Sprintf("wk-%06d", 4711+j*37)), Attempt: wire.Attempt(41<<24 + j*3), Launcher: 41,
			Cores: 4, MemGB: 13, Priority: 2, Shape: wire.ShapeArray}}
		for m := range machines {
			group.Machines = append(group.Machines, wire.MachineID(fmt.Sprintf("m-%06d", (j*131+m*17)%4200)))
			group.AgentEpochs = append(group.AgentEpochs, 1)
			group.Tasks = append(group.Tasks, Span(m*2, m*2+2))
		}
		page.Groups = append(page.Groups, group)
	}
	return page
}

// BenchmarkEncode encodes placement records of growing size in every format and reports their
// encoded size.
func BenchmarkEncode(b *testing.B) {
	for _, jobs := range []int{1, 2, 4, 8, 16, 30} {
		page := makePage(jobs, 6)
		for format := OldestFormat; format <= NewestFormat; format++ {
			b.Run(fmt.Sprintf("jobs=%d/format=%d", jobs, format), func(b *testing.B) {
				var value []byte
				for b.Loop() {
					value = Encode(format, PlacementPrefix, page)
				}
				b.ReportMetric(float64(len(value)), "bytes")
			})
		}
	}
}

// BenchmarkDecode decodes placement records of growing size in every format.
func BenchmarkDecode(b *testing.B) {
	for _, jobs := range []int{1, 8, 30} {
		for format := OldestFormat; format <= NewestFormat; format++ {
			value := Encode(format, PlacementPrefix, makePage(jobs, 6))
			b.Run(fmt.Sprintf("jobs=%d/format=%d", jobs, format), func(b *testing.B) {
				for b.Loop() {
					var page PlacementPage
					require.NoError(b, Decode(value, 1<<16, &page))
				}
			})
		}
	}
}
