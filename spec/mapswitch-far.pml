/*
 * mapswitch.pml with a rank whose state may be reported by others: two ranks, one late order, one
 * pass, and one round of orders per survey.
 */
#define FAR
#define RANKS 2
#ifndef LATE
#define LATE 1
#endif
#define ROUNDS 1
#include "mapswitch.pml"
