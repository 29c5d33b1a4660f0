/*
 * Model of the confirmation that a configuration is current when the store is
 * restored from an older copy and instances start anew.
 *
 * The operator revokes a key once, with a new version. A restore, at most
 * LAST_ERA of them, brings back the old version and raises the era; the operator
 * writes the new version again within REWRITE_TICKS. The store also holds a
 * record of the era that has settled, which a restore may take away.
 *
 * The reader polls the store. When it sees the era rise, or starts in an era
 * that the record does not name, only polls that it sends WAIT_TICKS later
 * confirm a version, and after a rise only if the store shows no older one.
 * Another instance that has waited records the era, and the record may be
 * written at any later time. The reader may start anew once: it then knows
 * nothing, and reads the record before its polls confirm anything.
 *
 * The follower asks the reader, which answers at any later time with its
 * version, the age of its confirmation and the era that it is of. It reads the
 * store itself after a rise, which confirms nothing.
 *
 * Checked: the time that an instance records for a confirmation of the old
 * version is never later than the change.
 *
 * Seeded faults:
 * - FAULT_FIRST_ERA lets the first poll of a start confirm in any era.
 * - FAULT_ANY_RECORD takes a record of any era for that of the present one.
 * - FAULT_EARLY_POLL lets a poll that was sent before the answer to the read of
 *   the record confirm.
 * - FAULT_ANY_CONFIRMATION lets the follower apply a confirmation of another
 *   version and era to its own.
 */
#define LAST_TICK 3
#define REWRITE_TICKS 1
#define WAIT_TICKS 2
#define LAST_ERA 2
#define NO_VERSION 0
#define OLD_VERSION 1
#define NEW_VERSION 2
#define READER 0
#define FOLLOWER 1

byte current_tick = 0;
byte store_version = OLD_VERSION;
byte changed_at = LAST_TICK + 1;
byte rewrite_by = LAST_TICK + 1;
/* Eras count from 1; 0 is none. */
byte era = 1;
byte settled_era = 1;
byte settles_at = 0;

byte version[2] = OLD_VERSION;
byte known_era[2] = 1;
byte unshown[2];
byte confirms_from[2];
byte confirmed_at[2];
byte confirmed_era[2] = 1;
bool has_restarted = false;

#define max(a, b) ((a) > (b) -> (a) : (b))
#define check(i) assert(version[i] != OLD_VERSION || confirmed_at[i] <= changed_at)

#ifdef FAULT_FIRST_ERA
#define first_wait_end current_tick
#else
#define first_wait_end (current_tick + WAIT_TICKS)
#endif

#ifdef FAULT_ANY_RECORD
#define is_settled(record) (record != 0)
#else
#define is_settled(record) (record == known_era[READER])
#endif

#ifdef FAULT_EARLY_POLL
#define settled_from 0
#else
#define settled_from current_tick
#endif

#ifdef FAULT_ANY_CONFIRMATION
#define is_same_version (true)
#define holds_at_once (true)
#else
#define is_same_version (answer_version == version[FOLLOWER])
#define holds_at_once (answer_confirmed_era == known_era[FOLLOWER])
#endif

inline observe(i, answer_era) {
  if
  :: known_era[i] == 0 ->
       known_era[i] = answer_era;
       confirms_from[i] = first_wait_end
  :: known_era[i] != 0 && answer_era > known_era[i] ->
       known_era[i] = answer_era;
       unshown[i] = version[i];
       confirms_from[i] = current_tick + WAIT_TICKS
  :: else -> skip
  fi
}

inline adopt(i, shown) {
  unshown[i] = (shown >= unshown[i] -> 0 : unshown[i]);
  version[i] = max(version[i], shown)
}

proctype clock() {
end:
  do
  :: atomic {
       current_tick < LAST_TICK && current_tick < rewrite_by ->
       current_tick++
     }
  od
}

proctype operator() {
  atomic { store_version = NEW_VERSION; changed_at = current_tick };
end:
  do
  :: atomic {
       rewrite_by <= LAST_TICK ->
       store_version = NEW_VERSION;
       rewrite_by = LAST_TICK + 1
     }
  od
}

proctype restore() {
end:
  do
  :: atomic {
       era < LAST_ERA && store_version == NEW_VERSION &&
       current_tick + REWRITE_TICKS <= LAST_TICK ->
       era++;
       store_version = OLD_VERSION;
       rewrite_by = current_tick + REWRITE_TICKS;
       settles_at = current_tick + WAIT_TICKS;
       if
       :: settled_era = 0
       :: skip
       fi
     }
  od
}

