/*
 * Callers' own keys: whatever entries press one key, it is bound to one ticket for as
 * long as its binding is held.
 *
 * One key and a stream of bindings. Entries read the stream record by record, each in its
 * own time, and forget all when replaced. One that finds the key unbound appends a
 * binding of a ticket of its own, with its base: what it has read. The append lands
 * later, in any order with others, also when its entry is replaced meanwhile; or never;
 * and the entry cannot tell. An entry uses the ticket of the binding that its fold holds,
 * and no other. The stream forgets its oldest records, and bindings are let go by
 * records. A record is "old" when it is as old as bindings are held; only old ones are
 * forgotten or released, in order. The ticket of an old record has expired: its agent
 * does not run it. A request that came before a record was old, and finds it gone, was
 * dropped by patience; so that each append is for a request that came after all that was
 * old at its base.
 *
 * The bound on room is in it as a request that is refused: an entry need not append. Two
 * entries may judge differently at any time. What stands in the stream every fold takes.
 *
 * Checked: of two tickets that ran, the earlier one's record was old when the later one's
 * entry took its base; and two entries that have read the same agree on the key.
 *
 * Bounds: 2 entries with one append under way each, LEN records of which EXPIRED may be
 * forgotten, any number of replacements of one entry.
 * Each MUTANT_x leaves one safeguard out; the checker must find an error with it.
 */

#ifndef LEN
#define LEN 4
#endif
#ifndef EXPIRED
#define EXPIRED 2
#endif
#define ENTRIES 2
#define NONE 15

/* The stream: base and release of each record; a record has the ticket of its offset. */
byte n = 0;                 /* records landed */
byte first = 0;             /* oldest kept */
byte old = 0;               /* records below are old */
byte base[LEN];
byte rel[LEN];              /* bindings below are let go */
bool binds[LEN];            /* a binding of the key, or a release */
byte oldAtBase[LEN];        /* what was old when the base was taken */
bool ran[LEN];

/* An entry's fold. */
byte next[ENTRIES];
byte floor[ENTRIES];
byte held[ENTRIES];         /* offset of the binding held, or NONE */
bool unsure[ENTRIES];
byte released[ENTRIES];     /* bindings below were let go */

/* Appends under way, one an entry; they outlive the entry. */
bool flying[ENTRIES];
bool fBinds[ENTRIES];
byte fBase[ENTRIES];
byte fRel[ENTRIES];
byte fOld[ENTRIES];

#ifdef MUTANT_OWN_TICKET
byte mine[ENTRIES];
#endif

#ifdef ASKED
byte told = NONE;           /* a binding on its way to another entry that asked */
#endif

/* Proven: nothing that is not old can be missing below the floor. */
#ifdef MUTANT_NO_PROOF
#define proven(e) (true)
#else
#define proven(e) (floor[e] == 0 || floor[e] < old)
#endif

#ifdef MUTANT_RELEASE_YOUNG
#define youngest(e) (next[e])
#else
#define youngest(e) (old)
#endif

inline runTicket(t) {
  /* An agent that has died, or refuses, does nothing. */
  if
#ifdef MUTANT_TICKET_OUTLIVES
  :: !ran[t] ->
#else
  :: !ran[t] && t >= old ->
#endif
     ran[t] = true;
     k = 0;
     do
     :: k < n ->
        if
        :: k < t && ran[k] -> assert(k < oldAtBase[t])
        :: k > t && ran[k] -> assert(false)
        :: else -> skip
        fi;
        k++
     :: else -> break
     od;
     k = 0
  :: true -> skip
  fi
}

inline restart(e, at) {
  next[e] = at;
  floor[e] = at;
  held[e] = NONE;
  unsure[e] = false;
  released[e] = 0
}

/* apply takes the next record into a fold. */
inline apply(e) {
  r = next[e];
  next[e]++;
  if
  :: held[e] != NONE && held[e] < rel[r] -> held[e] = NONE; unsure[e] = false
  :: else -> skip
  fi;
  if
  :: rel[r] > released[e] -> released[e] = rel[r]
  :: else -> skip
  fi;
#ifdef MUTANT_FOLD_BOUNDS
  /* A fold drops what it counts as past the bound: record 2, while it holds one of
     another key from record 0. One that began after that does not count it. */
  over = floor[e] == 0 && released[e] == 0 && r == 2;
#endif
  if
  :: !binds[r] -> skip
#ifdef MUTANT_FOLD_BOUNDS
  :: binds[r] && over -> skip
#endif
#ifndef MUTANT_BASE_RELEASED
  :: binds[r] && base[r] < released[e] -> skip
#endif
#ifdef MUTANT_LAST_WINS
#elif defined(MUTANT_NO_BASE)
  :: binds[r] && base[r] >= released[e] && held[e] != NONE -> skip
#else
  :: binds[r] && base[r] >= released[e] && held[e] != NONE && held[e] >= base[r] ->
     if
     :: unsure[e] -> held[e] = r
     :: else -> skip
     fi
#endif
  :: else ->
     held[e] = r;
#ifdef MUTANT_NEVER_UNSURE
     unsure[e] = false
#else
     unsure[e] = base[r] < floor[e]
#endif
  fi;
  r = 0
}

