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

// sharingFeatures is a features file of a controller that enables shares, in formats that
// come into force by themselves.
func sharingFeatures(t testing.TB) string {
	return featuresFile(t, "[rollout]\nactivation = \"automatic\"\nsettle_s = 0.0\n[shares]\nenabled = true\n")
}

// shuffled is a cluster whose shares are shuffled under load.
type shuffled struct {
	*upgrade
	moves   atomic.Int64 // that were taken
	refused atomic.Int64
}

func startShuffled(t testing.TB, size loadSize, seed uint64) *shuffled {
	s := &shuffled{upgrade: startUpgrade(t, size, build{features: sharingFeatures(t)}, seed)}
	s.awaitShares()
	return s
}

// shares is what a controller says of the shares.
func (l *load) shares(i int) (wire.AdminShards, error) {
	var v wire.AdminShards
	answer, err := admin.NewClient(l.addrs[i], loadToken).View(wire.ViewShards)
	if err == nil {
		err = json.Unmarshal(answer, &v)
	}
	return v, err
}

// awaitShares waits until every share is at rest with a controller that lives.
func (l *load) awaitShares() {
	require.Eventually(l.b, func() bool {
		v, err := l.shares(0)
		if err != nil || len(v.Shards) != shard.Count {
			return false
		}
		for _, s := range v.Shards {
			if !s.Alive || s.To != "" {
				return false
			}
		}
		return true
	}, patient, 100*time.Millisecond)
}

// shuffle asks a controller to move shares drawn at random to controllers drawn at random
// until stop is closed.
func (s *shuffled) shuffle(stop <-chan struct{}, asked int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(asked)))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		v, err := s.shares(asked)
		if err != nil || len(v.Shards) == 0 {
			continue
		}
		moved := v.Shards[random.IntN(len(v.Shards))]
		_, err = admin.NewClient(s.addrs[asked], loadToken).ChangeShards(wire.AdminShardChange{Move: &moved.Shard, Epoch: moved.Epoch,
			To: fmt.Sprint("node-", random.IntN(s.size.controllers))})
		if err != nil {
			s.refused.Add(1)
		} else {
			s.moves.Add(1)
		}
	}
}

// disturb kills or freezes a controller, for longer or shorter than its lease.
func (s *shuffled) disturb() string {
	i := s.rand.IntN(s.size.controllers)
	if s.rand.IntN(2) == 0 {
		s.replace(i, s.builds[i])
		return fmt.Sprint("killed ", i)
	}
	d := time.Second + time.Duration(s.rand.IntN(8))*time.Second
	s.freeze(i, d)
	return fmt.Sprint("froze ", i, " for ", d)
}

// play submits so many jobs over some time while shares are shuffled and controllers are
// killed and frozen, and wants every job to have run exactly once.
func (s *shuffled) play(t testing.TB, jobs int, pause time.Duration, disturbances int) {
	stop := make(chan struct{})
	for i := range s.size.controllers {
		go s.shuffle(stop, i, s.rand.Uint64())
	}
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		for n := range jobs {
			spec := s.arrayJob(1 + n%5)
			if n%6 == 5 {
				spec.Shape, spec.Tasks = wire.ShapeGang, 2
			}
			go s.submit(spec, time.Duration(500+n%9*400)*time.Millisecond)
			if n%10 == 3 {
				time.AfterFunc(time.Duration(n%8)*400*time.Millisecond, func() { s.cancel(spec.ID) })
			}
			time.Sleep(pause)
		}
	}()
	for range disturbances {
		t.Log(s.disturb())
	}
	<-submitted
	close(stop)
	s.awaitShares()
	s.finish(t)
	require.Empty(t, s.history.CheckOnce())
	epochs := 0
	for _, e := range s.state.Entries(record.ShardPrefix) {
		var now record.Shard
		require.NoError(t, json.Unmarshal(e.Value, &now))
		epochs += int(now.Epoch)
	}
	fmt.Printf("%d jobs, %d tasks placed, %d started, %d completed; %d moves asked for, %d refused; shares changed hands %d times\n", jobs,
		s.history.Count(simulation.TaskPlaced), s.history.Count(simulation.TaskStarted), s.history.Count(simulation.TaskCompleted),
		s.moves.Load(), s.refused.Load(), epochs)
	fmt.Printf("%d machines returned\n", s.history.Count(simulation.MachineTerminated))
	require.Greater(t, epochs, 2*shard.Count)
}
