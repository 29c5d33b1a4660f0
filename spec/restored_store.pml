/*
 * Model of the right to order runners when the store is restored from an older
 * copy.
 *
 * Two instances join a consumer group repeatedly; the owner of its first
 * partition holds the right. The store assigns the partition for
 * MEMBERSHIP_TICKS after the last join of its owner arrived, and to the other
 * instance only later. The store is restored up to LAST_ERA times: the era rises,
 * and the assignment is lost. Each answer names the era in which its join was
 * handled. The first instance may once send a join while another one is open.
 * Joins and answers may be delayed, overtake each other or get lost.
 *
 * An instance counts its right from the time at which it sent the join that was
 * answered. It drops answers of an earlier era than the known one. When it sees
 * a rise, it loses the right at once, and grants that arrive within
 * MEMBERSHIP_TICKS count nothing.
 *
 * Checked: the instances never hold the right in the same tick.
 *
 * Seeded faults:
 * - FAULT_NO_WAIT lets grants count at once after a rise.
 * - FAULT_FIRST_WAIT lets a second rise begin no new wait.
 */
#define LAST_TICK 4
#define MEMBERSHIP_TICKS 2
#define LAST_ERA 2
#define NO_OWNER 2

byte current_tick = 0;
byte era = 0;
byte owner = NO_OWNER;
byte ownership_expires_at = 0;
byte known_era[2];
byte rights_from[2];
byte right_until[2];
byte settled_at[2];

#define may_own(i) \
  (owner == NO_OWNER || owner == i || current_tick > ownership_expires_at)

#ifdef FAULT_NO_WAIT
#define WAIT_TICKS 0
#else
#define WAIT_TICKS MEMBERSHIP_TICKS
#endif

#ifdef FAULT_FIRST_WAIT
#define wait_end(i) (rights_from[i] -> rights_from[i] : current_tick + WAIT_TICKS)
#else
#define wait_end(i) (WAIT_TICKS -> current_tick + WAIT_TICKS : 0)
#endif

#define is_earlier(answer_era) (answer_era < known_era[i])
#define holds_right(i) (current_tick < right_until[i])
#define check_single_holder() assert(!(holds_right(0) && holds_right(1)))

inline observe(answer_era) {
  if
  :: answer_era != known_era[i] ->
       known_era[i] = answer_era;
       rights_from[i] = wait_end(i);
       right_until[i] = 0
  :: else -> skip
  fi
}

inline apply(answer_era) {
  observe(answer_era);
  if
  :: is_granted && (asked_at < settled_at[i] || current_tick < rights_from[i])
       -> skip
  :: is_granted && asked_at >= settled_at[i] && current_tick >= rights_from[i]
       ->
       settled_at[i] = asked_at;
       right_until[i] = asked_at + MEMBERSHIP_TICKS
  :: !is_granted ->
       settled_at[i] = (asked_at < settled_at[i] -> settled_at[i] : asked_at);
       right_until[i] = 0
  fi
}

/* Times that have passed count as 0, so that fewer states differ. */
inline forget_past(i) {
  if
  :: rights_from[i] <= current_tick -> rights_from[i] = 0
  :: else -> skip
  fi;
  if
  :: right_until[i] <= current_tick -> right_until[i] = 0
  :: else -> skip
  fi
}

proctype clock() {
end:
  do
  :: atomic {
       current_tick < LAST_TICK -> current_tick++;
       check_single_holder();
       forget_past(0);
       forget_past(1);
       if
       :: current_tick > ownership_expires_at ->
            owner = NO_OWNER; ownership_expires_at = 0
       :: else -> skip
       fi
     }
  od
}

inline join_once() {
  atomic { current_tick < LAST_TICK -> asked_at = current_tick };
  /* The join arrives at the store. */
  atomic {
    answered_era = era;
    if
    :: may_own(i) ->
         owner = i;
         ownership_expires_at = current_tick + MEMBERSHIP_TICKS;
         is_granted = true
    :: else -> is_granted = false
    fi
  };
  /* The answer arrives or is lost. */
  atomic {
    if
    :: is_earlier(answered_era) -> skip
    :: !is_earlier(answered_era) -> apply(answered_era)
    :: skip
    fi;
    check_single_holder();
    asked_at = 0;
    answered_era = 0;
    is_granted = false
  }
}

proctype member(byte i) {
  byte asked_at;
  byte answered_era;
  bool is_granted;
end:
  do
  :: join_once()
  od
}

proctype second_join(byte i) {
  byte asked_at;
  byte answered_era;
  bool is_granted;
end:
  join_once()
}

/* Nobody holds the right in the copy. Where somebody does, the store grants it to
 * fewer instances. A later restore leaves no time for a grant in its era. */
proctype restore() {
end:
  do
  :: atomic {
       era < LAST_ERA && current_tick + MEMBERSHIP_TICKS <= LAST_TICK ->
       era++;
       owner = NO_OWNER;
       ownership_expires_at = 0
     }
  od
}

init {
  atomic {
    run clock();
    run restore();
    run member(0);
    run second_join(0);
    run member(1)
  }
}
