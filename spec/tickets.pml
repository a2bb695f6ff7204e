/*
 * Tickets: a request that must not be repeated runs at most once, and its callers get
 * true statements about it.
 *
 * There is one ticket, granted by incarnation 0 of an agent. Its caller sends, through two
 * entries, copies of one request, one copy of another request under the same ticket, and
 * queries that settle the ticket. Copies stay in links for any time and arrive in any
 * order; a copy in a silent link may arrive after a query. Entries send again and are
 * replaced without state. Successors of the agent exist beside it from the start, as when
 * it is paused and its VM is replaced: any copy may reach the agent or a successor. The
 * agent's two handlers may pause between any two steps, and the agent may die at any
 * point. A request that an agent has sent to the backend server runs later or never, also
 * after the agent's death. Answers may be lost at any time. A statement to a caller is
 * checked when it is made, against all runs before and after.
 *
 * Bounds: 2 handlers of the agent, any number of successors and of replacements of the 2
 * entries; COPIES copies of the request on links, 1 of another request, 2 queries.
 *
 * Each MUTANT_x removes one safeguard; the checker must then find an error.
 */

#ifndef COPIES
#define COPIES 6
#endif
#define ENTRIES 2

mtype = { unused, used, voided, forgotten };
mtype = { first, other };

/* The state of the ticket at the agent of incarnation 0. */
mtype state = unused;
mtype boundRequest = first;
bool answerHeld = false; /* the answer is still held */
bool confirmed = false;  /* the backend server confirmed that it ran */
bool expired = false;

bool agentAlive = true;

/* Messages in transit on links, and how many were sent. */
byte inTransit = 0, sent = 0;
byte otherInTransit = 0;
bool sentOther = false;
byte queriesInTransit = 0, queriesSent = 0;

bool forwarded[ENTRIES]; /* the entry knows that it forwarded a copy */

/* The agent's backend server. */
byte toBackend = 0; /* requests sent and not yet run */
byte runs = 0;
bool statedNotRun = false;

inline stateNotRun() { statedNotRun = true; assert(runs == 0) }
inline stateRan() { assert(runs > 0) }

/* An agent sends the request of this ticket to its backend server. */
inline sendToBackend() {
  toBackend++
}

proctype Backend() {
end:
  do
  :: atomic { toBackend > 0 ->
       toBackend--;
       runs++;
       assert(runs == 1);
       assert(!statedNotRun);
       /* The answer reaches the agent, or its connection breaks. */
       if
       :: confirmed = true
       :: skip
       fi
     }
  :: atomic { toBackend > 0 -> toBackend-- }  /* lost in transit */
#ifdef MUTANT_REPLAY
  /* The HTTP transport retries on its own when a reused connection closes. */
  :: atomic { toBackend > 0 && runs == 0 -> runs++ }
#endif
  od
}

/* answerUsed answers a message about a ticket that is not unused. */
inline answerUsed(body) {
  if
  :: state == voided -> stateNotRun()
#if defined(MUTANT_FORGOTTEN_NOT_RUN)
  :: state == forgotten -> stateNotRun()
#else
  :: state == forgotten -> skip                        /* unknown */
#endif
#ifdef MUTANT_REUSED_NOT_RUN
  :: state == used && body != boundRequest -> stateNotRun()
#else
  :: state == used && body != boundRequest -> skip            /* unknown */
#endif
  :: state == used && body == boundRequest && answerHeld -> skip    /* joins the answer */
#ifdef MUTANT_RAN_BY_MARK
  /* The mark is mistaken for proof of a run. */
  :: state == used && body == boundRequest && !answerHeld -> stateRan()
#else
  :: state == used && body == boundRequest && !answerHeld && confirmed -> stateRan()
  :: state == used && body == boundRequest && !answerHeld && !confirmed -> skip
#endif
  fi
}

/* refuse refuses work that the agent does not accept now, and voids its ticket. */
inline refuse() {
#ifndef MUTANT_REFUSE_WITHOUT_VOID
  state = voided;
#endif
  stateNotRun()
}

/* markUsed marks the ticket as used, in the same step in which it was found unused. */
inline markUsed(body) {
  state = used;
  boundRequest = body;
  answerHeld = true
}

