/*
 * Change of maps: every pass uses one expert map, on ranks that do not compare their maps. The
 * rules are those of coord/mapswitch.
 *
 * RANKS ranks run passes in lockstep. Two coordinators change the map; the second one starts at
 * any time, and the first does not learn of it. A coordinator reads the ranks one by one in any
 * order, decides by their state, and sends orders to the ranks one by one; anything may happen in
 * between. An order is executed and answered, is lost, or is executed at any later time. At most
 * LATE (0 or 1) late orders are in transit at a time. With FAR the state of rank 1 may come from
 * an indirect report, which is stale, and the coordinator knows that.
 *
 * Checked: no pass begins with different maps at two ranks.
 *
 * Ranks refuse orders with a fence lower than the highest they have seen (REFUSED). Coordinator c
 * creates the versions 2c+1 and 2c+2. A survey reads all ranks once and is followed by up to
 * ROUNDS rounds of orders, in which only the state of ranks that received an order is updated. A
 * coordinator may take over a version that all ranks have prepared as its target.
 *
 * Omitted: a failure of the group (a new epoch has map 0 and nothing prepared, armed or held, and
 * orders of another epoch have no effect there), and the time that a copy takes: a version is
 * prepared as soon as the order is executed. Both are in the simulation of coord/mapswitch.
 *
 * This file checks three ranks without late orders and one pass. mapswitch-late.pml has two ranks
 * with a late order and two passes, mapswitch-far.pml a rank with stale reports.
 */
#ifndef RANKS
#define RANKS 3     /* 2 or 3 */
#endif
#ifndef PASSES
#define PASSES 1    /* number of passes that can begin */
#endif
#ifndef ROUNDS
#define ROUNDS 2
#endif
#ifndef LATE
#define LATE 0
#endif
#ifndef VERSIONS
#define VERSIONS 1  /* versions that one coordinator can create, up to 2 */
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
	byte map;            /* version in use, 0 at the start */
	byte prep;           /* version whose copy is complete, NONE for none */
	byte armed;          /* version to change to, NONE for none */
	byte armedStep;      /* the pass at which it changes */
	byte held;           /* pass before which the rank holds the group, NONE for none */
	byte highestVersion;      /* highest version it has prepared */
	byte fence;          /* highest fence it has seen */
	byte mapCreator;     /* coordinator that created the map in use */
	byte nextCreator;    /* coordinator that created the prepared or armed map */
};
Rank rank[RANKS];
byte pass; /* the last pass that has begun */

/* The state of rank 1 at some earlier time, as others report it. */
byte oldMap, oldPrep, oldArmed, oldArmedStep, oldHeld;

/* The late order in transit. */
byte lateKind, lateRank, lateVersion, lateStep, lateBy;

bool secondStarted; /* the second coordinator has started */

/* Version n of coordinator c. With the mutant both coordinators create the same versions. */
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

