/*
 * Freshness by counts: a process that hears few members itself may continue to serve
 * because of counts that others made.
 *
 * spec/freshness.pml covers the majority that a process hears itself. Here counts of
 * distinct members by failure domain are passed on with the time as of which they are
 * valid, and a process adds them up. After "accepted", and once the freshness limit has
 * passed, no member may serve without the change. The rules are those of coord/fresh
 * (counts.go, naming.go).
 *
 * There are five members: entry 0 of domain A, entry 1 of domain B, agent 2, and two
 * entries ("the others") modeled as one block: both have the change or both lack it, and
 * they are not replaced. Three are a majority. A change is accepted on the acknowledgements
 * of the others and of entry 0 or 1, past the limit. After that the others alone prove
 * nothing, and counts must come from the three members, one of which has held the change.
 *
 * Either entry may count either domain at any time, and start a new count at any time. A
 * domain therefore has no fixed counting entry, and it may change at will. The agent is
 * counted with the entry that it names. A new agent names one at once, although it does
 * not know which one its predecessor named. It is counted only once it is initialized, by
 * evidence as of its start or later, or when its predecessor's naming is past the limit.
 *
 * Time is discrete, every time is kept as an age, and LIMIT is one tick, as in
 * spec/freshness.pml. Faults: the log is unavailable; messages are lost, delayed, repeated
 * and reordered; partitions, in which some members hear only each other; each of the three
 * members is replaced at any time by one without state, or is paused.
 *
 * Omitted without loss:
 * - A message is created and used in one step: a count in transit is equivalent to one
 *   that its receiver holds, since both are claims about the past. Counts of a sender that
 *   was replaced meanwhile are those that another entry copied before.
 * - A count is kept as the set of its members. Only their number is used, except to avoid
 *   adding a member twice to a count in progress. Adding a member to a count received from
 *   another entry is allowed here, although the code only has its number.
 * - Of a member that holds the change nothing else is kept. Members without the change
 *   accept nothing from it, because it has applied more.
 * - The agent's own evidence: it comes from an entry, which serves as long with it.
 * - While the others lack the change, nothing is accepted, and they or the log may give any
 *   member current evidence.
 */
#define LIMIT    1
#define STALE    (LIMIT + 1)      /* first age past the limit; also "never" */
#ifdef MUTANT_OLD_COUNT_SETTLES
#define KEPT     (STALE + 1)      /* first age at which a count is dropped */
#else
#define KEPT     STALE
#endif
#define OLD      (KEPT + LIMIT)   /* start age above which age makes no difference */
#define MAJORITY 3
#define AGENT    2

bool inLog;      /* the change is in the log */
bool othersHold; /* the others hold the change */
byte published;  /* age since it was in the log, up to STALE */
byte ack[2];     /* age of the acknowledgement of entry 0 or 1 that it holds the change */
byte accepted;   /* 0: not accepted; else 1 + age, up to 1 + STALE */

bool holds[3];
bool initialized[3];
byte start[3];    /* age of the process, up to OLD */
byte evidence[2]; /* age of an entry's newest evidence */

/* Counts at entry i, of domain d. Bit 0: the entry of d. Bit 1: the agent, which named
 * that entry. */
byte mask[4];
byte age[4]; /* age of its least recent message, up to KEPT; KEPT where mask is 0 */
#define AT(i, d) ((i) * 2 + (d))

byte named;    /* the entry that the agent named last; 2 for none */
byte namedAge; /* age of the naming, up to STALE */

#ifdef MUTANT_SAME_DOMAIN_SUMMED
byte mask2[4]; /* a second count of the same domain */
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

/* Resets a member's state except whether it holds the change. */
inline reset(i) {
	initialized[i] = false; start[i] = 0;
	if
	:: i < AGENT -> evidence[i] = STALE; dropCounts(i)
	:: else -> named = 2; namedAge = STALE
	fi
}

inline tryInitialize(i) {
	if
	:: !initialized[i] && evidence[i] < STALE && start[i] > evidence[i] + LIMIT -> initialized[i] = true
	:: else -> skip
	fi;
	if :: initialized[i] -> start[i] = OLD :: else -> skip fi
}

/* Entry i adds up its counts, one per domain, as of the oldest of them. */
inline addUp(i, sum, oldest) {
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
		tryInitialize(i)
	:: else -> skip
	fi;
	sum = 0; oldest = 0
}

/* Entry i counts members and receives counts; e is the other entry. */
inline exchangeCounts(i, e) {
	if
	/* Counts itself, and the other entry when it hears from it. */
	:: initialized[i] -> countMember(i, i, 1)
#ifdef MUTANT_COUNT_REPLACED
	:: !holds[e] -> countMember(i, e, 1)
#else
	:: !holds[e] && initialized[e] -> countMember(i, e, 1)
#endif
	/* Hears from the agent, which names entry i. */
	:: !holds[AGENT] && initialized[AGENT] &&
#ifdef MUTANT_NAMES_WITHOUT_WAIT
	   true ->
#else
	   (named == i || namedAge == STALE) ->
#endif
		d_step { named = i; namedAge = 0 };
		countMember(i, i, 2)
	/* Replaces its own counts by the other entry's. */
	:: !holds[e] && mask[AT(e, 0)] != 0 -> copyCount(i, e, 0)
	:: !holds[e] && mask[AT(e, 1)] != 0 -> copyCount(i, e, 1)
#ifdef MUTANT_HIGHER_OFFSET
	/* The other entry holds the change; the members it counts may hold it too. */
	:: holds[e] -> d_step { mask[AT(i, e)] = 1 + 2 * holds[AGENT]; age[AT(i, e)] = 0 }
#endif
	/* Copies the other entry's evidence. */
	:: !holds[e] && evidence[e] < STALE -> d_step { evidence[i] = MIN(evidence[i], evidence[e]); tryInitialize(i) }
	:: else -> skip
	fi;
	d_step { addUp(i, sum, oldest) }
}

