/*
 * One expert map in every pass, on ranks that compare no maps: the rules of coord/mapswitch.
 *
 * RANKS ranks run passes in lock-step. Two coordinators change their map, the second one from
 * any moment on, while the first has not heard of it. A coordinator reads the ranks one by one,
 * in any order, decides by what it read, and orders the ranks one by one; anything may happen in
 * between. An order is carried out and answered, is lost, or is carried out at any later time;
 * at most LATE (0 or 1) of the late ones are on their way at a time. With FAR rank 1 may be asked
 * from afar: what it then tells is of some earlier moment, and the coordinator knows that.
 *
 * The claim: no pass begins with different maps at the two ranks.
 *
 * Ranks refuse orders with a fence lower than one they have seen (FENCED). Coordinator c makes
 * the versions 2c+1 and 2c+2. A look is one reading of both ranks and up to ROUNDS rounds of
 * orders, in which only the ranks that were ordered are known anew.
 *
 * What was left out: the group's breaking (a new epoch has map 0 and nothing prepared, armed or
 * held, and orders of another epoch do nothing there), and that a copy takes time: a version is
 * prepared as soon as the order is carried out. Both are in the simulation of coord/mapswitch.
 *
 * Checked here: three ranks without late orders and one pass. mapswitch-late.pml has two ranks
 * with a late order and two passes, mapswitch-far.pml a rank that is asked from afar.
 */
#ifndef RANKS
#define RANKS 3     /* 2 or 3 */
#endif
#ifndef PASSES
#define PASSES 1    /* passes that can begin */
#endif
#ifndef ROUNDS
#define ROUNDS 2
#endif
#ifndef LATE
#define LATE 0
#endif
#ifndef VERSIONS
#define VERSIONS 1  /* that one coordinator can make, up to 2 */
#endif
#define NONE 0

/* Kinds of orders. */
#define PREPARE 1
#define HOLD    2
#define ARM     3
#define DISARM  4
#define GO      5
#define CLAIM   6

typedef Rank {
	byte map;       /* version in use, 0 at the start */
	byte prep;      /* version whose copy is complete, NONE for none */
	byte armed;     /* version to change to, NONE for none */
	byte armedStep; /* with this pass */
	byte held;      /* pass that the rank holds the group at, NONE for none */
	byte high;      /* highest version it had */
	byte fence;     /* highest that it has seen */
	byte content;   /* who made the map in use, and the prepared or armed one */
	byte next;
};
Rank rank[RANKS];
byte pass;          /* the last one begun */

/* What was told of rank 1 at some earlier moment. */
byte oldMap, oldPrep, oldArmed, oldArmedStep, oldHeld;

/* Orders on their way. */
byte lateKind, lateRank, lateVersion, lateStep, lateBy;

bool second;        /* the second coordinator has begun */

/* Version n of coordinator c. With the mutant both make the same ones. */
#ifdef MUTANT_SHARED_VERSIONS
#define VERSION(c, n) (n)
#else
#define VERSION(c, n) (2 * (c) + (n))
#endif

#ifdef MUTANT_UNFENCED
#define REFUSED(r, c) false
#else
#define REFUSED(r, c) ((c) + 1 < rank[r].fence)
#endif

/* carry has a rank carry out an order of coordinator c; ok says whether it took it. */
inline carry(r, k, n, s, by) {
	ok = true;
	if
	:: REFUSED(r, by) -> ok = false
	:: else ->
		if :: rank[r].fence < by + 1 -> rank[r].fence = by + 1 :: else -> skip fi;
		if
		:: k == PREPARE ->
			if
			:: n > rank[r].high && rank[r].armed == NONE ->
				rank[r].high = n; rank[r].prep = n; rank[r].next = by
			:: else -> ok = (rank[r].prep == n)
			fi
		:: k == HOLD ->
			if
			:: rank[r].held == NONE && s > pass -> rank[r].held = s
			:: else -> ok = false
			fi
		:: k == ARM ->
			if
			:: rank[r].armed != NONE -> ok = (rank[r].armed == n && rank[r].armedStep == s)
			:: rank[r].armed == NONE && rank[r].prep == n && s > pass ->
				rank[r].armed = n; rank[r].armedStep = s
			:: else -> ok = false
			fi
		:: k == DISARM ->
			if
			:: rank[r].map == n -> ok = false
			:: rank[r].map != n && rank[r].armed == n -> rank[r].armed = NONE; rank[r].armedStep = 0
			:: else -> skip
			fi
		:: k == GO ->
			if
			:: rank[r].held == s -> rank[r].held = NONE
			:: else -> skip
			fi
		:: k == CLAIM -> skip
		fi
	fi
}

inline enter(r) {
	if
	:: rank[r].armed != NONE && rank[r].armedStep == pass ->
		rank[r].map = rank[r].armed; rank[r].content = rank[r].next;
		rank[r].armed = NONE; rank[r].armedStep = 0; rank[r].prep = NONE
	:: else -> skip
	fi
}

