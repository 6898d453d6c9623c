package record

import (
	"encoding/json"
	"errors"
	"slices"
	"sort"

	"lilacrill/wire"
)

// errInvalidTaskSet is returned for JSON that is not a valid task set.
var errInvalidTaskSet = errors.New("task set: not ordered ranges of task numbers")

// TaskSet is a set of task numbers. The zero value is the empty set. Apart from UnmarshalJSON, no
// operation changes its operands.
type TaskSet struct {
	ranges []taskRange // ascending, without overlaps
}

// taskRange is the range of the numbers from low to high, both included.
type taskRange struct{ low, high int }

// len returns how many numbers the range has.
func (r taskRange) len() int { return r.high - r.low + 1 }

// Span returns the set of the numbers from low up to but not including end.
func Span(low, end int) TaskSet {
	if low >= end {
		return TaskSet{}
	}
	return TaskSet{[]taskRange{{low, end - 1}}}
}

// Len returns how many members the set has.
func (s TaskSet) Len() int {
	count := 0
	for _, r := range s.ranges {
		count += r.len()
	}
	return count
}

// EncodedSize returns the size of the set's JSON in bytes. It counts a comma after each range, one
// more than the JSON has.
func (s TaskSet) EncodedSize() int {
	size := len(`[]`)
	for _, r := range s.ranges {
		size += countDigits(r.low) + len(`,`)
		if r.low != r.high {
			size += countDigits(r.high) + len(`[,]`)
		}
	}
	return size
}

// countDigits returns how many decimal digits a number has.
func countDigits(number int) int {
	count := 1
	for ; number > 9; number /= 10 {
		count++
	}
	return count
}

// Equal reports whether both sets have the same members.
func (s TaskSet) Equal(other TaskSet) bool { return slices.Equal(s.ranges, other.ranges) }

// First returns the lowest member of the set, which must not be empty.
func (s TaskSet) First() int { return s.ranges[0].low }

// IsEmpty reports whether the set has no members.
func (s TaskSet) IsEmpty() bool { return len(s.ranges) == 0 }

// Contains reports whether a number is a member.
func (s TaskSet) Contains(number int) bool {
	i := sort.Search(len(s.ranges), func(i int) bool { return s.ranges[i].high >= number })
	return i < len(s.ranges) && s.ranges[i].low <= number
}

// All yields the members in ascending order.
func (s TaskSet) All(yield func(int) bool) {
	for _, r := range s.ranges {
		for number := r.low; number <= r.high; number++ {
			if !yield(number) {
				return
			}
		}
	}
}

// Union returns the union of both sets.
func (s TaskSet) Union(other TaskSet) TaskSet {
	if other.IsEmpty() {
		return s
	}
	if s.IsEmpty() {
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

// Add returns the set extended by a number.
func (s TaskSet) Add(number int) TaskSet { return s.Union(Span(number, number+1)) }

// Difference returns the members of the set that are not members of the other set.
func (s TaskSet) Difference(other TaskSet) TaskSet {
	var left []taskRange
	first := 0 // index of the first range of other that may overlap r
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

// Intersect returns the intersection of both sets.
func (s TaskSet) Intersect(other TaskSet) TaskSet { return s.Difference(s.Difference(other)) }

// Take splits the set into its lowest count members, or all if there are fewer, and the rest.
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

// MarshalJSON encodes the set as a list of its ranges. A range is encoded as [low, high], or as the
// number itself if it has only one.
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

// UnmarshalJSON decodes the encoding of MarshalJSON. It refuses ranges that overlap or are out of
// order.
func (s *TaskSet) UnmarshalJSON(text []byte) error {
	s.ranges = nil
	var parser taskSetParser
	for _, char := range text {
		if err := parser.parse(char); err != nil {
			return err
		}
	}
	if parser.depth != 0 || parser.boundCount != 0 {
		return errInvalidTaskSet
	}
	s.ranges = parser.ranges
	return nil
}

// taskSetParser parses the JSON of a task set one character at a time. Records are decoded so often
// that a dedicated parser has a noticeable effect.
type taskSetParser struct {
	ranges     []taskRange
	depth      int    // number of open brackets
	number     int    // the number being parsed
	digitCount int    // how many digits of number have been parsed
	bounds     [2]int // the bounds of the range being parsed
	boundCount int    // how many bounds of the range have been parsed
}

// maxDigits is the number of decimal digits of the largest task number.
var maxDigits = countDigits(wire.MaxTasks - 1)

// parse parses one character.
func (p *taskSetParser) parse(char byte) error {
	switch {
	case char >= '0' && char <= '9' && p.depth > 0:
		p.number = p.number*10 + int(char-'0')
		if p.digitCount++; p.digitCount > maxDigits {
			return errInvalidTaskSet
		}
		return nil
	case char == '[' && p.depth < 2 && p.digitCount == 0:
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

// closeBracket ends the list or, within it, the range that is encoded as a pair.
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

// endNumber ends the number being parsed, if any, and adds it to the current range. A number outside
// a pair is a range of its own.
func (p *taskSetParser) endNumber() error {
	if p.digitCount == 0 {
		return nil
	}
	number := p.number
	p.number, p.digitCount = 0, 0
	p.addBound(number)
	if p.depth != 1 {
		return nil
	}
	p.addBound(number)
	return p.endRange()
}

// addBound adds a bound to the current range. It only counts surplus bounds. endRange refuses a
// range that has any.
func (p *taskSetParser) addBound(number int) {
	if p.boundCount < len(p.bounds) {
		p.bounds[p.boundCount] = number
	}
	p.boundCount++
}

// endRange adds the current range to the set.
func (p *taskSetParser) endRange() error {
	r := taskRange{p.bounds[0], p.bounds[1]}
	complete := p.boundCount == len(p.bounds)
	p.boundCount = 0
	if !complete || r.high < r.low || r.high >= wire.MaxTasks {
		return errInvalidTaskSet
	}
	if last := len(p.ranges) - 1; last >= 0 && p.ranges[last].high >= r.low {
		return errInvalidTaskSet
	}
	p.ranges = append(p.ranges, r)
	return nil
}
