package record

import (
	"encoding/json"
	"errors"
	"slices"
	"sort"

	"lilacrill/wire"
)

// errInvalidTaskSet is the cause for which the JSON of a task set is refused.
var errInvalidTaskSet = errors.New("task set: not ordered ranges of task numbers")

// TaskSet is a set of task numbers. The zero value is the empty set. Sets are values: no
// operation changes its operands.
type TaskSet struct {
	ranges []taskRange // in order, none overlaps another
}

// taskRange is the numbers from low to high, both included.
type taskRange struct{ low, high int }

func (r taskRange) len() int { return r.high - r.low + 1 }

// Span is the set of the numbers from low up to but not including end.
func Span(low, end int) TaskSet {
	if low >= end {
		return TaskSet{}
	}
	return TaskSet{[]taskRange{{low, end - 1}}}
}

// Len counts the members.
func (s TaskSet) Len() int {
	count := 0
	for _, r := range s.ranges {
		count += r.len()
	}
	return count
}

// EncodedSize is how many bytes the set's JSON takes, give or take a comma.
func (s TaskSet) EncodedSize() int {
	size := len(`[]`)
	for _, r := range s.ranges {
		size += digits(r.low) + len(`,`)
		if r.low != r.high {
			size += digits(r.high) + len(`[,]`)
		}
	}
	return size
}

// digits is how many decimal digits a number has.
func digits(number int) int {
	count := 1
	for ; number > 9; number /= 10 {
		count++
	}
	return count
}

// Equal reports whether both sets have the same members.
func (s TaskSet) Equal(other TaskSet) bool { return slices.Equal(s.ranges, other.ranges) }

// First is the lowest member of a set, which must not be empty.
func (s TaskSet) First() int { return s.ranges[0].low }

// Empty reports whether the set has no members.
func (s TaskSet) Empty() bool { return len(s.ranges) == 0 }

// Has reports whether a number is a member.
func (s TaskSet) Has(number int) bool {
	i := sort.Search(len(s.ranges), func(i int) bool { return s.ranges[i].high >= number })
	return i < len(s.ranges) && s.ranges[i].low <= number
}

// All yields the members in order.
func (s TaskSet) All(yield func(int) bool) {
	for _, r := range s.ranges {
		for number := r.low; number <= r.high; number++ {
			if !yield(number) {
				return
			}
		}
	}
}

// With is the union of both sets.
func (s TaskSet) With(other TaskSet) TaskSet {
	if other.Empty() {
		return s
	}
	if s.Empty() {
		return other
	}
	ranges := slices.Concat(s.ranges, other.ranges)
	slices.SortFunc(ranges, func(a, b taskRange) int { return a.low - b.low })
	merged := ranges[:1:1]
	for _, r := range ranges[1:] {
		last := &merged[len(merged)-1]
		if r.low <= last.high+1 {
			last.high = max(last.high, r.high)
		} else {
			merged = append(merged, r)
		}
	}
	return TaskSet{merged}
}

// Add is the set with a number.
func (s TaskSet) Add(number int) TaskSet { return s.With(Span(number, number+1)) }

// Without is the set less the members of another one.
func (s TaskSet) Without(other TaskSet) TaskSet {
	var left []taskRange
	first := 0 // the first range of other that may overlap the present one
	for _, r := range s.ranges {
		for first < len(other.ranges) && other.ranges[first].high < r.low {
			first++
		}
		low := r.low
		for i := first; i < len(other.ranges) && other.ranges[i].low <= r.high; i++ {
			removed := other.ranges[i]
			if removed.low > low {
				left = append(left, taskRange{low, removed.low - 1})
			}
			low = removed.high + 1
		}
		if low <= r.high {
			left = append(left, taskRange{low, r.high})
		}
	}
	return TaskSet{left}
}

// Intersect is the set of the members of both.
func (s TaskSet) Intersect(other TaskSet) TaskSet { return s.Without(s.Without(other)) }

