/*
 * Expert maps: in each step all ranks of a group use one map.
 *
 * Two agents, each in front of one engine, and up to BALLOTS ballots, which two or
 * more coordinators hold, replaced or paused ones among them: each ballot goes on by
 * itself to the end. A ballot's own number is its map for free steps, so any two
 * ballots differ. There are STEPS steps, assigned and released one by one.
 *
 * Messages: once sent, a message may arrive at any time, any number of times and in
 * any order, or never. What an agent answers is entered in the ballot when it is
 * sent, or lost; that the coordinator learns of it later makes no difference, since
 * it may also act later. Between each two actions anything else may happen: a pause
 * between a check and its act.
 *
 * Faults: an agent restarts without memory (RESTARTS in all) while orders are on
 * their way from its socket; a connection to an engine breaks (any number); an
 * engine restarts and has lost what it was given and the weights (ENGINE_RESTARTS).
 * Map 1 is loaded at an engine's start, all others must be loaded first. Engines
 * check no fence; those that do only refuse more.
 *
 * Checked: no two engines are given different maps for a step, no engine is given
 * two, and none a map whose weights it lacks.
 *
 * Each MUTANT_x leaves one safeguard out; the checker must find an error with it.
 */

/* With these safeguards left out, what a higher promise or a restart has outlived
   still matters and is kept. The error shows within smaller bounds. */
#if defined(MUTANT_OLD_ASSIGN) || defined(MUTANT_OLD_RELEASE) || \
  defined(MUTANT_NO_INCARNATION) || defined(MUTANT_RELEASE_EARLY)
#define KEEP_OUTLIVED
#define RESTARTS 1
#define ENGINE_RESTARTS 0
#endif
#ifndef RESTARTS
#define RESTARTS 3
#endif
#ifndef ENGINE_RESTARTS
#define ENGINE_RESTARTS 1
#endif
#define BALLOTS 3
#define STEPS 2
#define AGENTS 2

/* Index of agent a and step s. */
#define AS(a, s) ((a) * STEPS + (s))
/* Index of ballot b (from 1) and agent a, and of ballot b and step s. */
#define BA(b, a) (((b) - 1) * AGENTS + (a))
#define BS(b, s) (((b) - 1) * STEPS + (s))
/* Index of ballot b, agent a and step s. */
#define BAS(b, a, s) (BA(b, a) * STEPS + (s))

/* Agents. known: given to the engine by this incarnation, or read back. */
byte promise[AGENTS];
byte known[4];
bool sealable[AGENTS];   /* read back once by this incarnation */
bool linked[AGENTS];     /* read back over the present connection */

/* Engines, with orders on their way from older connections, a bit for each map. An
   order of the present connection may arrive as soon as its range is known. */
byte given[4];
bool loaded[AGENTS];
byte straying[4];

/* Ballots. slot: what the seal at an agent has come to. plan: the map of a step,
   carried over (before activation) or decided. */
#define NONE 0
#define SEALED 1
#define OUTLIVED 2
#define GIVEN_UP 3
byte slot[6];
bool planned[3];
byte plan[6];
bool acked[12];

byte restarts = 0;
byte engineRestarts = 0;

#ifdef MUTANT_OLD_ASSIGN
#define ADMITS_ASSIGN(a, b) true
#else
#define ADMITS_ASSIGN(a, b) (promise[a] == b)
#endif
#ifdef MUTANT_OLD_RELEASE
#define ADMITS_RELEASE(a, b) true
#else
#define ADMITS_RELEASE(a, b) (promise[a] == b)
#endif
#ifdef MUTANT_NO_INCARNATION
/* Messages and acknowledgements name no incarnation: a restart goes unnoticed. */
#define SAME_INCARNATION(a, b) (slot[BA(b, a)] == SEALED || slot[BA(b, a)] == OUTLIVED)
#else
#define SAME_INCARNATION(a, b) (slot[BA(b, a)] == SEALED)
#endif
#ifdef KEEP_OUTLIVED
#define DROPPED(b) (slot[BA(b, 0)] == GIVEN_UP)
#else
#define DROPPED(b) (slot[BA(b, 0)] == OUTLIVED || slot[BA(b, 1)] == OUTLIVED)
#endif
#ifdef MUTANT_RELEASE_EARLY
#define ALL_ACKED(b, a, s) acked[BAS(b, a, s)]
#else
#define ALL_ACKED(b, a, s) (acked[BAS(b, 0, s)] && acked[BAS(b, 1, s)])
#endif
#ifdef MUTANT_READ_EARLY
#define OLD_CLOSED(a) true
#else
#define OLD_CLOSED(a) (straying[AS(a, 0)] == 0 && straying[AS(a, 1)] == 0)
#endif
#ifdef MUTANT_SEAL_EARLY
#define MAY_SEAL(a) true
#else
#define MAY_SEAL(a) sealable[a]
#endif
#ifdef MUTANT_NOT_LOADED
#define HAS(a, m) true
#else
#define HAS(a, m) (linked[a] && (m == 1 || loaded[a]))
#endif

