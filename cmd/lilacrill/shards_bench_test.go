package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/admin"
	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/wire"
)

// BenchmarkShardsSmall measures a load without sharding, with sharding, and with shards that move
// continuously. Then it measures the time of single moves and of a failover. The controllers'
// profiles stay in the directory that LILACRILL_LOAD_OUT names. Run it with -benchtime=1x.
func BenchmarkShardsSmall(b *testing.B) { benchmarkSharding(b, smallLoad) }

// BenchmarkShardsLarge runs the measurements of BenchmarkShardsSmall on a larger cluster.
func BenchmarkShardsLarge(b *testing.B) { benchmarkSharding(b, largeLoad) }

func benchmarkSharding(b *testing.B, size loadSize) {
	for b.Loop() {
		off := startUpgradedCluster(b, size, build{}, 1)
		off.awaitServices()
		off.runMeasuredPhase("shares off")
		off.stop()
		for i := range off.processes {
			off.kill(i)
		}

		on := startShuffledCluster(b, size, 1)
		on.awaitServices()
		on.runMeasuredPhase("shares on")
		stop := make(chan struct{})
		on.users.Go(func() { on.moveRandomShards(stop, 0, 1) })
		on.runMeasuredPhase("moving")
		close(stop)
		on.awaitStableShards()
		on.measureMoves()
		on.measureFailover()
		on.stop()
	}
}

// awaitServices waits until all services are accepted and have had time to start.
func (u *upgradedCluster) awaitServices() {
	require.Eventually(u.tb, func() bool { return u.submissionsAccepted.Load() >= int64(u.size.services) }, 3*testTimeout, 100*time.Millisecond)
	time.Sleep(settleTime)
}

// runMeasuredPhase runs an ordinary load and prints its resource usage, latencies and metrics.
func (u *upgradedCluster) runMeasuredPhase(name string) {
	u.startNextPhase()
	before := u.metricCounts()
	from := time.Now()
	u.takeUserLatency(from)
	u.runPhase(name, func() { u.submitArrays(phaseTime) })
	seconds := time.Since(from).Seconds()
	u.takeUserLatency(from).print(name)
	after := u.metricCounts()
	for _, count := range []string{"commits", "values_written", "commit_conflicts", "lines_told", "planning_passes", "tasks_placed", "jobs_handed_on"} {
		fmt.Printf("%-12s %-18s %8.2f a second\n", name, count, float64(after[count]-before[count])/seconds)
	}
}

// metricCounts returns the sum of each counter over all controllers.
func (l *loadCluster) metricCounts() map[string]uint64 {
	sum := map[string]uint64{}
	for _, addr := range l.addrs {
		var m wire.AdminMetrics
		require.Eventually(l.tb, func() bool {
			answer, err := admin.NewClient(addr, loadToken).View(wire.ViewMetrics)
			return err == nil && json.Unmarshal(answer, &m) == nil
		}, testTimeout, 50*time.Millisecond)
		for name, n := range m.Counts {
			sum[name] += n
		}
	}
	return sum
}

// shardRecords returns the record of each shard in the state store.
func (l *loadCluster) shardRecords() map[wire.ShardID]record.Shard {
	records := map[wire.ShardID]record.Shard{}
	for id := range wire.ShardID(shard.Count) {
		for _, e := range l.state.Entries(record.ShardKey(id)) {
			var s record.Shard
			if e.Key == record.ShardKey(id) && json.Unmarshal(e.Value, &s) == nil {
				records[id] = s
			}
		}
	}
	return records
}

// measureMoves measures the time of single moves, from the operator's request to the adoption.
func (s *shuffledCluster) measureMoves() {
	var took []time.Duration
	for n := range 20 {
		id := wire.ShardID(n)
		before := s.shardRecords()[id]
		to := 0
		for fmt.Sprint("node-", to) == before.Owner.Label {
			to++
		}
		from := time.Now()
		_, err := admin.NewClient(s.addrs[0], loadToken).ChangeShards(wire.AdminShardChange{Move: &id, Epoch: before.Epoch, To: fmt.Sprint("node-", to)})
		if err != nil {
			continue // the shard is already being moved to balance the owners
		}
		for s.shardRecords()[id].Epoch == before.Epoch && time.Since(from) < testTimeout {
			time.Sleep(time.Millisecond)
		}
		took = append(took, time.Since(from))
	}
	slices.Sort(took)
	fmt.Printf("a move takes %v in the middle of %d, %v at most\n", took[len(took)/2].Round(time.Millisecond), len(took), took[len(took)-1].Round(time.Millisecond))
}

// measureFailover kills a controller and measures the time until other controllers own all its
// shards.
func (s *shuffledCluster) measureFailover() {
	const killed = 1
	before := 0
	for _, o := range s.shardRecords() {
		if o.Owner.Label == fmt.Sprint("node-", killed) {
			before++
		}
	}
	s.kill(killed)
	from := time.Now()
	for left := before; left > 0 && time.Since(from) < testTimeout; time.Sleep(time.Millisecond) {
		left = 0
		for _, o := range s.shardRecords() {
			if o.Owner.Label == fmt.Sprint("node-", killed) {
				left++
			}
		}
	}
	fmt.Printf("%d shares taken over %v after their owner was killed, of which its lease is up to 5s\n", before, time.Since(from).Round(time.Millisecond))
	s.start(killed)
}
