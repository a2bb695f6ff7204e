/*
 * mapswitch.pml with a rank that is asked from afar: two ranks, one late order, one pass, and
 * one round of orders a look.
 */
#define FAR
#define RANKS 2
#ifndef LATE
#define LATE 1
#endif
#define ROUNDS 1
#include "mapswitch.pml"
