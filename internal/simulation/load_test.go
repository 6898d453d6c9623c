package simulation

import (
	"time"

	"lilacrill/wire"
)

// submitMixedJobs schedules the submission of arrays, gangs and services, one job every half
// second. Services and, if cancelEvery is positive, every cancelEvery-th job are cancelled 3 to
// 11 s later.
func submitMixedJobs(cluster *Cluster, jobs int, cancelEvery int) {
	for n := range jobs {
		spec, run := testJob(n, n%8)
		at := 2*time.Second + time.Duration(n)*time.Second/2
		cluster.At(at, func() { cluster.Submit(spec, run) })
		if cancelEvery > 0 && n%cancelEvery == 0 || spec.Shape == wire.ShapeService {
			cluster.At(at+time.Duration(3+n%9)*time.Second, func() { cluster.CancelJob(spec.ID) })
		}
	}
}

// submitSmallJobs schedules the submission of jobs of one task, four per second. A quarter of them
// are cancelled.
func submitSmallJobs(cluster *Cluster, jobs int) {
	for n := range jobs {
		spec, _ := testJob(n, 0)
		spec.Tasks = 1
		at := 2*time.Second + time.Duration(n)*time.Second/4
		cluster.At(at, func() { cluster.Submit(spec, time.Duration(1+n%3)*time.Second) })
		if n%4 == 0 {
			cluster.At(at+time.Duration(n%5)*time.Second/2, func() { cluster.CancelJob(spec.ID) })
		}
	}
}

// submitLongJobs schedules the submission of jobs with long tasks that use most or all of the
// quota limits of their teams. Every other job is cancelled from the given time on, 100 ms apart.
func submitLongJobs(cluster *Cluster, jobs int, cancelAt time.Duration) {
	for n := range jobs {
		spec, _ := testJob(n, 0)
		spec.Tasks = 3
		cluster.At(2*time.Second, func() { cluster.Submit(spec, 60*time.Second) })
		if n%2 == 0 {
			cluster.At(cancelAt+time.Duration(n)*50*time.Millisecond, func() { cluster.CancelJob(spec.ID) })
		}
	}
}

// submitBusyLoad schedules the submission of arrays, gangs and services over about a minute. Some
// of them are cancelled.
func submitBusyLoad(cluster *Cluster) {
	submitMixedJobs(cluster, 120, 7)
	for n := range 4 {
		spec, _ := testJob(1000+n, 0)
		spec.Tasks = 24
		cluster.At(time.Duration(3+10*n)*time.Second, func() { cluster.Submit(spec, 25*time.Second) })
	}
}
