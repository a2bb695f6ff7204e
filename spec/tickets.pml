/*
 * Tickets: a request that may not be repeated runs at most once, and what its
 * callers are told is true.
 *
 * One ticket, granted by incarnation 0 of an agent. Its caller sends copies of one
 * request, once another request under the same ticket, and questions that settle
 * the ticket, through two entries. Copies wait on links as long as they like and
 * arrive in any order; a copy in a silent link arrives after the question. Entries
 * send again and are replaced without memory. Successors of the agent exist beside
 * it from the start, as when it is paused and its VM replaced: any copy may reach it
 * or one of them. Its two handlers pause between any two steps, and it dies anywhere. What an agent has sent to the backend server runs later, or never, also
 * after the agent's death. Answers may be lost at any time; a statement is checked
 * when it is made, against all that runs before and after.
 *
 * Bounds: 2 handlers of the agent, any number of successors and of replacements of
 * the 2 entries; COPIES copies of the request put on links, 1 of another request, 2
 * questions.
 *
 * Each MUTANT_x leaves one safeguard out; the checker must find an error with it.
 */

#ifndef COPIES
#define COPIES 6
#endif
#define ENTRIES 2

mtype = { unused, used, voided, forgotten };
mtype = { first, other };

/* What the agent of incarnation 0 knows of the ticket. */
mtype state = unused;
mtype bound = first;
bool held = false;      /* the answer is held */
bool ended = false;     /* the backend server said that it ran */
bool expired = false;

bool alive = true;

/* Copies on links, and how many were put there. */
byte wire = 0, sent = 0;
byte wireOther = 0;
bool sentOther = false;
byte wireSettle = 0, sentSettle = 0;

bool forwarded[ENTRIES];   /* what an entry remembers */

/* The service behind the agent. */
byte toBackend = 0;        /* sent and not yet run */
byte runs = 0;
bool saidNotRun = false;

inline sayNotRun() { saidNotRun = true; assert(runs == 0) }
inline sayRan() { assert(runs > 0) }

/* An agent hands the request to its backend server, for this ticket. */
inline hand() {
  toBackend++
}

proctype Backend() {
end:
  do
  :: atomic { toBackend > 0 ->
       toBackend--;
       runs++;
       assert(runs == 1);
       assert(!saidNotRun);
       /* The answer reaches the agent, or its connection breaks. */
       if
       :: ended = true
       :: skip
       fi
     }
  :: atomic { toBackend > 0 -> toBackend-- }  /* lost on the way */
#ifdef MUTANT_REPLAY
  /* The transport sends again by itself when a reused connection closes. */
  :: atomic { toBackend > 0 && runs == 0 -> runs++ }
#endif
  od
}

/* seen answers for a ticket that is not unused. */
inline seen(body) {
  if
  :: state == voided -> sayNotRun()
#if defined(MUTANT_FORGOTTEN_NOT_RUN)
  :: state == forgotten -> sayNotRun()
#else
  :: state == forgotten -> skip                        /* unknown */
#endif
#ifdef MUTANT_REUSED_NOT_RUN
  :: state == used && body != bound -> sayNotRun()
#else
  :: state == used && body != bound -> skip            /* unknown */
#endif
  :: state == used && body == bound && held -> skip    /* joins the answer */
#ifdef MUTANT_RAN_BY_MARK
  /* The mark is taken for the run. */
  :: state == used && body == bound && !held -> sayRan()
#else
  :: state == used && body == bound && !held && ended -> sayRan()
  :: state == used && body == bound && !held && !ended -> skip
#endif
  fi
}

/* refuse is what the agent does with work that it does not take now. */
inline refuse() {
#ifndef MUTANT_REFUSE_WITHOUT_VOID
  state = voided;
#endif
  sayNotRun()
}

/* mark takes the right to run, in the same step in which it was found unused. */
inline mark(body) {
  state = used;
  bound = body;
  held = true
}

proctype Handler() {
  mtype body = first;
  bool go = false;
end:
  do
  :: atomic { alive && (wire > 0 || wireOther > 0) ->
       if
       :: wire > 0 -> wire--; body = first
       :: wireOther > 0 -> wireOther--; body = other
       fi;
       if
       :: state == unused && expired -> refuse()
       :: state == unused -> refuse()                  /* draining, out, full */
       :: state == unused && !expired ->
            go = true;
#if !defined(MUTANT_NO_MARK) && !defined(MUTANT_MARK_LATER)
            mark(body)
#endif
       :: state != unused -> seen(body)
       fi;
       if
       :: go -> skip
       :: !go -> body = first
       fi
     };
     /* A pause, or death. What was decided is done, whatever happened meanwhile. */
     if
     :: atomic { alive && go ->
          go = false;
#ifdef MUTANT_MARK_LATER
          mark(body);
#endif
          hand();
          body = first
        }
     :: atomic { alive && go ->
          /* Refused out of the queue, or the connection was refused. */
          go = false;
#ifdef MUTANT_ABANDON_UNUSED
          state = unused;
#else
          state = voided;
#endif
          held = false;
          sayNotRun();
          body = first
        }
     :: !go -> skip
     :: !alive -> break
     fi
  :: atomic { alive && wireSettle > 0 ->
       wireSettle--;
       if
       :: state == unused ->
#ifdef MUTANT_SETTLE_WITHOUT_VOID
            sayNotRun()
#else
            refuse()
#endif
       :: state != unused -> seen(bound)
       fi
     }
  :: !alive -> break
  od
}

/* Successor is any other incarnation that a copy may reach. */
proctype Successor() {
end:
  do
  :: atomic { wire > 0 ->
       wire--;
#if defined(MUTANT_ANY_INCARNATION)
       /* The key is shared: a successor takes the ticket for its own. */
       hand()
#elif defined(MUTANT_GONE_NOT_RUN)
       sayNotRun()
#endif
     }
  :: atomic { wireOther > 0 -> wireOther-- }
  :: atomic { wireSettle > 0 -> wireSettle-- }
  od
}

/* Agent: its memory is bounded, time passes, it dies. */
proctype Agent() {
end:
  do
  :: atomic { alive && held && (ended || toBackend == 0) -> held = false }
  :: atomic { alive && expired && state != forgotten ->
#ifdef MUTANT_FORGOTTEN_UNUSED
       state = unused; expired = false;
#else
       state = forgotten;
#endif
       held = false
     }
  :: atomic { alive && !expired -> expired = true }
  :: atomic { alive -> alive = false; break }
  od
}

proctype Entry(byte me) {
end:
  do
  /* The caller's request goes to the agent, the first time or again. */
  :: atomic { sent < COPIES -> sent++; wire++; forwarded[me] = true }
  :: atomic { !sentOther -> sentOther = true; wireOther++ }
  :: atomic { sentSettle < 2 -> sentSettle++; wireSettle++ }
  /* The link is silent: the entry can say that it does not know. */
  :: atomic { forwarded[me] ->
       forwarded[me] = false;
#ifdef MUTANT_TIMEOUT_NOT_RUN
       sayNotRun()
#endif
#ifdef MUTANT_RUN_ELSEWHERE
       hand()
#endif
     }
#ifdef MUTANT_ENTRY_NOT_RUN
  /* The entry refuses a caller's ticket by itself; it has not passed it on. */
  :: atomic { !forwarded[me] && !saidNotRun -> sayNotRun() }
#endif
  /* Replaced by one without memory. */
  :: atomic { forwarded[me] -> forwarded[me] = false }
  :: sent == COPIES && !forwarded[me] -> break
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