// Take splits off the first members, up to a count.
func (s TaskSet) Take(count int) (first, rest TaskSet) {
	for i, r := range s.ranges {
		if r.len() <= count {
			count -= r.len()
			continue
		}
		if count <= 0 {
			return TaskSet{slices.Clone(s.ranges[:i])}, TaskSet{slices.Clone(s.ranges[i:])}
		}
		split := r.low + count
		first = TaskSet{append(slices.Clone(s.ranges[:i]), taskRange{r.low, split - 1})}
		rest = TaskSet{append([]taskRange{{split, r.high}}, s.ranges[i+1:]...)}
		return first, rest
	}
	return s, TaskSet{}
}

// MarshalJSON writes a list of the ranges, each as [low, high] or, for a single number, as the
// number.
func (s TaskSet) MarshalJSON() ([]byte, error) {
	list := make([]any, len(s.ranges))
	for i, r := range s.ranges {
		if r.low == r.high {
			list[i] = r.low
		} else {
			list[i] = [2]int{r.low, r.high}
		}
	}
	return json.Marshal(list)
}

// UnmarshalJSON reads what MarshalJSON writes and refuses ranges that are out of order.
func (s *TaskSet) UnmarshalJSON(text []byte) error {
	s.ranges = nil
	var parser taskSetParser
	for _, char := range text {
		if err := parser.next(char); err != nil {
			return err
		}
	}
	if parser.depth != 0 || parser.elements != 0 {
		return errInvalidTaskSet
	}
	s.ranges = parser.ranges
	return nil
}

// taskSetParser reads the JSON of a task set, a character at a time: records are read so often
// that this shows.
type taskSetParser struct {
	ranges   []taskRange
	depth    int // of the brackets that are open
	number   int // the number being read, of so many digits
	digits   int
	pair     [2]int // the range being read, of so many elements
	elements int
}

// maxDigits is how many digits the largest task number has.
var maxDigits = digits(wire.MaxTasks - 1)

func (p *taskSetParser) next(char byte) error {
	switch {
	case char >= '0' && char <= '9' && p.depth > 0:
		p.number = p.number*10 + int(char-'0')
		if p.digits++; p.digits > maxDigits {
			return errInvalidTaskSet
		}
		return nil
	case char == '[' && p.depth < 2 && p.digits == 0:
		p.depth++
		return nil
	case char == ']' && p.depth > 0:
		return p.closeBracket()
	case char == ',':
		return p.endNumber()
	case char == ' ' || char == '\n' || char == '\t' || char == '\r':
		return nil
	}
	return errInvalidTaskSet
}

// closeBracket ends the list, or the range that is written as a pair.
func (p *taskSetParser) closeBracket() error {
	if err := p.endNumber(); err != nil {
		return err
	}
	p.depth--
	if p.depth == 1 {
		return p.endRange()
	}
	return nil
}

// endNumber adds the number that was read, if any, to the present range. Outside a pair it is a
// range by itself.
func (p *taskSetParser) endNumber() error {
	if p.digits == 0 {
		return nil
	}
	number := p.number
	p.number, p.digits = 0, 0
	p.addElement(number)
	if p.depth != 1 {
		return nil
	}
	p.addElement(number)
	return p.endRange()
}

// addElement adds a bound to the present range; one that has too many is refused at its end.
func (p *taskSetParser) addElement(number int) {
	if p.elements < len(p.pair) {
		p.pair[p.elements] = number
	}
	p.elements++
}

// endRange adds the present range to the set.
func (p *taskSetParser) endRange() error {
	r := taskRange{p.pair[0], p.pair[1]}
	complete := p.elements == len(p.pair)
	p.elements = 0
	if !complete || r.high < r.low || r.high >= wire.MaxTasks {
		return errInvalidTaskSet
	}
	if last := len(p.ranges) - 1; last >= 0 && p.ranges[last].high >= r.low {
		return errInvalidTaskSet
	}
	p.ranges = append(p.ranges, r)
	return nil
}
