package standin

import (
	"context"
	"fmt"
	"os"
	"time"
)

const startLimit = 20 * time.Second

// World is a deployment with its stand-ins.
type World struct {
	Record *Record
	Board  *Board
	Store  *Store
	Cloud  *Cloud
	Nodes  *Nodes
	Users  *Users

	ctx    context.Context
	stop   context.CancelFunc
	folder string
}

// ParakhKinds returns the machine types of Parakh.
func ParakhKinds() []Kind {
	yards := Parakh().Yards
	return []Kind{
		{SKU: "chaukidar-4", Cores: 4, MemGB: 32, LocalGB: 40, PullGBPerS: 0.5, Rate: 0.21, MarketPrice: 0.08, StartupS: 50, Yards: yards},
		{SKU: "patwari-8", Cores: 8, MemGB: 32, LocalGB: 60, PullGBPerS: 0.2, Rate: 0.36, MarketPrice: 0.12, StartupS: 30, Yards: yards},
	}
}

// NewWorld starts the stand-ins of a deployment, without machines, and writes the settings files of its
// controllers. caseFolder gets the record.
func NewWorld(caseFolder string, deployment Deployment, kinds []Kind) (*World, error) {
	record, err := NewRecord(caseFolder)
	if err != nil {
		return nil, err
	}
	w := &World{Record: record, Board: NewBoard(record)}
	w.ctx, w.stop = context.WithCancel(context.Background())
	if w.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	w.Store = NewStore(record, deployment.State, w.ctx.Done())
	state, err := Serve(w.ctx, w.Store)
	if err != nil {
		return nil, err
	}
	timing := WorkerTiming{Report: seconds(deployment.ReportS), Lease: seconds(deployment.LeaseS)}
	w.Cloud = NewCloud(w.ctx, w.Board, record, nil, timing, kinds, deployment.CloudRPS)
	cloud, err := Serve(w.ctx, w.Cloud)
	if err != nil {
		return nil, err
	}
	w.Cloud.Lag = func() time.Duration { return seconds(deployment.ListLagS) }
	fixed := func(addr string) func(int) string { return func(int) string { return addr } }
	if w.Nodes, err = NewNodes(record, w.folder, deployment, fixed(cloud), fixed(state)); err != nil {
		return nil, err
	}
	w.Cloud.nodes = w.Nodes.List
	w.Users = NewUsers(record, w.Board, w.Nodes.List)
	return w, nil
}

// Start starts all controllers and waits until they are up.
func (w *World) Start() error { return w.Nodes.StartAll(startLimit) }

// Close ends everything that the case started.
func (w *World) Close() {
	w.Nodes.KillAll()
	w.stop()
	w.Record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept", w.folder)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Link starts a link to a target.
func (w *World) Link(target string) (*Link, error) { return NewLink(w.ctx, target) }
