package placement

import "cmp"

// score orders candidates. Scores are compared field by field in the order of declaration, and
// a smaller value is better.
type score struct {
	penalty            float64 // Host.Penalty
	wastesAccelerators float64 // 1 if the machine has accelerators and the request needs none
	imagePulls         int     // 0 if the machine has the image, otherwise 1 plus the number of images it is pulling
	onDemand           int     // 1 if the request allows spot machines and the machine is on-demand
	totalCores         float64 // cores of the machine; 0 unless the request has OneAtATime
	freeCores          float64
}

// scoreOf returns the score of a machine for a request. It prefers, in this order:
//   - machines without a penalty (Host.Penalty),
//   - machines without accelerators, if the tasks need none,
//   - machines that have the image, then those that are pulling the fewest images,
//   - spot machines, which are cheaper, if the request allows them,
//   - small machines, if tasks are placed one at a time as for services, so that the loss of
//     one machine affects fewer tasks,
//   - machines with the fewest free cores (best fit), so that large tasks find empty machines.
func scoreOf(request *Request, host *Host) score {
	s := score{penalty: host.Penalty}
	if request.Need.Accelerators == 0 && host.Total.Accelerators > 0 {
		s.wastesAccelerators = 1
	}
	if !host.Images[request.Image] {
		s.imagePulls = 1 + host.PullingImages
	}
	if request.Spot && host.Labels[LabelSpot] != "true" {
		s.onDemand = 1
	}
	if request.OneAtATime {
		s.totalCores = host.Total.Cores
	}
	s.freeCores = host.Free.Cores
	return s
}

// candidate is a machine with its score for a request.
type candidate struct {
	score
	host *Host
}

// compare orders candidates by score and then by machine ID. It is called very often, so it
// returns at the first field that differs instead of comparing all fields.
func (a *candidate) compare(b *candidate) int {
	switch {
	case a.penalty != b.penalty:
		return cmp.Compare(a.penalty, b.penalty)
	case a.wastesAccelerators != b.wastesAccelerators:
		return cmp.Compare(a.wastesAccelerators, b.wastesAccelerators)
	case a.imagePulls != b.imagePulls:
		return cmp.Compare(a.imagePulls, b.imagePulls)
	case a.onDemand != b.onDemand:
		return cmp.Compare(a.onDemand, b.onDemand)
	case a.totalCores != b.totalCores:
		return cmp.Compare(a.totalCores, b.totalCores)
	case a.freeCores != b.freeCores:
		return cmp.Compare(a.freeCores, b.freeCores)
	}
	return cmp.Compare(a.host.ID, b.host.ID)
}

// candidateHeap implements heap.Interface with the best candidate at the root.
type candidateHeap []candidate

// Len implements heap.Interface.
func (h candidateHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h candidateHeap) Less(a, b int) bool { return h[a].compare(&h[b]) < 0 }

// Swap implements heap.Interface.
func (h candidateHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop implements heap.Interface. It returns the *Host of the removed candidate.
func (h *candidateHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last.host
}
