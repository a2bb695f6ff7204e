/*
 * When may a process take new work, and when is a change accepted?
 *
 * N members follow one change, which is appended to the log at some time. After
 * "accepted", and once the freshness limit has passed, no member may serve without
 * the change. The rules are those of coord/fresh and of config.Acceptance.
 *
 * Time is discrete. Every time is kept as an age that stops counting at the first
 * value past the limit, so the model runs for ever in a finite space. LIMIT is one
 * tick. Two events of one tick may have come in either order, so where the code
 * compares exact times, the model asks for one tick more.
 *
 * Faults: the log is out (nobody need ever read it), an answer of the log comes at
 * any time after its request, messages are lost, delayed, repeated and reordered,
 * a member is replaced at any time by one that knows nothing, and a member is paused
 * (it need not take a step while time goes on).
 *
 * What was left out without loss:
 * - A message, or an answer of the log, is made and used in one step. Later use of
 *   the same message gives evidence as of the same time, so it allows nothing that
 *   this does not. The mutants in which the time of arrival counts keep it longer.
 * - Evidence that has no use any more is set to one value: quorum evidence that is no
 *   newer than tail evidence, the age of a process that has the configuration, words
 *   of members once the change is accepted.
 * - Of a member that holds the change nothing else is kept: only members without
 *   it can break the rule, and evidence of members that hold more never counts for
 *   them.
 * - Once the change is in the log, any member may learn of it at any time, from
 *   wherever.
 */
#define N        3
#define MAJORITY 2
#ifndef LIMIT
#define LIMIT    1
#endif
#define STALE    (LIMIT + 1)      /* first age past the limit; also "never" */
#define OLD      (2 * LIMIT + 1)  /* start age from which waiting longer changes nothing */

bool  log;              /* the change stands in the log */
byte  published;        /* age since then, up to STALE */
byte  ack[N];           /* age of the member's word that it holds the change */
byte  accepted;         /* 0: not yet; else 1 + age, up to 1 + STALE */

bool  holds[N];         /* has applied the change */
bool  initialized[N];
byte  start[N];         /* age of the process, up to OLD */
byte  tail[N];          /* age of the tail evidence */
byte  quorum[N];        /* age of the quorum evidence */
#ifdef MUTANT_TAIL_AT_ARRIVAL
bool  read[N];          /* an answer of the log, from before the change, is on its way */
#endif
#ifdef MUTANT_HEARD_AT_ARRIVAL
bool  kept[N * N];      /* a message from j to i, made before the change was accepted */
#endif
byte  heard[N * N];     /* age of what i last heard from j, initialized, without the change */

#define HEARD(i, j) heard[(i) * N + (j)]
#define MIN(a, b)   ((a) < (b) -> (a) : (b))
#define MAX(a, b)   ((a) > (b) -> (a) : (b))

/* Forgets all of a member but whether it holds the change. */
inline clear(i) {
	d_step {
		initialized[i] = false; start[i] = 0;
		tail[i] = STALE; quorum[i] = STALE;
#ifdef MUTANT_TAIL_AT_ARRIVAL
		read[i] = false;
#endif
#ifdef MUTANT_HEARD_AT_ARRIVAL
		kept[i * N] = false; kept[i * N + 1] = false; kept[i * N + 2] = false;
#endif
		HEARD(i, 0) = STALE; HEARD(i, 1) = STALE; HEARD(i, 2) = STALE
	}
}

