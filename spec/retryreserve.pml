/*
 * Retry reserve: in any window, all entries together send at most RESERVE retries that are
 * paid for by the reserve, whatever starts, ends, is paused or is cut off.
 *
 * An entry reads the ledger in the store, decides on a claim of one token, and writes the
 * claims back if the ledger has not changed since. It may spend the token within LIFETIME
 * after the decision, and send the retry within LAG after that. A claim stands in the ledger
 * for COUNTS; its age is known from when an entry first read it and from the age that the
 * writer of the record knew. The rules are those of decide/retry.
 *
 * Time is discrete. Ages count ticks and stop at OLD. Any step takes any time, so that pauses,
 * cuts, slow calls and lost answers are delays. An entry may be replaced at any moment by a
 * process that knows nothing; the store may carry out a write of the old one later. An entry
 * that starts anew stands for one that joins, and one that does nothing for one that is gone.
 *
 * Checked: at each arrival the arrival RESERVE before it is more than a WINDOW old.
 *
 * Omitted without loss: claims of several tokens are several claims; tokens that are earned by
 * requests depend on no other entry, and do not touch the ledger.
 */
/* The number of writes; the mutants fail within three. */
#ifndef IDS
#ifdef MUTANT
#define IDS 3
#else
#define IDS 4
#endif
#endif
#define ENTRIES  2
#define RESERVE  2
#define WINDOW   1
#define LIFETIME 1
#define LAG      1
#ifdef MUTANT_COUNTS_FOR_WINDOW
#define COUNTS   WINDOW
#else
#define COUNTS   (WINDOW + LIFETIME + LAG)
#endif
#define OLD      (WINDOW + LIFETIME + LAG + 1)
#define UNKNOWN  255

/* The ledger: the IDs of the claims that stand there, 0 for none, and their ages as written. */
byte version;          /* number of writes; the claim of a write has its number */
byte claim[RESERVE];
byte written[RESERVE];

/* What an entry knows: the age of each claim since it first read it. */
byte known[ENTRIES * (IDS + 1)];
#define KNOWN(e, id) known[(e) * (IDS + 1) + (id)]

mtype = { idle, deciding, answered, spent };
mtype phase[ENTRIES] = idle;
byte age[ENTRIES];   /* since the decision, then since the token was spent */

/* The writes on their way: of each entry, and of one process that has ended (LATE). */
#define LATE ENTRIES
bool late;
byte readVersion[ENTRIES + 1];
byte newClaim[(ENTRIES + 1) * RESERVE];   /* the claims to write, without the own one */
byte newAge[(ENTRIES + 1) * RESERVE];

byte arrived[RESERVE] = OLD;        /* ages of the last arrivals, the newest first */

inline increase(a) { if :: a < OLD -> a++ :: else -> skip fi }

inline tick() {
	d_step {
		i = 0;
		do
		:: i < ENTRIES * (IDS + 1) ->
			if :: known[i] < OLD -> known[i]++ :: else -> skip fi;
			i++
		:: else -> break
		od;
		i = 0;
		do :: i < ENTRIES -> increase(age[i]); i++ :: else -> break od;
		i = 0;
		do :: i < RESERVE -> increase(arrived[i]); i++ :: else -> break od;
		i = 0
	}
}

inline clear(w) {
	readVersion[w] = 0;
	i = 0;
	do :: i < RESERVE -> newClaim[w * RESERVE + i] = 0; newAge[w * RESERVE + i] = 0; i++ :: else -> break od;
	i = 0
}