/* drop forgets a ballot that can release nothing any more, to keep states few: an
   agent that it sealed has promised more or restarted, and takes nothing from it
   again, so steps that are not acknowledged by all never will be. */
inline drop(b) {
#ifndef KEEP_OUTLIVED
  if
  :: (slot[BA(b, 0)] == OUTLIVED || slot[BA(b, 1)] == OUTLIVED) ->
       if
       :: !ALL_ACKED(b, 0, 0) || (slot[BA(b, 0)] != SEALED && slot[BA(b, 1)] != SEALED) ->
            plan[BS(b, 0)] = 0; acked[BAS(b, 0, 0)] = false; acked[BAS(b, 1, 0)] = false
       :: else
       fi;
       if
       :: !ALL_ACKED(b, 0, 1) || (slot[BA(b, 0)] != SEALED && slot[BA(b, 1)] != SEALED) ->
            plan[BS(b, 1)] = 0; acked[BAS(b, 0, 1)] = false; acked[BAS(b, 1, 1)] = false
       :: else
       fi;
       if
       :: plan[BS(b, 0)] == 0 && plan[BS(b, 1)] == 0 ->
            slot[BA(b, 0)] = OUTLIVED; slot[BA(b, 1)] = OUTLIVED; planned[b - 1] = false
       :: else
       fi
  :: else
  fi
#else
  skip
#endif
}

inline outlive(b, a) {
  if
  :: slot[BA(b, a)] == SEALED -> slot[BA(b, a)] = OUTLIVED
  :: else
  fi;
  drop(b)
}

/* carry enters what an agent's engine was given into the plan of a ballot. Two
   reports that differ are possible only when the first agent has restarted since,
   before its order was sent: the ballot is given up. */
inline carry(b, a, s) {
#ifndef MUTANT_NO_CARRY
  if
  :: known[AS(a, s)] == 0 || plan[BS(b, s)] == known[AS(a, s)] -> skip
  :: known[AS(a, s)] != 0 && plan[BS(b, s)] == 0 -> plan[BS(b, s)] = known[AS(a, s)]
  :: known[AS(a, s)] != 0 && plan[BS(b, s)] != 0 && plan[BS(b, s)] != known[AS(a, s)] ->
       assert(slot[BA(b, 1 - (a))] >= OUTLIVED);
       slot[BA(b, 0)] = GIVEN_UP; slot[BA(b, 1)] = GIVEN_UP
  fi
#else
  skip
#endif
}

inline decide(b, s) {
  if
  :: plan[BS(b, s)] == 0 -> plan[BS(b, s)] = b
  :: else
  fi
}

/* put is an order that reaches an engine. */
inline put(a, s, m) {
  assert(given[AS(a, s)] == 0 || given[AS(a, s)] == m);
  given[AS(a, s)] = m;
  assert(given[AS(1 - (a), s)] == 0 || given[AS(1 - (a), s)] == m);
  assert(m == 1 || loaded[a])
}

/* SENDABLE: an order for the step may be on its way over the present connection. */
#define SENDABLE(a, s) (linked[a] && known[AS(a, s)] != 0 && \
  given[AS(a, s)] != known[AS(a, s)] && HAS(a, known[AS(a, s)]))

/* stray makes what may be on its way an order of an older connection. That it was
   not sent is the same as that it is lost. */
inline stray(a, s) {
  if
  :: SENDABLE(a, s) -> straying[AS(a, s)] = straying[AS(a, s)] | (1 << known[AS(a, s)])
  :: else
  fi
}

inline readBack(a, s) {
#ifndef MUTANT_NO_READ_BACK
  if
  :: given[AS(a, s)] != 0 -> known[AS(a, s)] = given[AS(a, s)]
  :: else
  fi
#else
  skip
#endif
}

/* higher takes the promise of a seal, if it is above the one given. */
inline higher(a, b) {
  if
  :: promise[a] < b ->
       promise[a] = b;
#ifndef KEEP_OUTLIVED
       if :: b > 1 -> outlive(1, a) :: else fi;
       if :: b > 2 -> outlive(2, a) :: else fi
#endif
  :: else
  fi
}

