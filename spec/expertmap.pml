/*
 * Expert maps: in each step all ranks of a group use the same map.
 *
 * There are two agents, each with one engine, and up to BALLOTS ballots, held by two or
 * more coordinators, some of which may be replaced or paused. Each ballot proceeds
 * independently. A ballot uses its own number as the map for free steps, so any two
 * ballots differ. STEPS steps are assigned and released one at a time.
 *
 * Messages: once sent, a message may arrive at any time, any number of times and in
 * any order, or never. An agent's answer is recorded in the ballot when it is sent, or
 * it is lost. Modeling that the coordinator receives it later would add nothing, since
 * the coordinator may also act later. Any other action may happen between two actions,
 * which models a pause between a check and the action it permits.
 *
 * Faults: an agent restarts without memory (RESTARTS times in total) while orders from
 * its socket are in transit; a connection to an engine breaks (any number of times); an
 * engine restarts and loses its orders and weights (ENGINE_RESTARTS times). Map 1 is
 * loaded when an engine starts; all other maps must be loaded before use. Engines do
 * not check fences; engines that do only refuse more.
 *
 * Checked: no two engines get different maps for a step, no engine gets two maps for a
 * step, and no engine gets a map whose weights it lacks.
 *
 * Each MUTANT_x removes one safeguard; the checker must then find an error.
 */

/* Without these safeguards, ballots that a higher promise or a restart has superseded
   still have an effect and are kept. The error is found within smaller bounds. */
#if defined(MUTANT_OLD_ASSIGN) || defined(MUTANT_OLD_RELEASE) || \
  defined(MUTANT_NO_INCARNATION) || defined(MUTANT_RELEASE_EARLY)
#define KEEP_SUPERSEDED
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

/* Agents. known: the map this incarnation gave to the engine, or read back from it. */
byte promise[AGENTS];
byte known[4];
bool sealable[AGENTS];  /* this incarnation has read back its engine's state */
bool connected[AGENTS]; /* the state was read back over the current connection */

/* Engines, and the orders in transit on older connections, one bit per map. An order on
   the current connection may arrive as soon as its range is known. */
byte given[4];
bool loaded[AGENTS];
byte oldOrders[4];

/* Ballots. sealState: the outcome of the seal at an agent. plan: the map of a step,
   carried over (before activation) or decided. */
#define NONE 0
#define SEALED 1
#define SUPERSEDED 2
#define GIVEN_UP 3
byte sealState[6];
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
/* Messages and acknowledgements carry no incarnation, so a restart is not noticed. */
#define SAME_INCARNATION(a, b) (sealState[BA(b, a)] == SEALED || sealState[BA(b, a)] == SUPERSEDED)
#else
#define SAME_INCARNATION(a, b) (sealState[BA(b, a)] == SEALED)
#endif
#ifdef KEEP_SUPERSEDED
#define DROPPED(b) (sealState[BA(b, 0)] == GIVEN_UP)
#else
#define DROPPED(b) (sealState[BA(b, 0)] == SUPERSEDED || sealState[BA(b, 1)] == SUPERSEDED)
#endif
#ifdef MUTANT_RELEASE_EARLY
#define ALL_ACKED(b, a, s) acked[BAS(b, a, s)]
#else
#define ALL_ACKED(b, a, s) (acked[BAS(b, 0, s)] && acked[BAS(b, 1, s)])
#endif
#ifdef MUTANT_READ_EARLY
#define OLD_CONNECTIONS_CLOSED(a) true
#else
#define OLD_CONNECTIONS_CLOSED(a) (oldOrders[AS(a, 0)] == 0 && oldOrders[AS(a, 1)] == 0)
#endif
#ifdef MUTANT_SEAL_EARLY
#define CAN_SEAL(a) true
#else
#define CAN_SEAL(a) sealable[a]
#endif
#ifdef MUTANT_NOT_LOADED
#define HAS_WEIGHTS(a, m) true
#else
#define HAS_WEIGHTS(a, m) (connected[a] && (m == 1 || loaded[a]))
#endif

