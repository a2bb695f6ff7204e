package answer

import (
	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
)

// Faults of an answer as it arrives.
var (
	// ErrGap says that a part is missing: parts came out of order.
	ErrGap = errors.New("a part of the answer is missing")
	// ErrShort says that the answer ended with fewer parts or bytes than were made.
	ErrShort = errors.New("the answer is shorter than what was made")
)

// Assembler puts an answer together on the receiving side. A part that was already
// had is dropped, so that an attempt over an old link cannot double it; a missing
// part or a wrong count is an error, so that a short answer never looks whole.
type Assembler struct {
	partsReceived uint64 // number of the next part, less one
	bytesReceived uint64
	// startedMidway says that the reader began in the middle, and the bytes before are
	// not counted here.
	startedMidway bool
}

// NewAssembler returns an assembler that expects the part with this number first;
// 1 is the beginning.
func NewAssembler(first uint64) *Assembler {
	if first <= 1 {
		return &Assembler{}
	}
	return &Assembler{partsReceived: first - 1, startedMidway: true}
}

// NextPart is the number of the next part.
func (a *Assembler) NextPart() uint64 { return a.partsReceived + 1 }

// AddPart takes one part and says whether it is new.
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

// CheckEnd checks that the answer is whole.
func (a *Assembler) CheckEnd(e *api.End) error {
	if e.GetParts() != a.partsReceived {
		return ErrShort
	}
	if !a.startedMidway && e.GetBytes() != a.bytesReceived {
		return ErrShort
	}
	return nil
}