/* Entry e reads the ledger and decides. */
inline decide(e) {
	d_step {
		room = 0;
		i = 0;
		do
		:: i < RESERVE ->
			newClaim[e * RESERVE + i] = 0; newAge[e * RESERVE + i] = 0;
			if
			:: claim[i] == 0 -> room++
			:: else ->
				if
				:: KNOWN(e, claim[i]) == UNKNOWN ->
#ifdef MUTANT_UNKNOWN_IS_OLD
					KNOWN(e, claim[i]) = OLD
#else
					KNOWN(e, claim[i]) = written[i]
#endif
				:: else ->
					if
					:: KNOWN(e, claim[i]) < written[i] -> KNOWN(e, claim[i]) = written[i]
					:: else -> skip
					fi
				fi;
				if
				:: KNOWN(e, claim[i]) > COUNTS -> room++
				:: else ->
					newClaim[e * RESERVE + i] = claim[i];
					newAge[e * RESERVE + i] = KNOWN(e, claim[i])
				fi
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		if
		:: room > 0 -> phase[e] = deciding; readVersion[e] = version; age[e] = 0
		:: else -> skip
		fi;
		room = 0
	}
}

/* The store carries out write w: the claims that were kept, and a new one. */
inline store(w) {
	version++;
	i = 0;
	room = 0; /* 1 once the new claim stands */
	do
	:: i < RESERVE ->
		claim[i] = newClaim[w * RESERVE + i];
		written[i] = newAge[w * RESERVE + i];
		if
		:: claim[i] == 0 && room == 0 -> claim[i] = version; room = 1
		:: else -> skip
		fi;
		i++
	:: else -> break
	od;
	i = 0; room = 0
}

#ifdef MUTANT_NO_CONDITION
#define UNCHANGED(v) true
#else
#define UNCHANGED(v) ((v) == version)
#endif

inline write(e) {
	d_step {
		if
		:: UNCHANGED(readVersion[e]) -> store(e); phase[e] = answered
		:: else -> phase[e] = idle
		fi;
		clear(e)
	}
}

/* The answer of the store arrives, and the token is spent. */
inline spend(e) {
	d_step {
#ifdef MUTANT_LIFE_FROM_ANSWER
		age[e] = 0;
#endif
#ifdef MUTANT_TOKEN_KEPT
		if :: true -> phase[e] = spent; age[e] = 0 fi
#else
		if
		:: age[e] <= LIFETIME -> phase[e] = spent; age[e] = 0
		:: else -> phase[e] = idle
		fi
#endif
	}
}

inline send(e) {
	atomic {
		if
#ifndef MUTANT_SENT_LATE
		:: age[e] > LAG -> skip
#endif
		:: else ->
			assert(arrived[RESERVE - 1] > WINDOW);
			arrived[1] = arrived[0];
			arrived[0] = 0
		fi;
		phase[e] = idle
	}
}

/* The process of entry e ends, and another one starts. */
inline replace(e) {
	d_step {
		if
		:: phase[e] == deciding && !late ->
			late = true; readVersion[LATE] = readVersion[e];
			i = 0;
			do
			:: i < RESERVE ->
				newClaim[LATE * RESERVE + i] = newClaim[e * RESERVE + i];
				newAge[LATE * RESERVE + i] = newAge[e * RESERVE + i];
				i++
			:: else -> break
			od
		:: else -> skip
		fi;
		i = 1;
		do :: i <= IDS -> KNOWN(e, i) = UNKNOWN; i++ :: else -> break od;
		i = 0;
		clear(e);
		phase[e] = idle; age[e] = 0
	}
}

inline writeLate() {
	d_step {
		if
		:: UNCHANGED(readVersion[LATE]) -> store(LATE)
		:: else -> skip
		fi;
		late = false; clear(LATE)
	}
}

active proctype world() {
	byte i, room, e;
	d_step {
		i = 0;
		do :: i < ENTRIES * (IDS + 1) -> known[i] = UNKNOWN; i++ :: else -> break od;
		i = 0
	}
	do
	:: tick()
	:: late && version < IDS -> writeLate()
	:: atomic {
		if :: e = 0 :: e = 1 fi;
		if
		:: phase[e] == idle && version < IDS -> decide(e)
		:: phase[e] == deciding && version < IDS -> write(e)
		:: phase[e] == answered -> spend(e)
		:: phase[e] == spent -> send(e)
		:: replace(e)
		fi;
		e = 0
	}
	od
}
