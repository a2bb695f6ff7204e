/*
 * Callers' idempotency keys: a key is bound to one ticket for as long as its binding is
 * held, whichever entries receive requests with it.
 *
 * The model has one key and a stream of bindings. Entries read the stream record by
 * record, each at its own pace, and lose their state when replaced. An entry that finds
 * the key unbound appends a binding of a ticket of its own, with a base: the offset up to
 * which it has read. The append takes effect later, in any order with others, also after
 * its entry was replaced, or never, and the entry cannot tell which. An entry uses the
 * ticket of the binding in its fold and no other. The stream drops its oldest records, and
 * records release bindings. A record is "old" when its age has reached the time that
 * bindings are held; only old records are dropped or released, in order. The ticket of an
 * old record has expired, and its agent does not run it. A request that came before a
 * record was old and finds the record gone has already been dropped, since requests wait
 * for a limited time only; so each append is for a request that came after everything that
 * was old at its base.
 *
 * The limit on the number of keys is modeled as a refused request: an entry does not have
 * to append. Two entries may decide differently about the limit at any time. Every fold
 * applies every binding in the stream, whatever the limit.
 *
 * Checked: of two tickets that ran, the earlier one's record was old when the later one's
 * entry took its base; and two entries that have read the same records agree on the key.
 *
 * Bounds: 2 entries with one append in flight each, LEN records of which EXPIRED may be
 * dropped, any number of replacements of one entry.
 * Each MUTANT_x removes one safeguard; the checker must then find an error.
 */

#ifndef LEN
#define LEN 4
#endif
#ifndef EXPIRED
#define EXPIRED 2
#endif
#define ENTRIES 2
#define NONE 15

/* The stream: base and release of each record. The ticket of a record is its offset. */
byte appended = 0; /* records appended */
byte oldest = 0;   /* oldest record kept */
byte old = 0;      /* records below this offset are old */
byte base[LEN];
byte releaseBelow[LEN]; /* the record releases bindings below this offset */
bool binds[LEN];        /* the record binds the key; else it only releases */
byte oldAtBase[LEN];    /* value of old when the base was taken */
bool ran[LEN];

/* An entry's fold: it has applied the records from floor up to next. */
byte next[ENTRIES];
byte floor[ENTRIES];
byte held[ENTRIES]; /* offset of the binding held, or NONE */
bool unconfirmed[ENTRIES];
byte released[ENTRIES]; /* bindings below this offset were released */

/* Appends in flight, one per entry. They continue when the entry is replaced. */
bool inFlight[ENTRIES];
bool pendingBinds[ENTRIES];
byte pendingBase[ENTRIES];
byte pendingRelease[ENTRIES];
byte pendingOld[ENTRIES];

#ifdef MUTANT_OWN_TICKET
byte ownTicket[ENTRIES];
#endif

#ifdef ASKED
byte answerInTransit = NONE; /* an answer in transit to an entry that asked */
#endif

/* A fold is complete if all records missing below its floor are old. */
#ifdef MUTANT_NO_PROOF
#define complete(e) (true)
#else
#define complete(e) (floor[e] == 0 || floor[e] < old)
#endif

#ifdef MUTANT_RELEASE_YOUNG
#define releaseLimit(e) (next[e])
#else
#define releaseLimit(e) (old)
#endif

inline runTicket(t) {
  /* An agent that has died or refuses does nothing. */
  if
#ifdef MUTANT_TICKET_OUTLIVES
  :: !ran[t] ->
#else
  :: !ran[t] && t >= old ->
#endif
     ran[t] = true;
     k = 0;
     do
     :: k < appended ->
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
  unconfirmed[e] = false;
  released[e] = 0
}

/* apply applies the next record to a fold. */
inline apply(e) {
  r = next[e];
  next[e]++;
  if
  :: held[e] != NONE && held[e] < releaseBelow[r] -> held[e] = NONE; unconfirmed[e] = false
  :: else -> skip
  fi;
  if
  :: releaseBelow[r] > released[e] -> released[e] = releaseBelow[r]
  :: else -> skip
  fi;
#ifdef MUTANT_FOLD_BOUNDS
  /* A fold drops a binding that exceeds the limit by its own count: record 2, while it
     holds one of another key from record 0. A fold that began later does not count that. */
  overLimit = floor[e] == 0 && released[e] == 0 && r == 2;
#endif
  if
  :: !binds[r] -> skip
#ifdef MUTANT_FOLD_BOUNDS
  :: binds[r] && overLimit -> skip
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
     :: unconfirmed[e] -> held[e] = r
     :: else -> skip
     fi
#endif
  :: else ->
     held[e] = r;
#ifdef MUTANT_NEVER_UNSURE
     unconfirmed[e] = false
#else
     unconfirmed[e] = base[r] < floor[e]
#endif
  fi;
  r = 0
}

