/*
 * keys.pml with entries that only ask: one that binds answers what the key is bound to,
 * and the answer is used at any later time, also when its binding was let go of, or the
 * one that answered has been replaced. The two entries of keys.pml are those that bind.
 */
#define ASKED
#define LEN 3
#define EXPIRED 1
#include "keys.pml"
