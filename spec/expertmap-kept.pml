/*
 * expertmap.pml without the reduction that drops ballots as soon as they can release
 * nothing more, to check that the reduction hides no error. It has one step, which
 * keeps the number of states manageable.
 */
#define KEEP_SUPERSEDED
#define ONE_STEP
#ifndef RESTARTS
#define RESTARTS 2
#endif
#include "expertmap.pml"