proctype Entry(byte e) {
  byte r = 0, k = 0;
#ifdef MUTANT_FOLD_BOUNDS
  bool over = false;
#endif
end:
  do
  /* Reads one record, or learns that it has expired. */
  :: atomic { next[e] < n && next[e] >= first -> apply(e) }
  :: atomic { next[e] < first ->
#ifdef MUTANT_FOLDS_ACROSS_GAP
     next[e] = first
#else
     restart(e, first)
#endif
     }
  /* A request whose key is unbound: an append begins. */
  :: atomic { !flying[e] && proven(e) && n < LEN && held[e] == NONE ->
       flying[e] = true;
       fBinds[e] = true;
#ifdef MUTANT_BASE_NOT_READ
       fBase[e] = n;
#else
       fBase[e] = next[e];
#endif
       fOld[e] = old
     }
  /* An append of other keys, that releases some of the records that the entry has read
     and knows for old, in order. (The code's records can do both, the same as one after
     the other.) */
  :: atomic { !flying[e] && proven(e) && n < LEN && next[e] > 0 ->
       flying[e] = true;
       do
       :: fRel[e] < next[e] && fRel[e] < youngest(e) -> fRel[e]++
       :: break
       od
     }
  /* A request whose key is bound: its ticket is used. */
  :: atomic { held[e] != NONE && !unsure[e] && proven(e) -> runTicket(held[e]) }
#ifdef ASKED
  /* Another entry asked what the key is bound to. The answer goes out, */
  :: atomic { told == NONE && held[e] != NONE && !unsure[e] && proven(e) -> told = held[e] }
  /* and arrives at any later time, or its asker has given up. */
  :: atomic { told != NONE -> runTicket(told); told = NONE }
#ifdef MUTANT_ASKED_EARLY
  /* The binder answers with what it is about to append. */
  :: atomic { told == NONE && flying[e] && fBinds[e] && n < LEN -> told = n }
#endif
#endif
  /* Replaced by one without memory; its append stays under way. The other entry only
     falls behind: the two are alike. */
  :: atomic { e == 1 && next[e] > 0 ->
       restart(e, 0)
#ifdef MUTANT_OWN_TICKET
       ; mine[e] = NONE
#endif
     }
#ifdef MUTANT_OWN_TICKET
  /* The entry uses the ticket of its own append, before it has read so far. */
  :: atomic { mine[e] != NONE -> runTicket(mine[e]); mine[e] = NONE }
#endif
  od
}

inline drop(x) {
  flying[x] = false;
  fBinds[x] = false;
  fBase[x] = 0;
  fRel[x] = 0;
  fOld[x] = 0
}

/* The stream. */
proctype Stream() {
  byte e = 0;
end:
  do
  :: atomic { n < LEN && (flying[0] || flying[1]) ->
       if
       :: flying[0] -> e = 0
       :: flying[1] -> e = 1
       fi;
       base[n] = fBase[e];
       rel[n] = fRel[e];
       binds[n] = fBinds[e];
       oldAtBase[n] = fOld[e];
#ifdef MUTANT_OWN_TICKET
       if
       :: fBinds[e] -> mine[e] = n
       :: else -> skip
       fi;
#endif
       n++;
       drop(e);
       e = 0
     }
  /* An append is lost. */
  :: atomic { flying[0] -> drop(0) }
  :: atomic { flying[1] -> drop(1) }
  /* Time passes. No append can follow the last record, so it need not grow old. */
  :: atomic { old < n && old < LEN - 1 -> old++ }
  /* The stream may keep less than it should: proof is by the oldest record left. */
  :: atomic { first < n && first < EXPIRED -> first++ }
  od
}

/* Two folds at one place that are sure of the key agree on its ticket. */
proctype Same() {
end:
  atomic { next[0] == next[1] && proven(0) && proven(1) &&
           held[0] != NONE && held[1] != NONE && !unsure[0] && !unsure[1] &&
           held[0] != held[1] ->
    assert(false)
  }
}

init {
  atomic {
    held[0] = NONE;
    held[1] = NONE;
#ifdef MUTANT_OWN_TICKET
    mine[0] = NONE;
    mine[1] = NONE;
#endif
    run Entry(0);
    run Entry(1);
    run Stream();
    run Same()
  }
}
