package answer_test

import (
	"fmt"
	"time"

	"github.com/apricothub/apricothub/coord/answer"
)

// A link fails in the middle of an answer. The reader attaches again, from a part that it
// already has, and the assembler drops the duplicate.
func Example() {
	store := answer.NewStore(1<<20, time.Minute)
	buffer, _ := store.Add("answer-1", "north")
	for _, text := range []string{"two ", "for ", "one"} {
		_, _ = store.Append(buffer, []byte(text))
	}
	store.End(buffer, time.Second)

	assembler := answer.NewAssembler(1)
	read := func(cursor answer.Cursor, parts int) {
		for {
			event, next := buffer.Next(cursor)
			cursor = next
			switch {
			case event == nil:
				return
			case event.GetEnd() != nil:
				fmt.Println("whole:", assembler.CheckEnd(event.GetEnd()) == nil)
				return
			case event.GetPart() != nil && parts == 0:
				return // The link failed.
			case event.GetPart() != nil:
				parts--
				isNew, _ := assembler.AddPart(event.GetPart())
				fmt.Printf("%q new: %v\n", event.GetPart().GetData(), isNew)
			}
		}
	}
	read(answer.CursorAt(1), 2)
	read(answer.CursorAt(2), 10)
	// Output:
	// "two " new: true
	// "for " new: true
	// "for " new: false
	// "one" new: true
	// whole: true
}
