/*
 * Model of leadership over the orders that assign layers to runners, with
 * orders that arrive late.
 *
 * Two instances join a consumer group repeatedly. The owner of its first
 * partition is the leader and may order runners. The store assigns the
 * partition for MEMBERSHIP_TICKS after the last join of its owner arrived, and
 * to the other instance only later. Requests and answers may be delayed. An
 * instance counts its leadership from the time at which it sent the join. While
 * it leads it reads what the runner holds and sends an order with the number of
 * orders that the runner had accepted; the order may arrive at any later time.
 *
 * Checked: the instances never lead in the same tick, and a runner never
 * accepts an order that was decided before it accepted another one.
 *
 * Seeded faults:
 * - FAULT_COUNT_FROM_ANSWER makes an instance count its leadership from the
 *   answer instead of the request.
 * - FAULT_EARLY_EXPIRY makes the store reassign the partition two ticks early.
 * - FAULT_NO_COUNT makes the runner ignore the number in the order.
 */
#define LAST_TICK 6
#define MEMBERSHIP_TICKS 2
#define NO_OWNER 2

byte current_tick = 0;
byte owner = NO_OWNER;
byte ownership_expires_at = 0;
byte leader_until[2];

byte accepted_count = 0;

#ifdef FAULT_EARLY_EXPIRY
#define may_own(i) \
  (owner == NO_OWNER || owner == i || \
   current_tick + 2 > ownership_expires_at)
#else
#define may_own(i) \
  (owner == NO_OWNER || owner == i || current_tick > ownership_expires_at)
#endif

#ifdef FAULT_COUNT_FROM_ANSWER
#define leadership_start(asked_at) current_tick
#else
#define leadership_start(asked_at) asked_at
#endif

#ifdef FAULT_NO_COUNT
#define is_current(expected_count) (true)
#else
#define is_current(expected_count) (expected_count == accepted_count)
#endif

#define is_leader(i) (current_tick < leader_until[i])
#define check_single_leader() assert(!(is_leader(0) && is_leader(1)))

proctype clock() {
end:
  do
  :: atomic {
       current_tick < LAST_TICK -> current_tick++; check_single_leader()
     }
  od
}

proctype member(byte i) {
  byte asked_at;
  bool is_granted;
end:
  do
  :: atomic { current_tick < LAST_TICK -> asked_at = current_tick };
     /* The join arrives at the store. */
     atomic {
       if
       :: may_own(i) ->
            owner = i;
            ownership_expires_at = current_tick + MEMBERSHIP_TICKS;
            is_granted = true
       :: else -> is_granted = false
       fi
     };
     /* The answer arrives or is lost. */
     if
     :: atomic {
          if
          :: is_granted ->
               leader_until[i] = leadership_start(asked_at) + MEMBERSHIP_TICKS
          :: else -> leader_until[i] = 0
          fi;
          check_single_leader();
          asked_at = 0;
          is_granted = false
        }
     :: atomic { asked_at = 0; is_granted = false }
     fi
  od
}

proctype order_sender(byte i) {
  byte expected_count;
  byte orders_sent = 0;
end:
  do
  :: atomic {
       orders_sent < 2 && is_leader(i) ->
       expected_count = accepted_count;
       orders_sent++
     };
     /* The order arrives, possibly after the leadership has ended. */
     atomic {
       if
       :: is_current(expected_count) ->
            assert(expected_count == accepted_count);
            accepted_count++
       :: else -> skip
       fi;
       expected_count = 0
     }
  od
}

init {
  atomic {
    run clock();
    run member(0);
    run member(1);
    run order_sender(0);
    run order_sender(1)
  }
}
