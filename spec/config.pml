/*
 * One verdict on each change, at every member, whatever was lost.
 *
 * Publishers race: each takes the base for its change from some member, at some
 * time, and appends the change, perhaps twice because the answer to the first append
 * was lost. Members fold the log; they append snapshots of their fold, load
 * snapshots from the log and from each other, and are replaced by members that know
 * nothing. The rules are those of coord/config.
 *
 * Faults: the log is out or a member paused (nobody need take a step), answers of
 * the log come at any time (a member may get any record, and any snapshot, that was
 * ever appended, also after it expired), twice and in any order; a snapshot of a
 * member is on its way while that member goes on or is replaced; the log drops
 * records up to any offset. So a member never relies on a record still being there.
 *
 * Offsets count from 1 here; 0 stands for nothing.
 */
#ifndef RECORDS
#define RECORDS  5
#endif
#define MEMBERS  2
#define CHANGES  3
#define SNAPSHOT 4      /* kind of a record; 1..CHANGES is the id of a change */

#define ACCEPTED 1
#define CONFLICT 2

/* A member's fold: the last offset, the offset of the list, and for each change two
 * bits that hold its verdict. */
byte applied[MEMBERS];
byte list[MEMBERS];
byte verdicts[MEMBERS];
#define VERDICT(v, id)      (((v) >> (2 * ((id) - 1))) & 3)
#define WITH(v, id, verdict) ((v) | ((verdict) << (2 * ((id) - 1))))

/* The log: change records have a base, snapshots a fold. */
byte end;               /* offset of the last record */
byte kind[RECORDS + 1];
byte base[RECORDS + 1];
byte through[RECORDS + 1];
byte slist[RECORDS + 1];
byte sverdicts[RECORDS + 1];

/* A snapshot on its way between members. */
byte sent_through;
byte sent_list;
byte sent_verdicts;

byte chosen[CHANGES + 1]; /* the base a publisher chose, plus 1; 0 for not yet */

/* What is checked: the state after each offset, the verdict on each change, and the
 * winner on each base, as first seen by any member. */
bool seen[RECORDS + 1];
byte state_list[RECORDS + 1];
byte state_verdicts[RECORDS + 1];
byte verdict[CHANGES + 1];
byte winner[RECORDS + 1];

inline check(m) {
	if
	:: applied[m] && !seen[applied[m]] ->
		seen[applied[m]] = true;
		state_list[applied[m]] = list[m];
		state_verdicts[applied[m]] = verdicts[m]
	:: applied[m] && seen[applied[m]] ->
		assert(state_list[applied[m]] == list[m]);
		assert(state_verdicts[applied[m]] == verdicts[m])
	:: else -> skip
	fi
}

inline judge(m, o, id, result) {
	verdicts[m] = WITH(verdicts[m], id, result);
	assert(verdict[id] == 0 || verdict[id] == result);
	verdict[id] = result;
	if
	:: result == ACCEPTED ->
		assert(winner[base[o]] == 0 || winner[base[o]] == id);
		winner[base[o]] = id;
		list[m] = o
	:: else -> skip
	fi
}

/* Whether a member has given its verdict on the change in a record. */
#ifdef MUTANT_JUDGES_AGAIN
#define KNOWN(m, o) false
#else
#define KNOWN(m, o) (VERDICT(verdicts[m], kind[o]) != 0)
#endif

inline fold(m, o) {
	if
	:: kind[o] == SNAPSHOT
	:: kind[o] != SNAPSHOT && KNOWN(m, o)
	:: kind[o] != SNAPSHOT && !KNOWN(m, o) ->
		if
#ifdef MUTANT_NO_BASE_CHECK
		:: true -> judge(m, o, kind[o], ACCEPTED)
#else
		:: base[o] == list[m] -> judge(m, o, kind[o], ACCEPTED)
		:: else -> judge(m, o, kind[o], CONFLICT)
#endif
		fi
	fi;
	applied[m] = o;
	check(m)
}

inline load(m, t, l, v) {
#ifdef MUTANT_LOADS_OLDER
	if
	:: t != applied[m] ->
#else
	if
	:: t > applied[m] ->
#endif
		assert(t >= applied[m]);
		applied[m] = t;
		list[m] = l;
#ifdef MUTANT_SNAPSHOT_WITHOUT_VERDICTS
		verdicts[m] = 0;
#else
		verdicts[m] = v;
#endif
		check(m)
	:: else -> skip
	fi
}

/* The next record, or one that is not the next and must be ignored. */
inline receive(m, o) {
	if
	:: o == applied[m] + 1 -> fold(m, o)
#ifdef MUTANT_FOLDS_ACROSS_GAP
	/* The log said that what comes before o has expired. */
	:: o > applied[m] + 1 -> fold(m, o)
#endif
	:: else -> skip
	fi
}

inline readsnapshot(m, o) {
	if
	:: kind[o] == SNAPSHOT ->
		load(m, through[o], slist[o], sverdicts[o]);
#ifdef MUTANT_SNAPSHOT_NOT_COVERING
		/* Goes on behind a snapshot that does not reach up to what the log holds. */
		if :: applied[m] < o -> applied[m] = o; check(m) :: else -> skip fi
#endif
	:: else -> skip
	fi
}

/* Publishers differ in nothing but their id, so they choose in the order of ids. */
inline publish(id) {
	if
	:: chosen[id] == 0 && (id == 1 || chosen[id - 1] != 0) -> chosen[id] = list[0] + 1
	:: chosen[id] == 0 && (id == 1 || chosen[id - 1] != 0) -> chosen[id] = list[MEMBERS - 1] + 1
	:: chosen[id] != 0 && end < RECORDS ->
		end++;
		kind[end] = id;
		base[end] = chosen[id] - 1
	fi
}

inline member(m) {
	if
	:: select(o : 1 .. RECORDS);
		if
		:: o <= end -> receive(m, o)
		:: o <= end -> readsnapshot(m, o)
		:: else -> skip
		fi;
		o = 0
	:: sent_through = applied[m]; sent_list = list[m]; sent_verdicts = verdicts[m]
	:: sent_through != 0 -> load(m, sent_through, sent_list, sent_verdicts)
	:: end < RECORDS && applied[m] ->
		end++;
		kind[end] = SNAPSHOT;
		through[end] = applied[m]; slist[end] = list[m]; sverdicts[end] = verdicts[m]
	:: applied[m] = 0; list[m] = 0; verdicts[m] = 0      /* replaced */
	fi
}

active proctype world() {
	byte o;
	do
	:: atomic { member(0) }
	:: atomic { member(1) }
	:: atomic { publish(1) }
	:: atomic { publish(2) }
	:: atomic { publish(3) }
	od
}
