package answer

import (
	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
)

// Errors of an answer that arrives incomplete.
var (
	// ErrGap is returned for a part that does not follow the previous one.
	ErrGap = errors.New("a part of the answer is missing")
	// ErrShort is returned if the numbers of parts or bytes received differ from those sent.
	ErrShort = errors.New("the answer is shorter than what was made")
)

// Assembler reassembles an answer on the receiving side. It drops parts that were already
// received, so that a delayed copy from an old link cannot duplicate them. A missing part or a
// wrong count is an error, so that a truncated answer is never taken for a complete one.
type Assembler struct {
	// partsReceived is the number of the last part received, including parts before the first
	// one that was expected here.
	partsReceived uint64
	bytesReceived uint64
	// startedMidway says that the reader did not begin with part 1, so that bytesReceived
	// leaves out the parts before.
	startedMidway bool
}

// NewAssembler returns an assembler that expects the part with this number first. Parts are
// numbered from 1.
func NewAssembler(first uint64) *Assembler {
	if first <= 1 {
		return &Assembler{}
	}
	return &Assembler{partsReceived: first - 1, startedMidway: true}
}

// NextPart returns the number of the next expected part.
func (a *Assembler) NextPart() uint64 { return a.partsReceived + 1 }

// AddPart adds a part and reports whether it is new.
func (a *Assembler) AddPart(p *api.Part) (bool, error) {
	switch number := p.GetNumber(); {
	case number <= a.partsReceived:
		return false, nil
	case number > a.partsReceived+1:
		return false, ErrGap
	}
	a.partsReceived++
	a.bytesReceived += uint64(len(p.GetData()))
	return true, nil
}

// CheckEnd returns ErrShort if the answer is incomplete.
func (a *Assembler) CheckEnd(e *api.End) error {
	if e.GetParts() != a.partsReceived {
		return ErrShort
	}
	if !a.startedMidway && e.GetBytes() != a.bytesReceived {
		return ErrShort
	}
	return nil
}