/* The group begins its passes, late orders arrive, and what is told from afar ages. */
active proctype World() {
	bool ok;
end:	do
	:: atomic { pass < PASSES && rank[0].held != pass + 1 && rank[1].held != pass + 1 &&
			rank[RANKS-1].held != pass + 1 ->
			pass++; enter(0); enter(1);
#if RANKS > 2
			enter(2);
#endif
			assert(rank[0].map == rank[1].map && rank[0].content == rank[1].content);
			assert(rank[0].map == rank[RANKS-1].map && rank[0].content == rank[RANKS-1].content) }
#ifdef FAR
	:: d_step { rank[1].map != oldMap || rank[1].prep != oldPrep || rank[1].armed != oldArmed ||
			rank[1].armedStep != oldArmedStep || rank[1].held != oldHeld ->
			oldMap = rank[1].map; oldPrep = rank[1].prep; oldArmed = rank[1].armed;
			oldArmedStep = rank[1].armedStep; oldHeld = rank[1].held }
#endif
	:: atomic { lateKind != 0 ->
			carry(lateRank, lateKind, lateVersion, lateStep, lateBy);
			lateKind = 0; lateRank = 0; lateVersion = 0; lateStep = 0; lateBy = 0 }
	od
}

/* What a coordinator knows of a rank. */
typedef View { byte map; byte prep; byte armed; byte armedStep; byte held };

inline look(r) {
	v[r].map = rank[r].map; v[r].prep = rank[r].prep; v[r].armed = rank[r].armed;
	v[r].armedStep = rank[r].armedStep; v[r].held = rank[r].held
}

inline lookFar() {
	v[1].map = oldMap; v[1].prep = oldPrep; v[1].armed = oldArmed; v[1].armedStep = oldArmedStep; v[1].held = oldHeld
}

inline put(q, k, n, s) {
	kind[q] = k; version[q] = n; step[q] = s
}

#define UPCOMING(r) (v[r].armed != NONE -> v[r].armed : (v[r].prep > v[r].map -> v[r].prep : NONE))

/* survey sums up what was read: who holds the lowest pass, who is armed for the lowest, and
 * whether a rank has had a version that the target is not higher than. */
inline survey() {
	holder = RANKS; first = RANKS; overtaken = false; using = true; unclaimed = false; prepared = true;
	for (i : 0 .. RANKS-1) {
		if :: v[i].held != NONE && (holder == RANKS || v[i].held < v[holder].held) -> holder = i :: else -> skip fi;
		if :: v[i].armed != NONE && (first == RANKS || v[i].armedStep < v[first].armedStep) -> first = i :: else -> skip fi;
		if :: target <= v[i].map || v[i].prep > target || (v[i].armed != NONE && v[i].armed >= target) -> overtaken = true :: else -> skip fi;
		if :: v[i].map != target -> using = false :: else -> skip fi;
		if :: v[i].prep != target -> prepared = false :: else -> skip fi;
		if :: !claimed[i] -> unclaimed = true :: else -> skip fi
	}
}

/* claim has every rank refuse the coordinator before. */
inline claim() {
	for (i : 0 .. RANKS-1) {
		if :: !claimed[i] -> put(i, CLAIM, 0, 0) :: else -> skip fi
	}
}

/* armedWithoutHold watches over ranks that are armed for a pass at which nothing holds. */
inline armedWithoutHold() {
	same = true;
	for (i : 0 .. RANKS-1) {
		if
		:: v[i].armed == NONE && v[i].map == v[first].armed -> skip
		:: v[i].armed == v[first].armed && v[i].armedStep == v[first].armedStep -> skip
		:: else -> same = false
		fi
	}
	if
	:: same -> skip
	:: else ->
		same = false; /* somebody holds now */
		for (i : 0 .. RANKS-1) {
#ifdef MUTANT_DISARM_FREE
			if :: v[i].armed != NONE -> put(i, DISARM, v[i].armed, 0) :: else -> skip fi
#else
			if :: !same && v[i].held == NONE -> put(i, HOLD, 0, v[first].armedStep); same = true :: else -> skip fi
#endif
		}
	fi
}

/* reconcile brings the ranks of a held group to one prepared version. */
inline reconcile() {
	if
#ifndef MUTANT_LATE_DISARMS
	:: far -> skip
#endif
	:: else ->
		for (i : 0 .. RANKS-1) {
			if
			:: v[i].armed != NONE -> put(i, DISARM, v[i].armed, 0)
			:: v[i].armed == NONE && !overtaken && v[i].prep != target -> put(i, PREPARE, target, 0)
			:: else -> skip
			fi
		}
		renew = overtaken
	fi
}