/* A current message: adds a member to the count of domain d, or starts a new count. */
inline countMember(i, d, memberBit) {
	if
	:: mask[AT(i, d)] != 0 && (mask[AT(i, d)] & memberBit) == 0 -> mask[AT(i, d)] = mask[AT(i, d)] | memberBit
	:: d_step { mask[AT(i, d)] = memberBit; age[AT(i, d)] = 0 }
	fi
}

inline copyCount(i, e, d) {
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

inline initialize(i) { initialized[i] = true; start[i] = OLD }

inline increase(value, limit) {
	if :: value < limit -> value++ :: else -> skip fi
}

inline ageCount(c) {
	increase(age[c], KEPT);
	if :: age[c] == KEPT -> mask[c] = 0 :: else -> skip fi
#ifdef MUTANT_SAME_DOMAIN_SUMMED
	; increase(age2[c], KEPT);
	if :: age2[c] == KEPT -> mask2[c] = 0 :: else -> skip fi
#endif
}

inline ageMember(i) {
	if
	:: holds[i] -> skip
	:: else -> increase(start[i], OLD); if :: i < AGENT -> increase(evidence[i], STALE) :: else -> skip fi
	fi
}

inline applyChange(i) {
	d_step { holds[i] = true; reset(i) }
}

/* A new process on the VM has no state: it does not know which entry was named before. */
inline replace(i) {
	d_step {
		holds[i] = false;
		reset(i)
	}
}

#define SERVES(i) (initialized[i] && evidence[i] < STALE)
#define SERVES_WITHOUT(i)  (!holds[i] && SERVES(i))

inline accept() {
	d_step { accepted = 1; published = STALE; ack[0] = STALE; ack[1] = STALE }
}

active proctype system() {
	byte sum, oldest;
	d_step {
		reset(0); reset(1); reset(2);
		ack[0] = STALE; ack[1] = STALE
	}
	do
	:: atomic { !holds[0] -> exchangeCounts(0, 1) }
	:: atomic { !holds[1] -> exchangeCounts(1, 0) }
	/* The agent is initialized by evidence of an entry. */
	:: d_step { !initialized[AGENT] && !holds[AGENT] && !holds[0] && start[AGENT] > evidence[0] + LIMIT -> initialize(AGENT) }
	:: d_step { !initialized[AGENT] && !holds[AGENT] && !holds[1] && start[AGENT] > evidence[1] + LIMIT -> initialize(AGENT) }
	/* The log, or the others, give current evidence. */
	:: d_step { !othersHold && !holds[0] -> evidence[0] = 0; tryInitialize(0) }
	:: d_step { !inLog && !holds[0] -> evidence[0] = 0; initialize(0) }
	:: d_step { !othersHold && !holds[1] -> evidence[1] = 0; tryInitialize(1) }
	:: d_step { !inLog && !holds[1] -> evidence[1] = 0; initialize(1) }
	:: d_step { !othersHold && !initialized[AGENT] && !holds[AGENT] && start[AGENT] > LIMIT -> initialize(AGENT) }
	:: d_step { !inLog && !initialized[AGENT] && !holds[AGENT] -> initialize(AGENT) }
	:: !inLog -> inLog = true
	:: inLog && !othersHold -> othersHold = true
	:: inLog && !holds[0] -> applyChange(0)
	:: inLog && !holds[1] -> applyChange(1)
	:: inLog && !holds[AGENT] -> applyChange(AGENT)
	:: holds[0] && !accepted -> ack[0] = 0
	:: holds[1] && !accepted -> ack[1] = 0
	:: replace(0)
	:: replace(1)
	:: replace(AGENT)
	:: othersHold && !accepted && ack[0] < STALE && ack[1] < STALE -> accept()
	:: othersHold && !accepted && published == STALE && (ack[0] < STALE || ack[1] < STALE) -> accept()
	:: d_step {                                          /* time passes */
		ageMember(0); ageMember(1); ageMember(2);
		ageCount(0); ageCount(1); ageCount(2); ageCount(3);
		increase(namedAge, STALE);
		if :: namedAge == STALE -> named = 2 :: else -> skip fi;
		increase(ack[0], STALE); increase(ack[1], STALE);
		if :: inLog -> increase(published, STALE) :: else -> skip fi;
		if :: accepted -> increase(accepted, 1 + STALE) :: else -> skip fi
	   }
	:: accepted == 1 + STALE && (SERVES_WITHOUT(0) || SERVES_WITHOUT(1)) -> assert(false)
	od
}