/* execute has a rank execute an order of a coordinator; ok is whether the rank accepted it. */
inline execute(r, k, n, s, by) {
	ok = true;
	if
	:: REFUSED(r, by) -> ok = false
	:: else ->
		if :: rank[r].fence < by + 1 -> rank[r].fence = by + 1 :: else -> skip fi;
		if
		:: k == PREPARE ->
			if
			:: n > rank[r].highestVersion && rank[r].armed == NONE ->
				rank[r].highestVersion = n; rank[r].prep = n; rank[r].nextCreator = by
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

inline beginPass(r) {
	if
	:: rank[r].armed != NONE && rank[r].armedStep == pass ->
		rank[r].map = rank[r].armed; rank[r].mapCreator = rank[r].nextCreator;
		rank[r].armed = NONE; rank[r].armedStep = 0; rank[r].prep = NONE
	:: else -> skip
	fi
}

/* The group begins passes, late orders arrive, and the reported state of rank 1 is updated. */
active proctype Group() {
	bool ok;
end:	do
	:: atomic { pass < PASSES && rank[0].held != pass + 1 && rank[1].held != pass + 1 &&
			rank[RANKS-1].held != pass + 1 ->
			pass++; beginPass(0); beginPass(1);
#if RANKS > 2
			beginPass(2);
#endif
			assert(rank[0].map == rank[1].map && rank[0].mapCreator == rank[1].mapCreator);
			assert(rank[0].map == rank[RANKS-1].map && rank[0].mapCreator == rank[RANKS-1].mapCreator) }
#ifdef FAR
	:: d_step { rank[1].map != oldMap || rank[1].prep != oldPrep || rank[1].armed != oldArmed ||
			rank[1].armedStep != oldArmedStep || rank[1].held != oldHeld ->
			oldMap = rank[1].map; oldPrep = rank[1].prep; oldArmed = rank[1].armed;
			oldArmedStep = rank[1].armedStep; oldHeld = rank[1].held }
#endif
	:: atomic { lateKind != 0 ->
			execute(lateRank, lateKind, lateVersion, lateStep, lateBy);
			lateKind = 0; lateRank = 0; lateVersion = 0; lateStep = 0; lateBy = 0 }
	od
}

/* A coordinator's view of a rank. */
typedef View { byte map; byte prep; byte armed; byte armedStep; byte held };

inline readRank(r) {
	v[r].map = rank[r].map; v[r].prep = rank[r].prep; v[r].armed = rank[r].armed;
	v[r].armedStep = rank[r].armedStep; v[r].held = rank[r].held
}

inline readReport() {
	v[1].map = oldMap; v[1].prep = oldPrep; v[1].armed = oldArmed; v[1].armedStep = oldArmedStep; v[1].held = oldHeld
}

inline setOrder(q, k, n, s) {
	kind[q] = k; version[q] = n; step[q] = s
}

#define UPCOMING(r) (v[r].armed != NONE -> v[r].armed : (v[r].prep > v[r].map -> v[r].prep : NONE))

/* survey summarizes the views: the rank that holds the lowest pass, the rank armed for the
 * lowest pass, and whether a rank has had a version that the target does not exceed. */
inline survey() {
	earliestHold = RANKS; earliestArmed = RANKS; targetOutdated = false; targetInUse = true; claimMissing = false; prepared = true;
	for (i : 0 .. RANKS-1) {
		if :: v[i].held != NONE && (earliestHold == RANKS || v[i].held < v[earliestHold].held) -> earliestHold = i :: else -> skip fi;
		if :: v[i].armed != NONE && (earliestArmed == RANKS || v[i].armedStep < v[earliestArmed].armedStep) -> earliestArmed = i :: else -> skip fi;
		if :: target <= v[i].map || v[i].prep > target || (v[i].armed != NONE && v[i].armed >= target) -> targetOutdated = true :: else -> skip fi;
		if :: v[i].map != target -> targetInUse = false :: else -> skip fi;
		if :: v[i].prep != target -> prepared = false :: else -> skip fi;
		if :: !claimed[i] -> claimMissing = true :: else -> skip fi
	}
}

/* claimRanks has every rank refuse the previous coordinator from now on. */
inline claimRanks() {
	for (i : 0 .. RANKS-1) {
		if :: !claimed[i] -> setOrder(i, CLAIM, 0, 0) :: else -> skip fi
	}
}

/* armedWithoutHold handles ranks armed for a pass that no rank holds. */
inline armedWithoutHold() {
	same = true;
	for (i : 0 .. RANKS-1) {
		if
		:: v[i].armed == NONE && v[i].map == v[earliestArmed].armed -> skip
		:: v[i].armed == v[earliestArmed].armed && v[i].armedStep == v[earliestArmed].armedStep -> skip
		:: else -> same = false
		fi
	}
	if
	:: same -> skip
	:: else ->
		same = false; /* from here on: whether a hold was ordered */
		for (i : 0 .. RANKS-1) {
#ifdef MUTANT_DISARM_FREE
			if :: v[i].armed != NONE -> setOrder(i, DISARM, v[i].armed, 0) :: else -> skip fi
#else
			if :: !same && v[i].held == NONE -> setOrder(i, HOLD, 0, v[earliestArmed].armedStep); same = true :: else -> skip fi
#endif
		}
	fi
}

/* reconcile brings the ranks of a held group to the same prepared version. */
inline reconcile() {
	if
#ifndef MUTANT_LATE_DISARMS
	:: fromReport -> skip
#endif
	:: else ->
		for (i : 0 .. RANKS-1) {
			if
			:: v[i].armed != NONE -> setOrder(i, DISARM, v[i].armed, 0)
			:: v[i].armed == NONE && !targetOutdated && v[i].prep != target -> setOrder(i, PREPARE, target, 0)
			:: else -> skip
			fi
		}
		needsVersion = targetOutdated
	fi
}

/* armAndReleaseHold arms all ranks of a held group and then releases the hold. */
inline armAndReleaseHold() {
	upcoming = UPCOMING(0); same = (upcoming != NONE); armed = 0;
	for (i : 0 .. RANKS-1) {
		if
		:: UPCOMING(i) != upcoming || (v[i].armed != NONE && v[i].armedStep != v[earliestHold].held) -> same = false
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
			:: v[i].armed != NONE && !(i == 1 && fromReport) -> armed++
#endif
			:: else -> setOrder(i, ARM, upcoming, v[earliestHold].held)
			fi
		}
#ifdef MUTANT_GO_EARLY
		if :: armed > 0 -> setOrder(earliestHold, GO, 0, v[earliestHold].held) :: else -> skip fi
#else
		if :: armed == RANKS -> setOrder(earliestHold, GO, 0, v[earliestHold].held) :: else -> skip fi
#endif
	fi
}

/* prepareAndHold prepares the target and then holds the group before a later pass. */
inline prepareAndHold() {
	for (i : 0 .. RANKS-1) {
		if :: v[i].prep != target -> setOrder(i, PREPARE, target, 0) :: else -> skip fi
	}
	if :: prepared -> setOrder(0, HOLD, 0, lastPass + 1) :: else -> skip fi
}

/* decide models Machine.Decide: at most one order for each rank. */
inline decide() {
	d_step {
		survey();
		if
#ifndef MUTANT_NO_CLAIM
		:: claimMissing -> claimRanks()
#endif
		:: else ->
			if
			:: earliestArmed != RANKS && (earliestHold == RANKS || v[earliestArmed].armedStep < v[earliestHold].held) -> armedWithoutHold()
			:: !(earliestArmed != RANKS && (earliestHold == RANKS || v[earliestArmed].armedStep < v[earliestHold].held)) && earliestHold != RANKS -> armAndReleaseHold()
			:: else ->
				if
				:: targetInUse || targetOutdated -> needsVersion = true
				:: else -> prepareAndHold()
				fi
			fi
		fi;
		i = 0; earliestHold = 0; earliestArmed = 0; targetOutdated = false; targetInUse = false; claimMissing = false; prepared = false;
		same = false; armed = 0; upcoming = 0
	}
}

/* takeOver makes the version that all ranks have prepared the target. With the mutant one rank is
 * enough, and the other one is ordered to prepare it with another map. */
#ifdef MUTANT_TAKE_OVER_ANY
#define CAN_TAKE_OVER (v[0].prep > v[0].map && v[0].armed == NONE && v[0].held == NONE)
#else
#define CAN_TAKE_OVER (v[0].prep > v[0].map && v[1].prep == v[0].prep && v[RANKS-1].prep == v[0].prep && \
	v[1].prep > v[1].map && v[RANKS-1].prep > v[RANKS-1].map && !fromReport && \
	v[0].armed == NONE && v[1].armed == NONE && v[RANKS-1].armed == NONE && \
	v[0].held == NONE && v[1].held == NONE && v[RANKS-1].held == NONE)