/* dropBallot clears a ballot that can release nothing more, to reduce the number of
   states. An agent that it sealed has promised a higher ballot or restarted and accepts
   nothing more from it, so steps not yet acknowledged by all agents never will be. */
inline dropBallot(b) {
#ifndef KEEP_SUPERSEDED
  if
  :: (sealState[BA(b, 0)] == SUPERSEDED || sealState[BA(b, 1)] == SUPERSEDED) ->
       if
       :: !ALL_ACKED(b, 0, 0) || (sealState[BA(b, 0)] != SEALED && sealState[BA(b, 1)] != SEALED) ->
            plan[BS(b, 0)] = 0; acked[BAS(b, 0, 0)] = false; acked[BAS(b, 1, 0)] = false
       :: else
       fi;
       if
       :: !ALL_ACKED(b, 0, 1) || (sealState[BA(b, 0)] != SEALED && sealState[BA(b, 1)] != SEALED) ->
            plan[BS(b, 1)] = 0; acked[BAS(b, 0, 1)] = false; acked[BAS(b, 1, 1)] = false
       :: else
       fi;
       if
       :: plan[BS(b, 0)] == 0 && plan[BS(b, 1)] == 0 ->
            sealState[BA(b, 0)] = SUPERSEDED; sealState[BA(b, 1)] = SUPERSEDED; planned[b - 1] = false
       :: else
       fi
  :: else
  fi
#else
  skip
#endif
}

inline supersede(b, a) {
  if
  :: sealState[BA(b, a)] == SEALED -> sealState[BA(b, a)] = SUPERSEDED
  :: else
  fi;
  dropBallot(b)
}

/* carryOver copies the maps that an agent's engine was given into the plan of a ballot.
   Two reports can differ only if the first agent has since restarted before its order
   was sent; the ballot is then given up. */
inline carryOver(b, a, s) {
#ifndef MUTANT_NO_CARRY
  if
  :: known[AS(a, s)] == 0 || plan[BS(b, s)] == known[AS(a, s)] -> skip
  :: known[AS(a, s)] != 0 && plan[BS(b, s)] == 0 -> plan[BS(b, s)] = known[AS(a, s)]
  :: known[AS(a, s)] != 0 && plan[BS(b, s)] != 0 && plan[BS(b, s)] != known[AS(a, s)] ->
       assert(sealState[BA(b, 1 - (a))] >= SUPERSEDED);
       sealState[BA(b, 0)] = GIVEN_UP; sealState[BA(b, 1)] = GIVEN_UP
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

/* deliverOrder models an order that reaches an engine. */
inline deliverOrder(a, s, m) {
  assert(given[AS(a, s)] == 0 || given[AS(a, s)] == m);
  given[AS(a, s)] = m;
  assert(given[AS(1 - (a), s)] == 0 || given[AS(1 - (a), s)] == m);
  assert(m == 1 || loaded[a])
}

/* SENDABLE: an order for the step may be in transit on the current connection. */
#define SENDABLE(a, s) (connected[a] && known[AS(a, s)] != 0 && \
  given[AS(a, s)] != known[AS(a, s)] && HAS_WEIGHTS(a, known[AS(a, s)]))

/* retireOrder turns an order that may be in transit into one of an older connection. An
   order that was never sent is equivalent to a lost one. */
