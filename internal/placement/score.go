package placement

import "cmp"

// score orders candidates: the smaller, the better, field by field.
type score struct {
	penalty            float64 // of machines that did badly lately
	wastesAccelerators float64 // 1 if the machine has accelerators and the request needs none
	imagePulls         int     // 0 if the machine has the image; otherwise 1 and one for each that it pulls
	onDemand           int     // 1 if spot machines are allowed and this is none
	totalCores         float64 // cores of the machine, for services
	freeCores          float64
}

// scoreOf scores a machine for a request. It prefers machines that did not do badly lately,
// that do not waste accelerators on tasks without any, that have the image or at least pull no
// other, that are cheap where spot machines are allowed, and that have the fewest free cores
// (best fit), so that large tasks find whole machines. Replicas of services go to small
// machines first: each machine that is lost takes fewer of them along.
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

// compare orders candidates by their score and then by name. It is called very often, so no
// field is compared in vain.
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

// candidateHeap is a heap (container/heap) of candidates with the best first.
type candidateHeap []candidate

// Len implements heap.Interface.
func (h candidateHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h candidateHeap) Less(a, b int) bool { return h[a].compare(&h[b]) < 0 }

// Swap implements heap.Interface.
func (h candidateHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop implements heap.Interface. It returns the candidate's host.
func (h *candidateHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last.host
}
