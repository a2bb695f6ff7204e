/*
 * mapswitch.pml with orders that are executed at any later time: two ranks and two passes.
 */
#define RANKS 2
#define LATE 1
#ifndef PASSES
#define PASSES 2
#endif
#include "mapswitch.pml"
