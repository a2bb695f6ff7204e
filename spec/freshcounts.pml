/*
 * May a process that hears few members itself go on, by counts that others made?
 *
 * spec/freshness.pml has the majority that a process hears itself. Here counts of
 * distinct members, by failure domain, are passed on with the time as of which they
 * hold, and a process takes their sum. After "accepted", and once the freshness limit
 * has passed, no member may serve without the change. The rules are those of
 * coord/fresh (counts.go, naming.go).
 *
 * Five members: entry 0 of domain A, entry 1 of domain B, agent 2, and two entries
 * ("the rest") that are one block here: both have the change or both lack it, and they
 * are not replaced. Three are a majority. A change is accepted on the words of the rest
 * and of entry 0 or 1, past the limit; so after that the rest alone can prove nothing,
 * and what counts show must come from the three, one of which has held the change.
 *
 * Either entry may count either domain, at any time, and begin anew at any time: so a
 * domain has no counter of its own, and changes it whenever it likes. The agent is
 * counted with the entry that it names. A new agent names one at once, though it does
 * not know whom its predecessor named: it is counted only once initialized, on evidence
 * as of its start or later, or when the predecessor's word is past the limit.
 *
 * Time is discrete, every time is kept as an age, and LIMIT is one tick, as in
 * spec/freshness.pml. Faults: the log is out; messages are lost, delayed, repeated and
 * reordered; islands, in which some hear only each other; each of the three is replaced
 * at any time by one that knows nothing, or stands still.
 *
 * What was left out without loss:
 * - A message is made and used in one step, for a count on its way is as good as one
 *   that its taker holds: it is a claim about the past. Counts of a sender that was
 *   replaced meanwhile are those which another took before.
 * - A count is kept as the set of its members. Only their number is used, but for not
 *   adding a member twice to a count that is being made; and adding one to a count that
 *   came from another is allowed here, though the code has only its number.
 * - Of a member that holds the change nothing else is kept. Others without it take
 *   nothing from it: it has applied more.
 * - The agent's own evidence: it comes from an entry, which serves as long with it.
 * - While the rest lack the change, nothing is accepted, and they, or the log, may give
 *   anybody evidence as of now.
 */
#define LIMIT    1
#define STALE    (LIMIT + 1)      /* first age past the limit; also "never" */
#ifdef MUTANT_OLD_COUNT_SETTLES
#define KEPT     (STALE + 1)      /* first age at which a count is let go */
#else
#define KEPT     STALE
#endif
#define OLD      (KEPT + LIMIT)   /* start age from which waiting longer changes nothing */
#define MAJORITY 3
#define AGENT    2

bool log;               /* the change stands in the log */
bool rest;              /* the rest hold it */
byte published;         /* age since it was in the log, up to STALE */
byte ack[2];            /* age of the word of entry 0 or 1 that it holds the change */
byte accepted;          /* 0: not yet; else 1 + age, up to 1 + STALE */

bool holds[3];
bool initialized[3];
byte start[3];          /* age of the process, up to OLD */
byte evidence[2];       /* age of an entry's newest evidence */

/* Counts: at entry i, of domain d. Bit 1: the entry of d. Bit 2: the agent, which
 * named that entry. */
byte mask[4];
byte age[4];            /* of the oldest word in it, up to KEPT, where mask is 0 */
#define AT(i, d) ((i) * 2 + (d))

byte named;             /* the entry that the agent named last, 2 for none */
byte said;              /* age of that, up to STALE */

#ifdef MUTANT_SAME_DOMAIN_SUMMED
byte mask2[4];          /* a second count of the same domain */
byte age2[4];
#endif

#define MIN(a, b)   ((a) < (b) -> (a) : (b))
#define MAX(a, b)   ((a) > (b) -> (a) : (b))
#define SIZE(m)     (((m) & 1) + ((m) >> 1))

inline dropCount(c) { mask[c] = 0; age[c] = KEPT }

inline dropCounts(i) {
	dropCount(AT(i, 0)); dropCount(AT(i, 1))
#ifdef MUTANT_SAME_DOMAIN_SUMMED
	; mask2[AT(i, 0)] = 0; age2[AT(i, 0)] = KEPT; mask2[AT(i, 1)] = 0; age2[AT(i, 1)] = KEPT
#endif
}