proctype Handler() {
  mtype body = first;
  bool accepted = false;
end:
  do
  :: atomic { agentAlive && (inTransit > 0 || otherInTransit > 0) ->
       if
       :: inTransit > 0 -> inTransit--; body = first
       :: otherInTransit > 0 -> otherInTransit--; body = other
       fi;
       if
       :: state == unused && expired -> refuse()
       :: state == unused -> refuse()                  /* draining, out, full */
       :: state == unused && !expired ->
            accepted = true;
#if !defined(MUTANT_NO_MARK) && !defined(MUTANT_MARK_LATER)
            markUsed(body)
#endif
       :: state != unused -> answerUsed(body)
       fi;
       if
       :: accepted -> skip
       :: !accepted -> body = first
       fi
     };
     /* The agent may pause or die here. The decision is carried out whatever has happened since. */
     if
     :: atomic { agentAlive && accepted ->
          accepted = false;
#ifdef MUTANT_MARK_LATER
          markUsed(body);
#endif
          sendToBackend();
          body = first
        }
     :: atomic { agentAlive && accepted ->
          /* Refused while queued, or the connection to the backend server was refused. */
          accepted = false;
#ifdef MUTANT_ABANDON_UNUSED
          state = unused;
#else
          state = voided;
#endif
          answerHeld = false;
          stateNotRun();
          body = first
        }
     :: !accepted -> skip
     :: !agentAlive -> break
     fi
  :: atomic { agentAlive && queriesInTransit > 0 ->
       queriesInTransit--;
       if
       :: state == unused ->
#ifdef MUTANT_SETTLE_WITHOUT_VOID
            stateNotRun()
#else
            refuse()
#endif
       :: state != unused -> answerUsed(boundRequest)
       fi
     }
  :: !agentAlive -> break
  od
}

/* Successor models all other incarnations that a copy may reach. */
proctype Successor() {
end:
  do
  :: atomic { inTransit > 0 ->
       inTransit--;
#if defined(MUTANT_ANY_INCARNATION)
       /* With a shared key a successor accepts the ticket as its own. */
       sendToBackend()
#elif defined(MUTANT_GONE_NOT_RUN)
       stateNotRun()
#endif
     }
  :: atomic { otherInTransit > 0 -> otherInTransit-- }
  :: atomic { queriesInTransit > 0 -> queriesInTransit-- }
  od
}

/* Agent models the agent's bounded memory, the passage of time, and its death. */
proctype Agent() {
end:
  do
  :: atomic { agentAlive && answerHeld && (confirmed || toBackend == 0) -> answerHeld = false }
  :: atomic { agentAlive && expired && state != forgotten ->
#ifdef MUTANT_FORGOTTEN_UNUSED
       state = unused; expired = false;
#else
       state = forgotten;
#endif
       answerHeld = false
     }
  :: atomic { agentAlive && !expired -> expired = true }
  :: atomic { agentAlive -> agentAlive = false; break }
  od
}

proctype Entry(byte entry) {
end:
  do
  /* The entry sends the caller's request to the agent, for the first time or as a retry. */
  :: atomic { sent < COPIES -> sent++; inTransit++; forwarded[entry] = true }
  :: atomic { !sentOther -> sentOther = true; otherInTransit++ }
  :: atomic { queriesSent < 2 -> queriesSent++; queriesInTransit++ }
  /* The link is silent: the entry may answer that the outcome is unknown. */
  :: atomic { forwarded[entry] ->
       forwarded[entry] = false;
#ifdef MUTANT_TIMEOUT_NOT_RUN
       stateNotRun()
#endif
#ifdef MUTANT_RUN_ELSEWHERE
       sendToBackend()
#endif
     }
#ifdef MUTANT_ENTRY_NOT_RUN
  /* The entry refuses a ticket itself because it has not forwarded it. */
  :: atomic { !forwarded[entry] && !statedNotRun -> stateNotRun() }
#endif
  /* Replaced by an entry without state. */
  :: atomic { forwarded[entry] -> forwarded[entry] = false }
  :: sent == COPIES && !forwarded[entry] -> break
  od
}

init {
  atomic {
    run Backend();
    run Handler();
    run Handler();
    run Successor();
    run Agent();
    run Entry(0);
    run Entry(1)
  }
}
