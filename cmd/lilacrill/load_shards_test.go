package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/admin"
	"lilacrill/internal/record"
	"lilacrill/internal/shard"
	"lilacrill/internal/simulation"
	"lilacrill/wire"
)

// shardingFeatures writes a features file that enables sharding and the automatic activation of
// formats, and returns its path.
func shardingFeatures(t testing.TB) string {
	return writeFeatures(t, "[rollout]\nactivation = \"automatic\"\nsettle_s = 0.0\n[shares]\nenabled = true\n")
}

// shuffledCluster is a cluster whose shards are moved at random under load.
type shuffledCluster struct {
	*upgradedCluster
	movesAccepted atomic.Int64
	movesRefused  atomic.Int64
}

func startShuffledCluster(t testing.TB, size loadSize, seed uint64) *shuffledCluster {
	s := &shuffledCluster{upgradedCluster: startUpgradedCluster(t, size, build{features: shardingFeatures(t)}, seed)}
	s.awaitStableShards()
	return s
}

// shardsView returns the view of the shards from a controller.
func (l *loadCluster) shardsView(i int) (wire.AdminShards, error) {
	var v wire.AdminShards
	answer, err := admin.NewClient(l.addrs[i], loadToken).View(wire.ViewShards)
	if err == nil {
		err = json.Unmarshal(answer, &v)
	}
	return v, err
}

// awaitStableShards waits until every shard is owned by a live controller and none is being moved.
func (l *loadCluster) awaitStableShards() {
	require.Eventually(l.tb, func() bool {
		v, err := l.shardsView(0)
		if err != nil || len(v.Shards) != shard.Count {
			return false
		}
		for _, s := range v.Shards {
			if !s.Alive || s.To != "" {
				return false
			}
		}
		return true
	}, testTimeout, 100*time.Millisecond)
}

// moveRandomShards moves random shards to random controllers until stop is closed. It sends the
// requests to the controller with the given index.
func (s *shuffledCluster) moveRandomShards(stop <-chan struct{}, index int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(index)))
	for {
		select {
		case <-stop:
			return
		case <-s.ctx.Done():
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		v, err := s.shardsView(index)
		if err != nil || len(v.Shards) == 0 {
			continue
		}
		moved := v.Shards[random.IntN(len(v.Shards))]
		_, err = admin.NewClient(s.addrs[index], loadToken).ChangeShards(wire.AdminShardChange{Move: &moved.Shard, Epoch: moved.Epoch,
			To: fmt.Sprint("node-", random.IntN(s.size.controllers))})
		if err != nil {
			s.movesRefused.Add(1)
		} else {
			s.movesAccepted.Add(1)
		}
	}
}

// injectFault kills a random controller or freezes it, for longer or shorter than its lease, and
// returns a description of the fault.
func (s *shuffledCluster) injectFault() string {
	i := s.rand.IntN(s.size.controllers)
	if s.rand.IntN(2) == 0 {
		s.replace(i, s.builds[i])
		return fmt.Sprint("killed ", i)
	}
	d := time.Second + time.Duration(s.rand.IntN(8))*time.Second
	s.freeze(i, d)
	return fmt.Sprint("froze ", i, " for ", d)
}

// run submits jobs while shards are moved and controllers are killed and frozen, and requires that
// every job ran exactly once.
func (s *shuffledCluster) run(t testing.TB, jobs int, pause time.Duration, faults int) {
	stop := make(chan struct{})
	for i := range s.size.controllers {
		seed := s.rand.Uint64()
		s.users.Go(func() { s.moveRandomShards(stop, i, seed) })
	}
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		for n := range jobs {
			spec := s.newArrayJob(1 + n%5)
			if n%6 == 5 {
				spec.Shape, spec.Tasks = wire.ShapeGang, 2
			}
			s.startUser(spec, time.Duration(500+n%9*400)*time.Millisecond)
			if n%10 == 3 {
				s.startCancel(spec.ID, time.Duration(n%8)*400*time.Millisecond)
			}
			time.Sleep(pause)
		}
	}()
	for range faults {
		t.Log(s.injectFault())
	}
	<-submitted
	close(stop)
	s.awaitStableShards()
	s.finishAndCheck(t)
	require.Empty(t, s.history.CheckExactlyOnce())
	epochs := 0
	for _, e := range s.state.Entries(record.ShardPrefix) {
		var now record.Shard
		require.NoError(t, json.Unmarshal(e.Value, &now))
		epochs += int(now.Epoch)
	}
	fmt.Printf("%d jobs, %d tasks placed, %d started, %d completed; %d moves asked for, %d refused; shares changed hands %d times\n", jobs,
		s.history.Count(simulation.TaskPlaced), s.history.Count(simulation.TaskStarted), s.history.Count(simulation.TaskCompleted),
		s.movesAccepted.Load(), s.movesRefused.Load(), epochs)
	fmt.Printf("%d machines returned\n", s.history.Count(simulation.MachineTerminated))
	require.Greater(t, epochs, 2*shard.Count)
}
