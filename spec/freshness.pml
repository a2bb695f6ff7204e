/*
 * Freshness: when a process may take new work, and when a change is accepted.
 *
 * N members follow one change, which is appended to the log at some time. After
 * "accepted", and once the freshness limit has passed, no member may serve without
 * the change. The rules are those of coord/fresh and of config.Acceptance.
 *
 * Time is discrete. Every time is kept as an age that stops increasing at the first
 * value past the limit, so that runs of any length have a finite state space. LIMIT is
 * one tick. Two events in one tick may have happened in either order, so where the code
 * compares exact times, the model requires one tick more.
 *
 * Faults: the log is unavailable (no member ever has to read it), a response of the log
 * arrives at any time after its request, messages are lost, delayed, repeated and
 * reordered, a member is replaced at any time by one without state, and a member is
 * paused (it does not have to take a step while time passes).
 *
 * Omitted without loss:
 * - A message, or a response of the log, is created and used in one step. Using the same
 *   message later gives evidence as of the same time, so it allows nothing more. The
 *   mutants in which the time of arrival counts keep the message longer.
 * - Evidence without further effect is set to one value: quorum evidence no newer than
 *   tail evidence, the age of a process that has the configuration, and acknowledgements
 *   of members once the change is accepted.
 * - Of a member that holds the change nothing else is kept: only members without it can
 *   violate the rule, and evidence of members that hold more never counts for them.
 * - Once the change is in the log, any member may receive it at any time from any source.
 */
#define N        3
#define MAJORITY 2
#ifndef LIMIT
#define LIMIT    1
#endif
#define STALE    (LIMIT + 1)      /* first age past the limit; also "never" */
#define OLD      (2 * LIMIT + 1)  /* start age above which age makes no difference */

bool  inLog;     /* the change is in the log */
byte  published; /* age since then, up to STALE */
byte  ack[N];    /* age of the member's acknowledgement of the change */
byte  accepted;  /* 0: not accepted; else 1 + age, up to 1 + STALE */

bool  holds[N]; /* has applied the change */
bool  initialized[N];
byte  start[N];  /* age of the process, up to OLD */
byte  tail[N];   /* age of the tail evidence */
byte  quorum[N]; /* age of the quorum evidence */
#ifdef MUTANT_TAIL_AT_ARRIVAL
bool  responsePending[N]; /* a response of the log from before the change is in transit */
#endif
#ifdef MUTANT_HEARD_AT_ARRIVAL
bool  delayed[N * N]; /* a message from j to i from before the change was accepted */
#endif
byte  heard[N * N]; /* age of i's last message from an initialized j without the change */

#define HEARD(i, j) heard[(i) * N + (j)]
#define MIN(a, b)   ((a) < (b) -> (a) : (b))
#define MAX(a, b)   ((a) > (b) -> (a) : (b))

/* Resets a member's state except whether it holds the change. */
inline reset(i) {
	d_step {
		initialized[i] = false; start[i] = 0;
		tail[i] = STALE; quorum[i] = STALE;
#ifdef MUTANT_TAIL_AT_ARRIVAL
		responsePending[i] = false;
#endif
#ifdef MUTANT_HEARD_AT_ARRIVAL
		delayed[i * N] = false; delayed[i * N + 1] = false; delayed[i * N + 2] = false;
#endif
		HEARD(i, 0) = STALE; HEARD(i, 1) = STALE; HEARD(i, 2) = STALE
	}
}

/* Ends Starting once the evidence is newer than any message of a predecessor. */
inline tryInitialize(i) {
	if
	:: initialized[i] -> skip
	:: !initialized[i] && tail[i] < STALE && tail[i] < start[i] -> initialized[i] = true
	:: !initialized[i] && quorum[i] < STALE && start[i] > quorum[i] + LIMIT -> initialized[i] = true
#ifdef MUTANT_PEER_TAIL_BEFORE_START
	:: !initialized[i] && tail[i] < STALE -> initialized[i] = true
#endif
#ifdef MUTANT_NO_SETTLING
	:: !initialized[i] && quorum[i] < STALE -> initialized[i] = true
#endif
	:: else -> skip
	fi;
	if :: initialized[i] -> start[i] = OLD :: else -> skip fi;
	if :: quorum[i] >= tail[i] -> quorum[i] = STALE :: else -> skip fi
}

/* Derives quorum evidence from what a member has heard: an initialized member counts
 * itself and needs one more; any other needs two. */
inline updateQuorum(i, j, k) {
	if
	:: initialized[i] -> quorum[i] = MIN(quorum[i], MIN(HEARD(i, j), HEARD(i, k)))
	:: else           -> quorum[i] = MIN(quorum[i], MAX(HEARD(i, j), HEARD(i, k)))
	fi
}

