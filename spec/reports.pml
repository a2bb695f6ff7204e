/*
 * Is "in force" true when an entry goes by what others report?
 *
 * A follower tells "in force" once no agent of its list of VMs is missing. It does not
 * hear the agent itself; one of two other entries, the agent's reporter, hears it and
 * reports "all of mine hold the change, but these". Who reports follows from the list of
 * VMs, and lists differ. The rules are those of coord/config (reporters.go, acceptance.go).
 *
 * The claim: an agent of the follower's list counts as holding the change only if the
 * process on its VM held it within the limit. What a process does that has replaced it
 * since is the matter of spec/freshness.pml, as for words heard directly.
 *
 * One agent: what is taken of one does not depend on others, but for the age of a report,
 * which another can only make older; it is made older here at will. List 0 lacks the agent,
 * list 1 has it at entry 0, list 2 at entry 1. Each process takes any list at any time. A
 * report carries its list, as the hash does in the code.
 *
 * Time is discrete, every time is kept as an age, and LIMIT is two ticks, so that half of
 * it is one. Faults: the agent is replaced by processes without the change, and an entry
 * keeps the last word of an old link until it finds it dead, at any time; an entry does not
 * hear the agent; reports are lost, or late by any time; one of each entry is on its way,
 * for a link keeps the order. A report is dated by a time before which it was not sent:
 * that of the heartbeat before it.
 *
 * What was left out without loss:
 * - A report that names the agent missing takes away the word of the same entry; that of
 *   another it may take away or not, whatever their ages, and it stands in nobody's way.
 * - A report by a list that gives the agent to another entry says nothing, and is not made.
 */
#define LIMIT 2
#define STALE (LIMIT + 1)   /* first age past the limit; also "never" */
#define HALF  (LIMIT / 2)
#define NONE  2             /* no entry */

#define REPORTS(l, e) ((l) == (e) + 1)

bool holds;        /* the process on the agent's VM holds the change */
byte held;         /* age of when it last did, up to STALE */

byte list[3];      /* of entry 0, entry 1, the follower */

bool word[2];      /* the agent's last word at an entry: it holds the change */
byte said[2];      /* age of that, up to STALE, where word is false */

bool sent[2];      /* a report of the entry is on its way */
byte by[2];        /* with this list */
bool missing[2];   /* it names the agent */
byte age[2];       /* its age, with that of the oldest word in it, up to STALE */

bool ack;          /* the follower takes the agent to hold the change */
byte ackAge;       /* age of that, STALE where it does not */
byte ackBy;        /* the entry that said so, NONE where it does not */

#define SHOWS(e) (word[e] && said[e] <= HALF)

inline older(a) { if :: a < STALE -> a++ :: else -> skip fi }

/* The agent tells an entry whether it holds the change. */
inline hear(e) {
	d_step {
#ifdef MUTANT_ANY_OFFSET
		word[e] = true; said[e] = 0
#else
		word[e] = holds;
		if :: holds -> said[e] = 0 :: else -> said[e] = STALE fi
#endif
	}
}

inline drop(e) { sent[e] = false; by[e] = 0; missing[e] = false; age[e] = 0 }
inline forget() { ack = false; ackAge = STALE; ackBy = NONE }
inline take(e, a) {
	if
	:: a < STALE -> ack = true; ackAge = a; ackBy = e
	:: else -> forget()
	fi
}

inline report(e) {
	d_step {
		sent[e] = true; by[e] = list[e];
		missing[e] = REPORTS(list[e], e) && !SHOWS(e);
#ifndef MUTANT_NO_AGE
		if :: REPORTS(list[e], e) && SHOWS(e) -> age[e] = said[e] :: else -> skip fi
#endif
	}
}

inline deliver(e) {
	atomic {
		if
#ifdef MUTANT_OTHER_LIST
		:: !REPORTS(list[2], e) -> skip
#else
		:: by[e] != list[2] -> skip
#endif
		:: else ->
			/* A later report of an entry takes the place of its earlier one. */
			if
			:: missing[e] -> forget()
			:: missing[e] && ackBy != e -> skip
#ifdef MUTANT_DATED_AT_ARRIVAL
			:: !missing[e] -> take(e, 0)
#else
			:: !missing[e] && (ackBy == e || age[e] <= ackAge) -> take(e, age[e])
#endif
			:: else -> skip
			fi
		fi;
		drop(e)
	}
}

inline olderEntry(e) {
	older(said[e]);
	if :: said[e] == STALE -> word[e] = false :: else -> skip fi;
	if :: sent[e] && !missing[e] -> older(age[e]) :: else -> skip fi
}

/* The follower's list. A VM that leaves it is let go of. */
inline follower(l) {
	d_step {
		list[2] = l;
		if :: l == 0 -> forget() :: else -> skip fi
	}
}

inline lapse() {
#ifdef MUTANT_NO_LAPSE
	if :: ackAge < LIMIT -> ackAge++ :: else -> skip fi
#else
	older(ackAge);
	if :: ackAge == STALE -> forget() :: else -> skip fi
#endif
}

#ifdef MUTANT_OTHER_LIST
#define MAKES(e) true
#else
#define MAKES(e) REPORTS(list[e], e)
#endif

active proctype world() {
	d_step { held = STALE; ackAge = STALE; said[0] = STALE; said[1] = STALE; ackBy = NONE }
	do
	:: d_step { !holds -> holds = true; held = 0 }
	:: holds -> holds = false                                /* replaced */
	:: hear(0)
	:: hear(1)
	:: d_step { word[0] -> word[0] = false; said[0] = STALE } /* the link is found dead */
	:: d_step { word[1] -> word[1] = false; said[1] = STALE }
	:: list[0] = 0 :: list[0] = 1 :: list[0] = 2
	:: list[1] = 0 :: list[1] = 1 :: list[1] = 2
	:: follower(0) :: follower(1) :: follower(2)
	:: !sent[0] && MAKES(0) -> report(0)
	:: !sent[1] && MAKES(1) -> report(1)
	:: sent[0] -> deliver(0)
	:: sent[1] -> deliver(1)
	:: d_step { sent[0] -> drop(0) }
	:: d_step { sent[1] -> drop(1) }
	/* The heartbeat before a report is older than it, or another agent's word is. */
	:: sent[0] && !missing[0] && age[0] < STALE -> age[0]++
	:: sent[1] && !missing[1] && age[1] < STALE -> age[1]++
	:: d_step {                                              /* time goes on */
		if :: holds -> held = 0 :: else -> older(held) fi;
		olderEntry(0); olderEntry(1);
		lapse()
	   }
	:: ack && held == STALE -> assert(false)
	od
}