/* Ends Starting, once the evidence is newer than any word of a predecessor. */
inline settle(i) {
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

/* Weighs what a member has heard: with itself, if initialized, it needs one more;
 * without, two. */
inline weigh(i, j, k) {
	if
	:: initialized[i] -> quorum[i] = MIN(quorum[i], MIN(HEARD(i, j), HEARD(i, k)))
	:: else           -> quorum[i] = MIN(quorum[i], MAX(HEARD(i, j), HEARD(i, k)))
	fi
}

/* i hears j: takes over its evidence and counts it for a majority. */
inline hear(i, j, k) {
	d_step {
		tail[i] = MIN(tail[i], tail[j]);
		quorum[i] = MIN(quorum[i], quorum[j]);
#ifdef MUTANT_AGE_NOT_ADDED
		if :: tail[j] < STALE -> tail[i] = 0 :: else -> skip fi;
#endif
		if
		:: initialized[j] -> HEARD(i, j) = 0
#ifdef MUTANT_HEARD_AT_ARRIVAL
			; kept[i * N + j] = true
#endif
#ifdef MUTANT_COUNT_REPLACED
		:: else -> HEARD(i, j) = 0
#else
		:: else -> skip
#endif
		fi;
		weigh(i, j, k);
		settle(i)
	}
}

inline older(age, most) {
	if :: age < most -> age++ :: else -> skip fi
}

inline tick(i) {
	if
	:: holds[i] -> skip
	:: else ->
		older(start[i], OLD); older(tail[i], STALE); older(quorum[i], STALE);
		older(HEARD(i, 0), STALE); older(HEARD(i, 1), STALE); older(HEARD(i, 2), STALE)
	fi;
#ifndef MUTANT_OLD_ACKS
	older(ack[i], STALE)
#endif
}

inline learn(i) { d_step { holds[i] = true; clear(i) } }

#define ACKS ((ack[0] < STALE) + (ack[1] < STALE) + (ack[2] < STALE))

#ifdef MUTANT_ISOLATED_SERVES
#define SERVES(i) (initialized[i])
#else
#define SERVES(i) (initialized[i] && (tail[i] < STALE || quorum[i] < STALE))
#endif
#define WRONG(i)  (!holds[i] && SERVES(i))

/* The log's answer tells of the time of the request, when the change was not in it. */
inline answer(i) {
	d_step { tail[i] = 0; initialized[i] = true; settle(i) }
}

inline member(i, j, k) {
	if
	:: !holds[i] ->
		if
		:: !log -> answer(i)
#ifdef MUTANT_TAIL_AT_ARRIVAL
		:: !log -> read[i] = true
		:: read[i] -> answer(i)
#endif
#ifdef MUTANT_HEARD_AT_ARRIVAL
		:: kept[i * N + j] -> d_step { HEARD(i, j) = 0; weigh(i, j, k); settle(i) }
		:: kept[i * N + k] -> d_step { HEARD(i, k) = 0; weigh(i, j, k); settle(i) }
#endif
		:: !holds[j] -> hear(i, j, k)
		:: !holds[k] -> hear(i, k, j)
		:: log -> learn(i)
		fi
	:: holds[i] && !accepted -> ack[i] = 0               /* says that it holds the change */
	:: d_step { holds[i] = false; clear(i);              /* replaced */
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

active proctype world() {
	d_step {
		clear(0); clear(1); clear(2);
		ack[0] = STALE; ack[1] = STALE; ack[2] = STALE
	}
	do
	:: atomic { member(0, 1, 2) }
	:: atomic { member(1, 2, 0) }
	:: atomic { member(2, 0, 1) }
	:: !log -> log = true                                /* published */
	:: log && !accepted && ACKS == N -> accept()
#ifdef MUTANT_ACCEPTED_BY_ONE
	:: log && !accepted && published == STALE && ACKS >= 1 -> accept()
#else
	:: log && !accepted && published == STALE && ACKS >= MAJORITY -> accept()
#endif
#ifdef MUTANT_ACCEPTED_IN_LOG
	:: log && !accepted -> accept()
#endif
	:: d_step {                                          /* time goes on */
		tick(0); tick(1); tick(2);
		if :: log -> older(published, STALE) :: else -> skip fi;
		if :: accepted -> older(accepted, 1 + STALE) :: else -> skip fi
	   }
	:: accepted == 1 + STALE && (WRONG(0) || WRONG(1) || WRONG(2)) -> assert(false)
	od
}
