/*
 * Model of leadership over the orders that assign layers to runners, with joins
 * that are open at the same time.
 *
 * Two instances join a consumer group repeatedly. The owner of its first
 * partition is the leader. The store assigns the partition for MEMBERSHIP_TICKS
 * after the last join of its owner arrived, and to the other instance only
 * later. The first instance may send a join while an earlier one is open, and
 * may leave once, which frees the partition at once. Joins and answers may be
 * delayed and overtake each other; a leave arrives before any later join.
 *
 * An instance counts its leadership from the time at which it sent the join that
 * was answered. A grant counts nothing if a join that was sent later has been
 * answered, or if the instance has left since.
 *
 * Checked: the instances never lead in the same tick.
 *
 * Seeded faults:
 * - FAULT_COUNT_FROM_LATEST makes an instance count its leadership from the
 *   latest join that it sent.
 * - FAULT_OLD_GRANT makes it accept grants from before it left.
 */
#define LAST_TICK 5
#define MEMBERSHIP_TICKS 2
#define NO_OWNER 2

byte current_tick = 0;
byte owner = NO_OWNER;
byte ownership_expires_at = 0;
byte leader_until[2];
byte requested_at[2];
byte settled_at[2];

#define may_own(i) \
  (owner == NO_OWNER || owner == i || current_tick > ownership_expires_at)

#ifdef FAULT_COUNT_FROM_LATEST
#define leadership_start(asked_at) requested_at[i]
#else
#define leadership_start(asked_at) asked_at
#endif

#ifdef FAULT_OLD_GRANT
#define is_outdated(asked_at) (false)
#else
#define is_outdated(asked_at) (asked_at < settled_at[i])
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
  :: atomic {
       current_tick < LAST_TICK ->
       asked_at = current_tick;
       requested_at[i] = current_tick
     };
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
          :: is_granted && is_outdated(asked_at) -> skip
          :: is_granted && !is_outdated(asked_at) ->
               settled_at[i] = asked_at;
               leader_until[i] = leadership_start(asked_at) + MEMBERSHIP_TICKS
          :: !is_granted ->
               settled_at[i] =
                 (is_outdated(asked_at) -> settled_at[i] : asked_at);
               leader_until[i] = 0
          fi;
          check_single_leader();
          asked_at = 0;
          is_granted = false
        }
     :: atomic { asked_at = 0; is_granted = false }
     fi
  od
}

proctype leaver(byte i) {
  atomic {
    leader_until[i] = 0;
    settled_at[i] = current_tick + 1;
    if
    :: owner == i -> owner = NO_OWNER
    :: else -> skip
    fi
  }
}

init {
  atomic {
    run clock();
    run member(0);
    run member(0);
    run member(1);
    run leaver(0)
  }
}