/* i hears from j: it copies j's evidence and counts j for a majority. */
inline receive(i, j, k) {
	d_step {
		tail[i] = MIN(tail[i], tail[j]);
		quorum[i] = MIN(quorum[i], quorum[j]);
#ifdef MUTANT_AGE_NOT_ADDED
		if :: tail[j] < STALE -> tail[i] = 0 :: else -> skip fi;
#endif
		if
		:: initialized[j] -> HEARD(i, j) = 0
#ifdef MUTANT_HEARD_AT_ARRIVAL
			; delayed[i * N + j] = true
#endif
#ifdef MUTANT_COUNT_REPLACED
		:: else -> HEARD(i, j) = 0
#else
		:: else -> skip
#endif
		fi;
		updateQuorum(i, j, k);
		tryInitialize(i)
	}
}

inline increase(value, limit) {
	if :: value < limit -> value++ :: else -> skip fi
}

inline ageMember(i) {
	if
	:: holds[i] -> skip
	:: else ->
		increase(start[i], OLD); increase(tail[i], STALE); increase(quorum[i], STALE);
		increase(HEARD(i, 0), STALE); increase(HEARD(i, 1), STALE); increase(HEARD(i, 2), STALE)
	fi;
#ifndef MUTANT_OLD_ACKS
	increase(ack[i], STALE)
#endif
}

inline applyChange(i) { d_step { holds[i] = true; reset(i) } }

#define ACKS ((ack[0] < STALE) + (ack[1] < STALE) + (ack[2] < STALE))

#ifdef MUTANT_ISOLATED_SERVES
#define SERVES(i) (initialized[i])
#else
#define SERVES(i) (initialized[i] && (tail[i] < STALE || quorum[i] < STALE))
#endif
#define SERVES_WITHOUT(i)  (!holds[i] && SERVES(i))

/* The log's response is evidence as of its request, when the change was not in the log. */
inline readTail(i) {
	d_step { tail[i] = 0; initialized[i] = true; tryInitialize(i) }
}

inline member(i, j, k) {
	if
	:: !holds[i] ->
		if
		:: !inLog -> readTail(i)
#ifdef MUTANT_TAIL_AT_ARRIVAL
		:: !inLog -> responsePending[i] = true
		:: responsePending[i] -> readTail(i)
#endif
#ifdef MUTANT_HEARD_AT_ARRIVAL
		:: delayed[i * N + j] -> d_step { HEARD(i, j) = 0; updateQuorum(i, j, k); tryInitialize(i) }
		:: delayed[i * N + k] -> d_step { HEARD(i, k) = 0; updateQuorum(i, j, k); tryInitialize(i) }
#endif
		:: !holds[j] -> receive(i, j, k)
		:: !holds[k] -> receive(i, k, j)
		:: inLog -> applyChange(i)
		fi
	:: holds[i] && !accepted -> ack[i] = 0               /* acknowledges the change */
	:: d_step { holds[i] = false; reset(i);              /* replaced by a member without state */
#ifdef MUTANT_SERVES_BEFORE_TAIL
		initialized[i] = true; start[i] = OLD; tail[i] = 0
#endif
	   }
	fi
}

inline accept() {
	d_step {
		accepted = 1; published = STALE;
		ack[0] = STALE; ack[1] = STALE; ack[2] = STALE
	}
}

active proctype system() {
	d_step {
		reset(0); reset(1); reset(2);
		ack[0] = STALE; ack[1] = STALE; ack[2] = STALE
	}
	do
	:: atomic { member(0, 1, 2) }
	:: atomic { member(1, 2, 0) }
	:: atomic { member(2, 0, 1) }
	:: !inLog -> inLog = true                                /* published */
	:: inLog && !accepted && ACKS == N -> accept()
#ifdef MUTANT_ACCEPTED_BY_ONE
	:: inLog && !accepted && published == STALE && ACKS >= 1 -> accept()
#else
	:: inLog && !accepted && published == STALE && ACKS >= MAJORITY -> accept()
#endif
#ifdef MUTANT_ACCEPTED_IN_LOG
	:: inLog && !accepted -> accept()
#endif
	:: d_step {                                          /* time passes */
		ageMember(0); ageMember(1); ageMember(2);
		if :: inLog -> increase(published, STALE) :: else -> skip fi;
		if :: accepted -> increase(accepted, 1 + STALE) :: else -> skip fi
	   }
	:: accepted == 1 + STALE && (SERVES_WITHOUT(0) || SERVES_WITHOUT(1) || SERVES_WITHOUT(2)) -> assert(false)
	od
}