/* Forgets all of a member but whether it holds the change. */
inline clear(i) {
	initialized[i] = false; start[i] = 0;
	if
	:: i < AGENT -> evidence[i] = STALE; dropCounts(i)
	:: else -> named = 2; said = STALE
	fi
}

inline settle(i) {
	if
	:: !initialized[i] && evidence[i] < STALE && start[i] > evidence[i] + LIMIT -> initialized[i] = true
	:: else -> skip
	fi;
	if :: initialized[i] -> start[i] = OLD :: else -> skip fi
}

/* Entry i adds up its counts, one of each domain, as of the oldest. */
inline weigh(i, sum, oldest) {
	sum = SIZE(mask[AT(i, 0)]) + SIZE(mask[AT(i, 1)]);
#ifdef MUTANT_NEWEST_TIME
	oldest = MIN(age[AT(i, 0)], age[AT(i, 1)]);
#else
	oldest = 0;
	if :: mask[AT(i, 0)] != 0 -> oldest = MAX(oldest, age[AT(i, 0)]) :: else -> skip fi;
	if :: mask[AT(i, 1)] != 0 -> oldest = MAX(oldest, age[AT(i, 1)]) :: else -> skip fi;
#endif
#ifdef MUTANT_SAME_DOMAIN_SUMMED
	sum = sum + SIZE(mask2[AT(i, 0)]) + SIZE(mask2[AT(i, 1)]);
	if :: mask2[AT(i, 0)] != 0 -> oldest = MAX(oldest, age2[AT(i, 0)]) :: else -> skip fi;
	if :: mask2[AT(i, 1)] != 0 -> oldest = MAX(oldest, age2[AT(i, 1)]) :: else -> skip fi;
#endif
	if
	:: sum >= MAJORITY ->
		evidence[i] = MIN(evidence[i], MIN(oldest, STALE));
#ifdef MUTANT_OLD_COUNT_SETTLES
		if :: start[i] > oldest + LIMIT -> initialized[i] = true :: else -> skip fi;
#endif
		settle(i)
	:: else -> skip
	fi;
	sum = 0; oldest = 0
}

/* What entry i may do with others: e is the other entry. */
inline counting(i, e) {
	if
	/* Counts itself, and the other entry, when it hears it. */
	:: initialized[i] -> word(i, i, 1)
#ifdef MUTANT_COUNT_REPLACED
	:: !holds[e] -> word(i, e, 1)
#else
	:: !holds[e] && initialized[e] -> word(i, e, 1)
#endif
	/* Hears the agent, which names it. */
	:: !holds[AGENT] && initialized[AGENT] &&
#ifdef MUTANT_NAMES_WITHOUT_WAIT
	   true ->
#else
	   (named == i || said == STALE) ->
#endif
		d_step { named = i; said = 0 };
		word(i, i, 2)
	/* Takes the other's counts in place of its own. */
	:: !holds[e] && mask[AT(e, 0)] != 0 -> take(i, e, 0)
	:: !holds[e] && mask[AT(e, 1)] != 0 -> take(i, e, 1)
#ifdef MUTANT_HIGHER_OFFSET
	/* The other holds the change; those it counts, itself and the agent, may too. */
	:: holds[e] -> d_step { mask[AT(i, e)] = 1 + 2 * holds[AGENT]; age[AT(i, e)] = 0 }
#endif
	/* And its evidence. */
	:: !holds[e] && evidence[e] < STALE -> d_step { evidence[i] = MIN(evidence[i], evidence[e]); settle(i) }
	:: else -> skip
	fi;
	d_step { weigh(i, sum, oldest) }
}

/* A word of now: added to the count of domain d, or the first of a new count. */
inline word(i, d, who) {
	if
	:: mask[AT(i, d)] != 0 && (mask[AT(i, d)] & who) == 0 -> mask[AT(i, d)] = mask[AT(i, d)] | who
	:: d_step { mask[AT(i, d)] = who; age[AT(i, d)] = 0 }
	fi
}

