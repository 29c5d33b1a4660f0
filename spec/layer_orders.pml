/*
 * The right to order runners on the platform, and orders that are carried out
 * late.
 *
 * Two instances join a group again and again. The store gives its partition to
 * one of them for TTL ticks after the arrival of the last join, and to another
 * one only later. Questions and answers take their time. An instance counts its
 * right from the moment at which it asked. While it has the right it reads what
 * the runner holds and orders something else, with the count of orders that the
 * runner had accepted; the order may arrive at any later moment.
 *
 * Checked: never have both instances the right at the same tick, and a runner
 * never begins an order that was decided on what it held before another order.
 *
 * Seeded faults: FAULT_COUNT_FROM_ANSWER lets an instance count its right from
 * the answer, FAULT_EARLY_EXPIRY lets the store give the partition away
 * two ticks too early, and FAULT_NO_COUNT lets the runner ignore the count.
 */
#define END 6
#define TTL 2
#define NOBODY 2

byte now = 0;
byte holder = NOBODY;
byte expires_at = 0;
byte until[2];

byte accepted = 0;

#ifdef FAULT_EARLY_EXPIRY
#define is_free(i) (holder == NOBODY || holder == i || now + 2 > expires_at)
#else
#define is_free(i) (holder == NOBODY || holder == i || now > expires_at)
#endif

#ifdef FAULT_COUNT_FROM_ANSWER
#define counted_from(asked) now
#else
#define counted_from(asked) asked
#endif

#ifdef FAULT_NO_COUNT
#define fits(count) (true)
#else
#define fits(count) (count == accepted)
#endif

#define has_right(i) (now < until[i])
#define check_one() assert(!(has_right(0) && has_right(1)))

proctype clock() {
end:
  do
  :: atomic { now < END -> now++; check_one() }
  od
}

proctype member(byte i) {
  byte asked;
  bool granted;
end:
  do
  :: atomic { now < END -> asked = now };
     /* The join arrives at the store. */
     atomic {
       if
       :: is_free(i) ->
            holder = i;
            expires_at = now + TTL;
            granted = true
       :: else -> granted = false
       fi
     };
     /* Its answer arrives, unless it is lost. */
     if
     :: atomic {
          if
          :: granted -> until[i] = counted_from(asked) + TTL
          :: else -> until[i] = 0
          fi;
          check_one();
          asked = 0;
          granted = false
        }
     :: atomic { asked = 0; granted = false }
     fi
  od
}

proctype executor(byte i) {
  byte count;
  byte given = 0;
end:
  do
  :: atomic { given < 2 && has_right(i) -> count = accepted; given++ };
     /* The order arrives, perhaps long after the right has ended. */
     atomic {
       if
       :: fits(count) ->
            assert(count == accepted);
            accepted++
       :: else -> skip
       fi;
       count = 0
     }
  od
}

init {
  atomic {
    run clock();
    run member(0);
    run member(1);
    run executor(0);
    run executor(1)
  }
}
