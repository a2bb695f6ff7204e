/*
 * Reports: "in force" is true when an entry relies on the reports of other entries.
 *
 * A follower states "in force" once no agent of its list of VMs is missing. It does not
 * hear the agent itself. One of two other entries, the agent's reporter, hears it and
 * reports that all of its agents hold the change except the missing ones. The assignment of
 * reporters follows from the list of VMs, and lists differ. The rules are those of
 * coord/config (reporters.go, acceptance.go).
 *
 * Checked: an agent of the follower's list counts as holding the change only if the
 * process on its VM held it within the limit. A process that has replaced it since is
 * covered by spec/freshness.pml, as for agents heard directly.
 *
 * There is one agent. What is concluded about one agent does not depend on others, except
 * for the age of a report, which another agent can only increase; here it increases at
 * will. List 0 lacks the agent, list 1 assigns it to entry 0, list 2 to entry 1. Each
 * process uses any list at any time. A report carries its list, as it carries the hash in
 * the code.
 *
 * Time is discrete, every time is kept as an age, and LIMIT is two ticks, so that half of
 * it is one tick. Faults: the agent is replaced by processes without the change, and an
 * entry keeps the last message of an old link until it detects at any time that the link
 * is dead; an entry does not hear the agent; reports are lost or delayed by any time. One
 * report per entry is in transit, since a link keeps the order. A report is dated by a time
 * before which it was not sent: that of the heartbeat before it.
 *
 * Omitted without loss:
 * - A report that names the agent as missing revokes the acknowledgement from the same
 *   entry. It may or may not revoke one from the other entry, whatever their ages, and it
 *   prevents nothing else.
 * - A report by a list that assigns the agent to another entry has no content for it and
 *   is not created.
 */
#define LIMIT 2
#define STALE (LIMIT + 1)   /* first age past the limit; also "never" */
#define HALF  (LIMIT / 2)
#define NONE  2             /* no entry */

#define IS_REPORTER(l, e) ((l) == (e) + 1)

bool holds;   /* the process on the agent's VM holds the change */
byte heldAge; /* age of the last time it did, up to STALE */

byte list[3]; /* of entry 0, entry 1 and the follower */

bool toldHolds[2]; /* the agent's last message to an entry: it holds the change */
byte toldAge[2];   /* age of that message, up to STALE; STALE where it is false */

bool sent[2];       /* a report of the entry is in transit */
byte reportList[2]; /* list that the report was created with */
bool missing[2];    /* the report names the agent as missing */
byte reportAge[2];  /* age of the report, including its oldest message, up to STALE */

bool ack;     /* the follower counts the agent as holding the change */
byte ackAge;  /* age of the acknowledgement; STALE without one */
byte ackFrom; /* the entry that reported it; NONE without one */

#define RECENTLY_HELD(e) (toldHolds[e] && toldAge[e] <= HALF)

inline increase(a) { if :: a < STALE -> a++ :: else -> skip fi }

/* The agent tells an entry whether it holds the change. */
inline hearAgent(e) {
	d_step {
#ifdef MUTANT_ANY_OFFSET
		toldHolds[e] = true; toldAge[e] = 0
#else
		toldHolds[e] = holds;
		if :: holds -> toldAge[e] = 0 :: else -> toldAge[e] = STALE fi
#endif
	}
}

inline dropReport(e) { sent[e] = false; reportList[e] = 0; missing[e] = false; reportAge[e] = 0 }
inline dropAck() { ack = false; ackAge = STALE; ackFrom = NONE }
inline setAck(e, a) {
	if
	:: a < STALE -> ack = true; ackAge = a; ackFrom = e
	:: else -> dropAck()
	fi
}

inline createReport(e) {
	d_step {
		sent[e] = true; reportList[e] = list[e];
		missing[e] = IS_REPORTER(list[e], e) && !RECENTLY_HELD(e);
#ifndef MUTANT_NO_AGE
		if :: IS_REPORTER(list[e], e) && RECENTLY_HELD(e) -> reportAge[e] = toldAge[e] :: else -> skip fi
#endif
	}
}

inline deliverReport(e) {
	atomic {
		if
#ifdef MUTANT_OTHER_LIST
		:: !IS_REPORTER(list[2], e) -> skip
#else
		:: reportList[e] != list[2] -> skip
#endif
		:: else ->
			/* A later report of an entry replaces its earlier one. */
			if
			:: missing[e] -> dropAck()
			:: missing[e] && ackFrom != e -> skip
#ifdef MUTANT_DATED_AT_ARRIVAL
			:: !missing[e] -> setAck(e, 0)
#else
			:: !missing[e] && (ackFrom == e || reportAge[e] <= ackAge) -> setAck(e, reportAge[e])
#endif
			:: else -> skip
			fi
		fi;
		dropReport(e)
	}
}

inline ageEntry(e) {
	increase(toldAge[e]);
	if :: toldAge[e] == STALE -> toldHolds[e] = false :: else -> skip fi;
	if :: sent[e] && !missing[e] -> increase(reportAge[e]) :: else -> skip fi
}

/* The follower uses another list. The state of a VM that is not in it is dropped. */
inline setFollowerList(l) {
	d_step {
		list[2] = l;
		if :: l == 0 -> dropAck() :: else -> skip fi
	}
}

inline ageAck() {
#ifdef MUTANT_NO_LAPSE
	if :: ackAge < LIMIT -> ackAge++ :: else -> skip fi
#else
	increase(ackAge);
	if :: ackAge == STALE -> dropAck() :: else -> skip fi
#endif
}

#ifdef MUTANT_OTHER_LIST
#define MAY_REPORT(e) true
#else
#define MAY_REPORT(e) IS_REPORTER(list[e], e)
#endif

active proctype system() {
	d_step { heldAge = STALE; ackAge = STALE; toldAge[0] = STALE; toldAge[1] = STALE; ackFrom = NONE }
	do
	:: d_step { !holds -> holds = true; heldAge = 0 }
	:: holds -> holds = false                                /* replaced by a process without it */
	:: hearAgent(0)
	:: hearAgent(1)
	:: d_step { toldHolds[0] -> toldHolds[0] = false; toldAge[0] = STALE } /* the link is found dead */
	:: d_step { toldHolds[1] -> toldHolds[1] = false; toldAge[1] = STALE }
	:: list[0] = 0 :: list[0] = 1 :: list[0] = 2
	:: list[1] = 0 :: list[1] = 1 :: list[1] = 2
	:: setFollowerList(0) :: setFollowerList(1) :: setFollowerList(2)
	:: !sent[0] && MAY_REPORT(0) -> createReport(0)
	:: !sent[1] && MAY_REPORT(1) -> createReport(1)
	:: sent[0] -> deliverReport(0)
	:: sent[1] -> deliverReport(1)
	:: d_step { sent[0] -> dropReport(0) }
	:: d_step { sent[1] -> dropReport(1) }
	/* The heartbeat before a report, or another agent's message, is older than the report. */
	:: sent[0] && !missing[0] && reportAge[0] < STALE -> reportAge[0]++
	:: sent[1] && !missing[1] && reportAge[1] < STALE -> reportAge[1]++
	:: d_step {                                              /* time passes */
		if :: holds -> heldAge = 0 :: else -> increase(heldAge) fi;
		ageEntry(0); ageEntry(1);
		ageAck()
	   }
	:: ack && heldAge == STALE -> assert(false)
	od
}