inline take(i, e, d) {
	d_step {
#ifdef MUTANT_SAME_DOMAIN_SUMMED
		mask2[AT(i, d)] = mask[AT(e, d)]; age2[AT(i, d)] = age[AT(e, d)]
#else
#ifdef MUTANT_COUNT_AT_ARRIVAL
		mask[AT(i, d)] = mask[AT(e, d)]; age[AT(i, d)] = 0
#else
		mask[AT(i, d)] = mask[AT(e, d)]; age[AT(i, d)] = age[AT(e, d)]
#endif
#endif
	}
}

inline begin(i) { initialized[i] = true; start[i] = OLD }

inline older(a, most) {
	if :: a < most -> a++ :: else -> skip fi
}

inline olderCount(c) {
	older(age[c], KEPT);
	if :: age[c] == KEPT -> mask[c] = 0 :: else -> skip fi
#ifdef MUTANT_SAME_DOMAIN_SUMMED
	; older(age2[c], KEPT);
	if :: age2[c] == KEPT -> mask2[c] = 0 :: else -> skip fi
#endif
}

inline olderMember(i) {
	if
	:: holds[i] -> skip
	:: else -> older(start[i], OLD); if :: i < AGENT -> older(evidence[i], STALE) :: else -> skip fi
	fi
}

inline learn(i) {
	d_step { holds[i] = true; clear(i) }
}

/* A new process on the VM: it knows nothing, not even whom its predecessor named. */
inline replace(i) {
	d_step {
		holds[i] = false;
		clear(i)
	}
}

#define SERVES(i) (initialized[i] && evidence[i] < STALE)
#define WRONG(i)  (!holds[i] && SERVES(i))

inline accept() {
	d_step { accepted = 1; published = STALE; ack[0] = STALE; ack[1] = STALE }
}

active proctype world() {
	byte sum, oldest;
	d_step {
		clear(0); clear(1); clear(2);
		ack[0] = STALE; ack[1] = STALE
	}
	do
	:: atomic { !holds[0] -> counting(0, 1) }
	:: atomic { !holds[1] -> counting(1, 0) }
	/* The agent is initialized by evidence of an entry. */
	:: d_step { !initialized[AGENT] && !holds[AGENT] && !holds[0] && start[AGENT] > evidence[0] + LIMIT -> begin(AGENT) }
	:: d_step { !initialized[AGENT] && !holds[AGENT] && !holds[1] && start[AGENT] > evidence[1] + LIMIT -> begin(AGENT) }
	/* The log, or the rest, give evidence as of now. */
	:: d_step { !rest && !holds[0] -> evidence[0] = 0; settle(0) }
	:: d_step { !log && !holds[0] -> evidence[0] = 0; begin(0) }
	:: d_step { !rest && !holds[1] -> evidence[1] = 0; settle(1) }
	:: d_step { !log && !holds[1] -> evidence[1] = 0; begin(1) }
	:: d_step { !rest && !initialized[AGENT] && !holds[AGENT] && start[AGENT] > LIMIT -> begin(AGENT) }
	:: d_step { !log && !initialized[AGENT] && !holds[AGENT] -> begin(AGENT) }
	:: !log -> log = true
	:: log && !rest -> rest = true
	:: log && !holds[0] -> learn(0)
	:: log && !holds[1] -> learn(1)
	:: log && !holds[AGENT] -> learn(AGENT)
	:: holds[0] && !accepted -> ack[0] = 0
	:: holds[1] && !accepted -> ack[1] = 0
	:: replace(0)
	:: replace(1)
	:: replace(AGENT)
	:: rest && !accepted && ack[0] < STALE && ack[1] < STALE -> accept()
	:: rest && !accepted && published == STALE && (ack[0] < STALE || ack[1] < STALE) -> accept()
	:: d_step {                                          /* time goes on */
		olderMember(0); olderMember(1); olderMember(2);
		olderCount(0); olderCount(1); olderCount(2); olderCount(3);
		older(said, STALE);
		if :: said == STALE -> named = 2 :: else -> skip fi;
		older(ack[0], STALE); older(ack[1], STALE);
		if :: log -> older(published, STALE) :: else -> skip fi;
		if :: accepted -> older(accepted, 1 + STALE) :: else -> skip fi
	   }
	:: accepted == 1 + STALE && (WRONG(0) || WRONG(1)) -> assert(false)
	od
}
