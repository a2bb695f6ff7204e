/*
 * keys.pml with additional entries that only ask. A binding entry answers with the ticket
 * that the key is bound to. The answer may be used at any later time, also after the
 * binding was released or the entry that answered was replaced. The two entries of
 * keys.pml are the binding ones.
 */
#define ASKED
#define LEN 3
#define EXPIRED 1
#include "keys.pml"
