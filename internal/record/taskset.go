package record

import (
	"encoding/json"
	"errors"
	"slices"
	"sort"

	"lilacrill/wire"
)

// TaskSet is a set of task numbers, kept as sorted ranges [low, high].
type TaskSet struct {
	ranges [][2]int
}

// Span is the set of the numbers from low up to but not including end.
func Span(low, end int) TaskSet {
	if low >= end {
		return TaskSet{}
	}
	return TaskSet{[][2]int{{low, end - 1}}}
}

// Len counts the members.
func (s TaskSet) Len() int {
	n := 0
	for _, r := range s.ranges {
		n += r[1] - r[0] + 1
	}
	return n
}

// EncodedSize is how many bytes the set's JSON takes, give or take a comma.
func (s TaskSet) EncodedSize() int {
	n := len(`[]`)
	for _, r := range s.ranges {
		n += digits(r[0]) + len(`,`)
		if r[0] != r[1] {
			n += digits(r[1]) + len(`[,]`)
		}
	}
	return n
}

func digits(n int) int {
	k := 1
	for ; n > 9; n /= 10 {
		k++
	}
	return k
}

// Equal reports whether both sets have the same members.
func (s TaskSet) Equal(o TaskSet) bool { return slices.Equal(s.ranges, o.ranges) }

// First is the lowest member of a set that is not empty.
func (s TaskSet) First() int { return s.ranges[0][0] }

// Empty reports whether the set has no members.
func (s TaskSet) Empty() bool { return len(s.ranges) == 0 }

// Has reports whether i is a member.
func (s TaskSet) Has(i int) bool {
	k := sort.Search(len(s.ranges), func(k int) bool { return s.ranges[k][1] >= i })
	return k < len(s.ranges) && s.ranges[k][0] <= i
}

// All yields the members in order.
func (s TaskSet) All(yield func(int) bool) {
	for _, r := range s.ranges {
		for i := r[0]; i <= r[1]; i++ {
			if !yield(i) {
				return
			}
		}
	}
}

// With is the union of both sets.
func (s TaskSet) With(o TaskSet) TaskSet {
	if o.Empty() {
		return s
	}
	if s.Empty() {
		return o
	}
	all := slices.Concat(s.ranges, o.ranges)
	slices.SortFunc(all, func(a, b [2]int) int { return a[0] - b[0] })
	out := all[:1:1]
	for _, r := range all[1:] {
		last := &out[len(out)-1]
		if r[0] <= last[1]+1 {
			last[1] = max(last[1], r[1])
		} else {
			out = append(out, r)
		}
	}
	return TaskSet{out}
}

// Add is the set with i.
func (s TaskSet) Add(i int) TaskSet { return s.With(Span(i, i+1)) }

// Without is the set less the members of o.
func (s TaskSet) Without(o TaskSet) TaskSet {
	var out [][2]int
	k := 0
	for _, r := range s.ranges {
		low := r[0]
		for k > 0 && o.ranges[k-1][1] >= low {
			k--
		}
		for k < len(o.ranges) && o.ranges[k][1] < low {
			k++
		}
		for m := k; m < len(o.ranges) && o.ranges[m][0] <= r[1]; m++ {
			if o.ranges[m][0] > low {
				out = append(out, [2]int{low, o.ranges[m][0] - 1})
			}
			low = o.ranges[m][1] + 1
		}
		if low <= r[1] {
			out = append(out, [2]int{low, r[1]})
		}
	}
	return TaskSet{out}
}

// And is the set of the members of both.
func (s TaskSet) And(o TaskSet) TaskSet { return s.Without(s.Without(o)) }

// Take splits off the first n members.
func (s TaskSet) Take(n int) (first, rest TaskSet) {
	for i, r := range s.ranges {
		if size := r[1] - r[0] + 1; size <= n {
			n -= size
			continue
		}
		if n > 0 {
			cut := r[0] + n
			first = TaskSet{append(slices.Clone(s.ranges[:i]), [2]int{r[0], cut - 1})}
			rest = TaskSet{append([][2]int{{cut, r[1]}}, s.ranges[i+1:]...)}
			return first, rest
		}
		return TaskSet{slices.Clone(s.ranges[:i])}, TaskSet{slices.Clone(s.ranges[i:])}
	}
	return s, TaskSet{}
}

// MarshalJSON writes the ranges; a single number stands for itself.
func (s TaskSet) MarshalJSON() ([]byte, error) {
	flat := make([]any, len(s.ranges))
	for i, r := range s.ranges {
		if r[0] == r[1] {
			flat[i] = r[0]
		} else {
			flat[i] = r
		}
	}
	return json.Marshal(flat)
}

// UnmarshalJSON reads what MarshalJSON writes and refuses anything unordered.
// Records are read very often, so it reads the digits itself.
func (s *TaskSet) UnmarshalJSON(b []byte) error {
	s.ranges = nil
	depth, n, digits := 0, 0, 0
	var pair []int
	number := func() error {
		if digits == 0 {
			return nil
		}
		pair = append(pair, n)
		n, digits = 0, 0
		if depth == 1 {
			pair = append(pair, pair[0])
			return s.push(&pair)
		}
		return nil
	}
	for _, ch := range b {
		switch {
		case ch >= '0' && ch <= '9' && depth > 0:
			n = n*10 + int(ch-'0')
			if digits++; digits > len("99999") {
				return errTaskSet
			}
		case ch == '[' && depth < 2 && digits == 0:
			depth++
		case ch == ']' && depth > 0:
			if err := number(); err != nil {
				return err
			}
			if depth == 2 {
				if err := s.push(&pair); err != nil {
					return err
				}
			}
			depth--
		case ch == ',':
			if err := number(); err != nil {
				return err
			}
		case ch == ' ' || ch == '\n' || ch == '\t' || ch == '\r':
		default:
			return errTaskSet
		}
	}
	if depth != 0 || len(pair) != 0 {
		return errTaskSet
	}
	return nil
}

var errTaskSet = errors.New("task set: not ordered ranges of task numbers")

// push appends a range that was read.
func (s *TaskSet) push(pair *[]int) error {
	p := *pair
	*pair = p[:0]
	if len(p) != 2 || p[1] < p[0] || p[1] >= wire.MaxTasks {
		return errTaskSet
	}
	if k := len(s.ranges); k > 0 && s.ranges[k-1][1] >= p[0] {
		return errTaskSet
	}
	s.ranges = append(s.ranges, [2]int{p[0], p[1]})
	return nil
}