proctype Entry(byte e) {
  byte r = 0, k = 0;
#ifdef MUTANT_FOLD_BOUNDS
  bool overLimit = false;
#endif
end:
  do
  /* Reads one record, or learns that the record has expired. */
  :: atomic { next[e] < appended && next[e] >= oldest -> apply(e) }
  :: atomic { next[e] < oldest ->
#ifdef MUTANT_FOLDS_ACROSS_GAP
     next[e] = oldest
#else
     restart(e, oldest)
#endif
     }
  /* A request whose key is unbound: an append begins. */
  :: atomic { !inFlight[e] && complete(e) && appended < LEN && held[e] == NONE ->
       inFlight[e] = true;
       pendingBinds[e] = true;
#ifdef MUTANT_BASE_NOT_READ
       pendingBase[e] = appended;
#else
       pendingBase[e] = next[e];
#endif
       pendingOld[e] = old
     }
  /* An append of other keys, which releases, in order, some records that the entry has
     read and knows to be old. (A record of the code can both bind and release, which is
     equivalent to two records in sequence.) */
  :: atomic { !inFlight[e] && complete(e) && appended < LEN && next[e] > 0 ->
       inFlight[e] = true;
       do
       :: pendingRelease[e] < next[e] && pendingRelease[e] < releaseLimit(e) -> pendingRelease[e]++
       :: break
       od
     }
  /* A request whose key is bound: its ticket is used. */
  :: atomic { held[e] != NONE && !unconfirmed[e] && complete(e) -> runTicket(held[e]) }
#ifdef ASKED
  /* Another entry asked what the key is bound to. The answer is sent, */
  :: atomic { answerInTransit == NONE && held[e] != NONE && !unconfirmed[e] && complete(e) -> answerInTransit = held[e] }
  /* and arrives at any later time, or the entry that asked has given up. */
  :: atomic { answerInTransit != NONE -> runTicket(answerInTransit); answerInTransit = NONE }
#ifdef MUTANT_ASKED_EARLY
  /* The binding entry answers with the binding it is about to append. */
  :: atomic { answerInTransit == NONE && inFlight[e] && pendingBinds[e] && appended < LEN -> answerInTransit = appended }
#endif
#endif
  /* Replaced by an entry without state; its append stays in flight. The entries are
     symmetric, so it is enough that one is replaced and the other only falls behind. */
  :: atomic { e == 1 && next[e] > 0 ->
       restart(e, 0)
#ifdef MUTANT_OWN_TICKET
       ; ownTicket[e] = NONE
#endif
     }
#ifdef MUTANT_OWN_TICKET
  /* The entry uses the ticket of its own append before it has read that record. */
  :: atomic { ownTicket[e] != NONE -> runTicket(ownTicket[e]); ownTicket[e] = NONE }
#endif
  od
}

inline clearAppend(x) {
  inFlight[x] = false;
  pendingBinds[x] = false;
  pendingBase[x] = 0;
  pendingRelease[x] = 0;
  pendingOld[x] = 0
}

/* The stream. */
proctype Stream() {
  byte e = 0;
end:
  do
  :: atomic { appended < LEN && (inFlight[0] || inFlight[1]) ->
       if
       :: inFlight[0] -> e = 0
       :: inFlight[1] -> e = 1
       fi;
       base[appended] = pendingBase[e];
       releaseBelow[appended] = pendingRelease[e];
       binds[appended] = pendingBinds[e];
       oldAtBase[appended] = pendingOld[e];
#ifdef MUTANT_OWN_TICKET
       if
       :: pendingBinds[e] -> ownTicket[e] = appended
       :: else -> skip
       fi;
#endif
       appended++;
       clearAppend(e);
       e = 0
     }
  /* An append is lost. */
  :: atomic { inFlight[0] -> clearAppend(0) }
  :: atomic { inFlight[1] -> clearAppend(1) }
  /* Time passes. No append can follow the last record, so it does not have to become old. */
  :: atomic { old < appended && old < LEN - 1 -> old++ }
  /* The stream may keep less than it should: completeness is judged by the oldest record left. */
  :: atomic { oldest < appended && oldest < EXPIRED -> oldest++ }
  od
}

/* Two complete folds at the same offset with confirmed bindings agree on the key's ticket. */
proctype Agreement() {
end:
  atomic { next[0] == next[1] && complete(0) && complete(1) &&
           held[0] != NONE && held[1] != NONE && !unconfirmed[0] && !unconfirmed[1] &&
           held[0] != held[1] ->
    assert(false)
  }
}

init {
  atomic {
    held[0] = NONE;
    held[1] = NONE;
#ifdef MUTANT_OWN_TICKET
    ownTicket[0] = NONE;
    ownTicket[1] = NONE;
#endif
    run Entry(0);
    run Entry(1);
    run Stream();
    run Agreement()
  }
}