inline retireOrder(a, s) {
  if
  :: SENDABLE(a, s) -> oldOrders[AS(a, s)] = oldOrders[AS(a, s)] | (1 << known[AS(a, s)])
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

/* raisePromise raises an agent's promise to the ballot of a seal, if it is higher. */
inline raisePromise(a, b) {
  if
  :: promise[a] < b ->
       promise[a] = b;
#ifndef KEEP_SUPERSEDED
       if :: b > 1 -> supersede(1, a) :: else fi;
       if :: b > 2 -> supersede(2, a) :: else fi
#endif
  :: else
  fi
}

/* A seal arrives. Its answer is recorded in the ballot, or lost. */
#define SEAL(a, b) \
  :: d_step { CAN_SEAL(a) && promise[a] <= b && sealState[BA(b, a)] == NONE -> \
       raisePromise(a, b); \
       sealState[BA(b, a)] = SEALED; carryOver(b, a, 0); carryOver(b, a, 1); dropBallot(b) } \
  :: d_step { CAN_SEAL(a) && promise[a] < b -> raisePromise(a, b) }

#define ACTIVATE(b) \
  :: d_step { !planned[b - 1] && sealState[BA(b, 0)] != NONE && sealState[BA(b, 1)] != NONE && !DROPPED(b) -> \
       planned[b - 1] = true; decide(b, 0); decide(b, 1) }

/* An assignment arrives, and then its acknowledgement at the coordinator. */
#define ASSIGN(a, b, s) \
  :: d_step { planned[b - 1] && plan[BS(b, s)] != 0 && !acked[BAS(b, a, s)] && \
       SAME_INCARNATION(a, b) && ADMITS_ASSIGN(a, b) && HAS_WEIGHTS(a, plan[BS(b, s)]) -> \
       acked[BAS(b, a, s)] = true }

/* A release arrives. Its map counts as given from then on, whether the order was sent or not. */
#define RELEASE(a, b, s) \
  :: d_step { planned[b - 1] && ALL_ACKED(b, a, s) && SAME_INCARNATION(a, b) && \
       ADMITS_RELEASE(a, b) && known[AS(a, s)] != plan[BS(b, s)] -> \
       assert(known[AS(a, s)] == 0); \
       known[AS(a, s)] = plan[BS(b, s)] }

#define ARRIVE(a, s) \
  :: d_step { SENDABLE(a, s) -> deliverOrder(a, s, known[AS(a, s)]) } \
  :: d_step { oldOrders[AS(a, s)] & 2 -> deliverOrder(a, s, 1); oldOrders[AS(a, s)] = oldOrders[AS(a, s)] & 12 } \
  :: d_step { oldOrders[AS(a, s)] & 4 -> deliverOrder(a, s, 2); oldOrders[AS(a, s)] = oldOrders[AS(a, s)] & 10 } \
  :: d_step { oldOrders[AS(a, s)] & 8 -> deliverOrder(a, s, 3); oldOrders[AS(a, s)] = oldOrders[AS(a, s)] & 6 }

#define LINK(a) \
  /* The engine sees the older connections close; orders in transit on them are lost. */ \
  :: d_step { oldOrders[AS(a, 0)] != 0 || oldOrders[AS(a, 1)] != 0 -> \
       oldOrders[AS(a, 0)] = 0; oldOrders[AS(a, 1)] = 0 } \
  /* The agent reads the engine's state back over the new connection. */ \
  :: d_step { !connected[a] && OLD_CONNECTIONS_CLOSED(a) -> \
       connected[a] = true; sealable[a] = true; readBack(a, 0); readBack(a, 1) } \
  /* The connection breaks. */ \
  :: d_step { connected[a] -> retireOrder(a, 0); retireOrder(a, 1); connected[a] = false } \
  :: d_step { connected[a] && !loaded[a] -> loaded[a] = true } \
  :: d_step { restarts < RESTARTS -> \
       restarts++; \
       retireOrder(a, 0); retireOrder(a, 1); \
       promise[a] = 0; known[AS(a, 0)] = 0; known[AS(a, 1)] = 0; \
       sealable[a] = false; connected[a] = false; \
       supersede(1, a); supersede(2, a); supersede(3, a) } \
  :: d_step { engineRestarts < ENGINE_RESTARTS -> \
       engineRestarts++; \
       given[AS(a, 0)] = 0; given[AS(a, 1)] = 0; \
       oldOrders[AS(a, 0)] = 0; oldOrders[AS(a, 1)] = 0; \
       connected[a] = false; loaded[a] = false }

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
