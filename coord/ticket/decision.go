package ticket

import "github.com/apricothub/apricothub/api"

// Action is what the agent does with a request that carries a ticket.
type Action int

const (
	// Refuse answers with the code, the ran value and the text of the decision.
	Refuse Action = iota
	// Run hands the request to the backend server, once.
	Run
	// Join attaches the caller to the answer of the run that was already started.
	Join
)

// String returns the action's name for logs and tests.
func (a Action) String() string {
	switch a {
	case Run:
		return "run"
	case Join:
		return "join"
	default:
		return "refuse"
	}
}

// Decision is the ledger's decision on one request.
type Decision struct {
	Action Action
	// AnswerID names the answer of the run. It is set for Join and Run.
	AnswerID string
	// Code, Ran and Text describe the refusal. They are set for Refuse.
	Code api.ResultCode
	Ran  api.Ran
	Text string
}

func refuse(code api.ResultCode, ran api.Ran, text string) Decision {
	return Decision{Action: Refuse, Code: code, Ran: ran, Text: text}
}

// The ledger's refusals.
var (
	refusedInvalid = refuse(api.ResultCode_TICKET_INVALID, api.Ran_RAN_NO, "The ticket was not made by this system.")

	// refusedForeign leaves open whether the ticket ran: its owner may have used it. The
	// ticket isn't voided, because then any other customer could void it.
	refusedForeign = refuse(api.ResultCode_TICKET_FOREIGN, api.Ran_RAN_UNKNOWN, "The ticket belongs to another customer or backend server.")

	refusedOtherIncarnation = refuse(api.ResultCode_OUTCOME_UNKNOWN, api.Ran_RAN_UNKNOWN, "The agent that could have run the ticket has been replaced.")
	refusedForgotten        = refuse(api.ResultCode_TICKET_UNKNOWN, api.Ran_RAN_UNKNOWN, "The ticket is older than what is remembered.")
	refusedExpired          = refuse(api.ResultCode_TICKET_EXPIRED, api.Ran_RAN_NO, "The ticket was not used in time and is void.")
	refusedVoided           = refuse(api.ResultCode_TICKET_VOID, api.Ran_RAN_NO, "The ticket was voided before it ran.")
	refusedReused           = refuse(api.ResultCode_TICKET_REUSED, api.Ran_RAN_UNKNOWN, "The ticket was first used with another request.")
	refusedAnswerGone       = refuse(api.ResultCode_RAN_ANSWER_GONE, api.Ran_RAN_YES, "The request ran, and its answer is not held any more.")
	refusedOutcomeUnknown   = refuse(api.ResultCode_OUTCOME_UNKNOWN, api.Ran_RAN_UNKNOWN, "The backend server may have run the request; it did not say.")
)