/* finish arms all ranks of a held group, and lets go. */
inline finish() {
	upcoming = UPCOMING(0); same = (upcoming != NONE); armed = 0;
	for (i : 0 .. RANKS-1) {
		if
		:: UPCOMING(i) != upcoming || (v[i].armed != NONE && v[i].armedStep != v[holder].held) -> same = false
		:: else -> skip
		fi
	}
	if
	:: !same -> reconcile()
	:: else ->
		for (i : 0 .. RANKS-1) {
			if
#ifdef MUTANT_LATE_COUNTS
			:: v[i].armed != NONE -> armed++
#else
			:: v[i].armed != NONE && !(i == 1 && far) -> armed++
#endif
			:: else -> put(i, ARM, upcoming, v[holder].held)
			fi
		}
#ifdef MUTANT_GO_EARLY
		if :: armed > 0 -> put(holder, GO, 0, v[holder].held) :: else -> skip fi
#else
		if :: armed == RANKS -> put(holder, GO, 0, v[holder].held) :: else -> skip fi
#endif
	fi
}

/* begin prepares the target, and then holds the group ahead. */
inline begin() {
	for (i : 0 .. RANKS-1) {
		if :: v[i].prep != target -> put(i, PREPARE, target, 0) :: else -> skip fi
	}
	if :: prepared -> put(0, HOLD, 0, seen + 1) :: else -> skip fi
}

/* decide is Machine.Next: at most one order for each rank. */
inline decide() {
	d_step {
		survey();
		if
#ifndef MUTANT_NO_CLAIM
		:: unclaimed -> claim()
#endif
		:: else ->
			if
			:: first != RANKS && (holder == RANKS || v[first].armedStep < v[holder].held) -> armedWithoutHold()
			:: !(first != RANKS && (holder == RANKS || v[first].armedStep < v[holder].held)) && holder != RANKS -> finish()
			:: else ->
				if
				:: using || overtaken -> renew = true
				:: else -> begin()
				fi
			fi
		fi;
		i = 0; holder = 0; first = 0; overtaken = false; using = false; unclaimed = false; prepared = false;
		same = false; armed = 0; upcoming = 0
	}
}

/* give gives the order for a rank: carried out and answered, lost, or late. */
inline give(r) {
	if
	:: kind[r] == 0 -> skip
	:: else ->
		if
		:: atomic { carry(r, kind[r], version[r], step[r], c);
			if :: ok && kind[r] == CLAIM -> claimed[r] = true :: else -> skip fi;
			if
			:: ok && !(r == 1 && far) -> look(r)
			:: ok && r == 1 && far && kind[r] == ARM -> v[1].armed = version[1]; v[1].armedStep = step[1]; far = false
			:: else -> skip
			fi;
			ok = false; kind[r] = 0; version[r] = 0; step[r] = 0 }
		:: atomic { true -> kind[r] = 0; version[r] = 0; step[r] = 0 }
#if LATE
		:: atomic { lateKind == 0 -> lateKind = kind[r]; lateRank = r; lateVersion = version[r];
			lateStep = step[r]; lateBy = c; kind[r] = 0; version[r] = 0; step[r] = 0 }
#endif
		fi
	fi
}

/* A coordinator. It may end at any moment, by giving no further order. */
proctype Coordinator(byte c) {
	View v[RANKS];
	byte kind[RANKS], version[RANKS], step[RANKS];
	byte target, holder, first, armed, upcoming, rounds, made, seen, i;
	bool ok, far, renew, overtaken, using, unclaimed, prepared, same;
	bool claimed[RANKS], read[RANKS];
	made = 1;
	target = VERSION(c, 1);
end:	do
	:: true ->
		do
		:: atomic { !read[0] -> read[0] = true; look(0); if :: pass > seen -> seen = pass :: else -> skip fi }
		:: atomic { !read[1] -> read[1] = true; look(1); if :: pass > seen -> seen = pass :: else -> skip fi }
#ifdef FAR
		:: atomic { !read[1] -> read[1] = true; lookFar(); far = true }
#endif
#if RANKS > 2
		:: atomic { !read[2] -> read[2] = true; look(2); if :: pass > seen -> seen = pass :: else -> skip fi }
#endif
		:: atomic { read[0] && read[1] && read[RANKS-1] -> read[0] = false; read[1] = false; read[RANKS-1] = false } break
		od;
		do
		:: rounds < ROUNDS ->
			rounds++;
			decide();
			if
			:: atomic { renew && made < VERSIONS -> made++; target = VERSION(c, made) }
			:: else -> skip
			fi;
			renew = false;
			give(0);
			give(1);
#if RANKS > 2
			give(2)
#endif
		:: break
		od;
		skip;
		d_step {
			rounds = 0; seen = 0; far = false;
			for (i : 0 .. RANKS-1) {
				v[i].map = 0; v[i].prep = 0; v[i].armed = 0; v[i].armedStep = 0; v[i].held = 0
			}
			i = 0
		}
	:: atomic { c == 0 && !second -> second = true; run Coordinator(1) }
	od
}

init { run Coordinator(0) }