#endif

/* send sends a rank its order, which is executed and answered, lost, or late. */
inline send(r) {
	if
	:: kind[r] == 0 -> skip
	:: else ->
		if
		:: atomic { execute(r, kind[r], version[r], step[r], c);
			if :: ok && kind[r] == CLAIM -> claimed[r] = true :: else -> skip fi;
			if
			:: ok && !(r == 1 && fromReport) -> readRank(r)
			:: ok && r == 1 && fromReport && kind[r] == ARM -> v[1].armed = version[1]; v[1].armedStep = step[1]; fromReport = false
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

/* A coordinator. It may stop at any time by sending no further orders. */
proctype Coordinator(byte c) {
	View v[RANKS];
	byte kind[RANKS], version[RANKS], step[RANKS];
	byte target, earliestHold, earliestArmed, armed, upcoming, rounds, versionsMade, lastPass, i;
	bool ok, fromReport, needsVersion, targetOutdated, targetInUse, claimMissing, prepared, same;
	bool claimed[RANKS], read[RANKS];
	versionsMade = 1;
	target = VERSION(c, 1);
end:	do
	:: true ->
		do
		:: atomic { !read[0] -> read[0] = true; readRank(0); if :: pass > lastPass -> lastPass = pass :: else -> skip fi }
		:: atomic { !read[1] -> read[1] = true; readRank(1); if :: pass > lastPass -> lastPass = pass :: else -> skip fi }
#ifdef FAR
		:: atomic { !read[1] -> read[1] = true; readReport(); fromReport = true }
#endif
#if RANKS > 2
		:: atomic { !read[2] -> read[2] = true; readRank(2); if :: pass > lastPass -> lastPass = pass :: else -> skip fi }
#endif
		:: atomic { read[0] && read[1] && read[RANKS-1] -> read[0] = false; read[1] = false; read[RANKS-1] = false } break
		od;
		if
		:: atomic { CAN_TAKE_OVER && target != v[0].prep -> target = v[0].prep }
		:: true -> skip
		fi;
		do
		:: rounds < ROUNDS ->
			rounds++;
			decide();
			if
			:: atomic { needsVersion && versionsMade < VERSIONS -> versionsMade++; target = VERSION(c, versionsMade) }
			:: else -> skip
			fi;
			needsVersion = false;
			send(0);
			send(1);
#if RANKS > 2
			send(2)
#endif
		:: break
		od;
		skip;
		d_step {
			rounds = 0; lastPass = 0; fromReport = false;
			for (i : 0 .. RANKS-1) {
				v[i].map = 0; v[i].prep = 0; v[i].armed = 0; v[i].armedStep = 0; v[i].held = 0
			}
			i = 0
		}
	:: atomic { c == 0 && !secondStarted -> secondStarted = true; run Coordinator(1) }
	od
}

init { run Coordinator(0) }