/* A seal arrives. Its answer is entered in the ballot, or lost. */
#define SEAL(a, b) \
  :: d_step { MAY_SEAL(a) && promise[a] <= b && slot[BA(b, a)] == NONE -> \
       higher(a, b); \
       slot[BA(b, a)] = SEALED; carry(b, a, 0); carry(b, a, 1); drop(b) } \
  :: d_step { MAY_SEAL(a) && promise[a] < b -> higher(a, b) }

#define ACTIVATE(b) \
  :: d_step { !planned[b - 1] && slot[BA(b, 0)] != NONE && slot[BA(b, 1)] != NONE && !DROPPED(b) -> \
       planned[b - 1] = true; decide(b, 0); decide(b, 1) }

/* An assignment arrives, and its acknowledgement at the coordinator. */
#define ASSIGN(a, b, s) \
  :: d_step { planned[b - 1] && plan[BS(b, s)] != 0 && !acked[BAS(b, a, s)] && \
       SAME_INCARNATION(a, b) && ADMITS_ASSIGN(a, b) && HAS(a, plan[BS(b, s)]) -> \
       acked[BAS(b, a, s)] = true }

/* A release arrives. It counts as given from then on, sent or not. */
#define RELEASE(a, b, s) \
  :: d_step { planned[b - 1] && ALL_ACKED(b, a, s) && SAME_INCARNATION(a, b) && \
       ADMITS_RELEASE(a, b) && known[AS(a, s)] != plan[BS(b, s)] -> \
       assert(known[AS(a, s)] == 0); \
       known[AS(a, s)] = plan[BS(b, s)] }

#define ARRIVE(a, s) \
  :: d_step { SENDABLE(a, s) -> put(a, s, known[AS(a, s)]) } \
  :: d_step { straying[AS(a, s)] & 2 -> put(a, s, 1); straying[AS(a, s)] = straying[AS(a, s)] & 12 } \
  :: d_step { straying[AS(a, s)] & 4 -> put(a, s, 2); straying[AS(a, s)] = straying[AS(a, s)] & 10 } \
  :: d_step { straying[AS(a, s)] & 8 -> put(a, s, 3); straying[AS(a, s)] = straying[AS(a, s)] & 6 }

#define LINK(a) \
  /* The engine sees the older connections close; what was on its way is lost. */ \
  :: d_step { straying[AS(a, 0)] != 0 || straying[AS(a, 1)] != 0 -> \
       straying[AS(a, 0)] = 0; straying[AS(a, 1)] = 0 } \
  /* It is read back over the new connection. */ \
  :: d_step { !linked[a] && OLD_CLOSED(a) -> \
       linked[a] = true; sealable[a] = true; readBack(a, 0); readBack(a, 1) } \
  /* The connection breaks. */ \
  :: d_step { linked[a] -> stray(a, 0); stray(a, 1); linked[a] = false } \
  :: d_step { linked[a] && !loaded[a] -> loaded[a] = true } \
  :: d_step { restarts < RESTARTS -> \
       restarts++; \
       stray(a, 0); stray(a, 1); \
       promise[a] = 0; known[AS(a, 0)] = 0; known[AS(a, 1)] = 0; \
       sealable[a] = false; linked[a] = false; \
       outlive(1, a); outlive(2, a); outlive(3, a) } \
  :: d_step { engineRestarts < ENGINE_RESTARTS -> \
       engineRestarts++; \
       given[AS(a, 0)] = 0; given[AS(a, 1)] = 0; \
       straying[AS(a, 0)] = 0; straying[AS(a, 1)] = 0; \
       linked[a] = false; loaded[a] = false }

#define STEP(s) \
  ASSIGN(0, 1, s) ASSIGN(0, 2, s) ASSIGN(0, 3, s) \
  ASSIGN(1, 1, s) ASSIGN(1, 2, s) ASSIGN(1, 3, s) \
  RELEASE(0, 1, s) RELEASE(0, 2, s) RELEASE(0, 3, s) \
  RELEASE(1, 1, s) RELEASE(1, 2, s) RELEASE(1, 3, s) \
  ARRIVE(0, s) ARRIVE(1, s)

active proctype Group() {
end:
  do
  SEAL(0, 1) SEAL(0, 2) SEAL(0, 3)
  SEAL(1, 1) SEAL(1, 2) SEAL(1, 3)
  ACTIVATE(1) ACTIVATE(2) ACTIVATE(3)
  STEP(0)
#ifndef ONE_STEP
  STEP(1)
#endif
  LINK(0) LINK(1)
  od
}
