/*
 * Configuration log: every member reaches the same verdict on each change, also when
 * messages and records are lost.
 *
 * Publishers race: each takes the base of its change from some member at some time and
 * appends the change, possibly twice because the response to the first append was lost.
 * Members fold the log, append snapshots of their fold, load snapshots from the log and
 * from each other, and are replaced by members without state. The rules are those of
 * coord/config.
 *
 * Faults: the log is unavailable or a member is paused (no process has to take a step).
 * Responses of the log arrive at any time, repeatedly and in any order: a member may
 * receive any record and any snapshot that was ever appended, also after it expired. A
 * member's snapshot is in transit while that member continues or is replaced. The log
 * drops records up to any offset, so a member never relies on a record being present.
 *
 * Offsets start at 1; 0 means none.
 */
#ifndef RECORDS
#define RECORDS  5
#endif
#define MEMBERS  2
#define CHANGES  3
#define SNAPSHOT 4      /* kind of a snapshot record; 1..CHANGES are the ids of changes */

#define ACCEPTED 1
#define CONFLICT 2

/* A member's fold: the last offset, the offset of the list, and two bits for the verdict
 * on each change. */
byte applied[MEMBERS];
byte list[MEMBERS];
byte verdicts[MEMBERS];
#define VERDICT(v, id)      (((v) >> (2 * ((id) - 1))) & 3)
#define WITH_VERDICT(v, id, verdict) ((v) | ((verdict) << (2 * ((id) - 1))))

/* The log: a change record has a base, a snapshot record has a fold. */
byte end; /* offset of the last record */
byte kind[RECORDS + 1];
byte base[RECORDS + 1];
byte through[RECORDS + 1];
byte snapshot_list[RECORDS + 1];
byte snapshot_verdicts[RECORDS + 1];

/* A snapshot in transit between members. */
byte sent_through;
byte sent_list;
byte sent_verdicts;

byte chosen_base[CHANGES + 1]; /* the base a publisher chose, plus 1; 0 if none yet */

/* For the checks: the state after each offset, the verdict on each change, and the change
 * accepted on each base, as first reached by any member. */
bool seen[RECORDS + 1];
byte state_list[RECORDS + 1];
byte state_verdicts[RECORDS + 1];
byte verdict[CHANGES + 1];
byte accepted_change[RECORDS + 1];

inline check_agreement(m) {
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

inline decide(m, o, id, result) {
	verdicts[m] = WITH_VERDICT(verdicts[m], id, result);
	assert(verdict[id] == 0 || verdict[id] == result);
	verdict[id] = result;
	if
	:: result == ACCEPTED ->
		assert(accepted_change[base[o]] == 0 || accepted_change[base[o]] == id);
		accepted_change[base[o]] = id;
		list[m] = o
	:: else -> skip
	fi
}

/* Whether a member has already decided on the change in a record. */
#ifdef MUTANT_JUDGES_AGAIN
#define DECIDED(m, o) false
#else
#define DECIDED(m, o) (VERDICT(verdicts[m], kind[o]) != 0)
#endif

inline fold(m, o) {
	if
	:: kind[o] == SNAPSHOT
	:: kind[o] != SNAPSHOT && DECIDED(m, o)
	:: kind[o] != SNAPSHOT && !DECIDED(m, o) ->
		if
#ifdef MUTANT_NO_BASE_CHECK
		:: true -> decide(m, o, kind[o], ACCEPTED)
#else
		:: base[o] == list[m] -> decide(m, o, kind[o], ACCEPTED)
		:: else -> decide(m, o, kind[o], CONFLICT)
#endif
		fi
	fi;
	applied[m] = o;
	check_agreement(m)
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
		check_agreement(m)
	:: else -> skip
	fi
}

/* A member receives the next record, or another one, which it must ignore. */
inline receive(m, o) {
	if
	:: o == applied[m] + 1 -> fold(m, o)
#ifdef MUTANT_FOLDS_ACROSS_GAP
	/* The log reported that the records before o have expired. */
	:: o > applied[m] + 1 -> fold(m, o)
#endif
	:: else -> skip
	fi
}

inline read_snapshot(m, o) {
	if
	:: kind[o] == SNAPSHOT ->
		load(m, through[o], snapshot_list[o], snapshot_verdicts[o]);
#ifdef MUTANT_SNAPSHOT_NOT_COVERING
		/* Continues after a snapshot that does not reach the oldest record of the log. */
		if :: applied[m] < o -> applied[m] = o; check_agreement(m) :: else -> skip fi
#endif
	:: else -> skip
	fi
}

/* Publishers differ only in their id, so they choose their bases in the order of ids. */
inline publish(id) {
	if
	:: chosen_base[id] == 0 && (id == 1 || chosen_base[id - 1] != 0) -> chosen_base[id] = list[0] + 1
	:: chosen_base[id] == 0 && (id == 1 || chosen_base[id - 1] != 0) -> chosen_base[id] = list[MEMBERS - 1] + 1
	:: chosen_base[id] != 0 && end < RECORDS ->
		end++;
		kind[end] = id;
		base[end] = chosen_base[id] - 1
	fi
}

inline member(m) {
	if
	:: select(o : 1 .. RECORDS);
		if
		:: o <= end -> receive(m, o)
		:: o <= end -> read_snapshot(m, o)
		:: else -> skip
		fi;
		o = 0
	:: sent_through = applied[m]; sent_list = list[m]; sent_verdicts = verdicts[m]
	:: sent_through != 0 -> load(m, sent_through, sent_list, sent_verdicts)
	:: end < RECORDS && applied[m] ->
		end++;
		kind[end] = SNAPSHOT;
		through[end] = applied[m]; snapshot_list[end] = list[m]; snapshot_verdicts[end] = verdicts[m]
	:: applied[m] = 0; list[m] = 0; verdicts[m] = 0      /* replaced by a member without state */
	fi
}

active proctype system() {
	byte o;
	do
	:: atomic { member(0) }
	:: atomic { member(1) }
	:: atomic { publish(1) }
	:: atomic { publish(2) }
	:: atomic { publish(3) }
	od
}