/* A poll; the store answers it at some time between request and answer. */
proctype poll() {
  byte asked_at;
  byte seen_version;
  byte seen_era;
  bool is_of_this_start;
end:
  do
  :: atomic {
       current_tick < LAST_TICK && version[READER] != NO_VERSION ->
       asked_at = current_tick;
       is_of_this_start = has_restarted
     };

     atomic { seen_version = store_version; seen_era = era };
     atomic {
       if
       :: is_of_this_start == has_restarted && seen_era >= known_era[READER] ->
            observe(READER, seen_era);
            adopt(READER, seen_version);
            if
            :: unshown[READER] == 0 && asked_at >= confirms_from[READER] ->
                 confirmed_at[READER] = max(confirmed_at[READER], asked_at);
                 confirmed_era[READER] = known_era[READER]
            :: else -> skip
            fi;
            check(READER)
       :: else -> skip
       fi;
       asked_at = 0;
       seen_version = 0;
       seen_era = 0
     }
  od
}

/* A new process polls once it has read the record, or while it does. */
proctype start() {
  byte record;
  byte record_era;
  byte asked_at;
  byte seen_version;
  byte seen_era;
end:
  atomic {
    has_restarted = true;
    version[READER] = NO_VERSION;
    known_era[READER] = 0;
    unshown[READER] = 0;
    confirms_from[READER] = 0;
    confirmed_at[READER] = 0;
    confirmed_era[READER] = 0
  };
  /* A poll that does not wait for the record. */
  atomic { asked_at = current_tick };
  atomic { seen_version = store_version; seen_era = era };
  atomic { record = settled_era; record_era = era };
  atomic {
    observe(READER, record_era);
    if
    :: is_settled(record) -> confirms_from[READER] = settled_from
    :: else -> skip
    fi;
    record = 0;
    record_era = 0
  };
  atomic {
    if
    :: seen_era >= known_era[READER] ->
         observe(READER, seen_era);
         adopt(READER, seen_version);
         if
         :: unshown[READER] == 0 && asked_at >= confirms_from[READER] ->
              confirmed_at[READER] = asked_at;
              confirmed_era[READER] = known_era[READER]
         :: else -> skip
         fi
    :: else -> version[READER] = OLD_VERSION
    fi;
    check(READER);
    asked_at = 0;
    seen_version = 0;
    seen_era = 0
  }
}

/* Another instance has waited in the same way, and records the era. */
proctype recorder() {
  byte record;
end:
  do
  :: atomic { current_tick >= settles_at -> record = era };
     atomic { settled_era = record; record = 0 }
  od
}

proctype follower() {
  byte asked_at;
  byte answer_version;
  byte answer_age;
  byte answer_era;
  byte answer_confirmed_era;
  byte told_at;
end:
  do
  :: atomic {
       observe(FOLLOWER, era);
       adopt(FOLLOWER, store_version);
       check(FOLLOWER)
     }
  :: atomic {
       current_tick < LAST_TICK -> asked_at = current_tick
     };
     /* A reader that has confirmed nothing does not answer. */
end_answer:
     atomic {
       confirmed_era[READER] != 0 ->
       answer_version = version[READER];
       answer_age = current_tick - confirmed_at[READER];
       answer_era = known_era[READER];
       answer_confirmed_era = confirmed_era[READER]
     };
     atomic {
       told_at = (asked_at > answer_age -> asked_at - answer_age : 0);
       if
       :: answer_era >= known_era[FOLLOWER] ->
            observe(FOLLOWER, answer_era);
            if
            :: is_same_version && unshown[FOLLOWER] == 0 &&
               (holds_at_once || told_at >= confirms_from[FOLLOWER]) ->
                 confirmed_at[FOLLOWER] = max(confirmed_at[FOLLOWER], told_at);
                 confirmed_era[FOLLOWER] = known_era[FOLLOWER]
            :: else -> skip
            fi;
            check(FOLLOWER)
       :: else -> skip
       fi;
       asked_at = 0;
       answer_version = 0;
       answer_age = 0;
       answer_era = 0;
       answer_confirmed_era = 0;
       told_at = 0
     }
  od
}

init {
  atomic {
    run clock();
    run operator();
    run restore();
    run poll();
    run start();
    run recorder();
    run follower()
  }
}
