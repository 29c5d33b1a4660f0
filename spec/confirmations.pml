/*
 * Model of the confirmation that a configuration is current, which passes from
 * the store through a reader to a follower.
 *
 * Requests with keys are refused once the last confirmation is too old. The
 * operator revokes a key once, with a new version of the configuration. The
 * reader polls the store, which reads its version at some time between request
 * and answer. The follower asks the reader, which answers at any later time
 * with its version and the age of its confirmation; that answer may be delayed.
 * Only ages are sent, so that instances need no common clock; in the model they
 * all count the same ticks.
 *
 * Checked: the time that an instance records for a confirmation of the old
 * version is never later than the change. The age limit then bounds the use of
 * a revoked key, however long messages take.
 *
 * Seeded faults:
 * - FAULT_COUNT_FROM_ANSWER makes the reader count the age from the store's
 *   answer instead of its own request.
 * - FAULT_COUNT_FROM_ARRIVAL makes the follower count the age from the arrival
 *   of the reader's answer instead of its own request.
 * - FAULT_ANY_VERSION makes the follower apply a confirmation of another
 *   version to its own.
 */
#define LAST_TICK 7
#define OLD_VERSION 1
#define NEW_VERSION 2

byte current_tick = 0;
byte store_version = OLD_VERSION;
byte changed_at = LAST_TICK + 1;

byte reader_version = OLD_VERSION;
byte reader_confirmed_at = 0;

byte follower_version = OLD_VERSION;
byte follower_confirmed_at = 0;

/* The reader's answer in flight; valid only if `is_answered`. */
bool is_answered = false;
byte answer_version;
byte answer_age;

#ifdef FAULT_ANY_VERSION
#define confirms(reported, own) (true)
#else
#define confirms(reported, own) (reported == own)
#endif

#ifdef FAULT_COUNT_FROM_ARRIVAL
#define age_reference(asked_at) current_tick
#else
#define age_reference(asked_at) asked_at
#endif

#define check_confirmations() \
  assert(reader_version == NEW_VERSION || reader_confirmed_at <= changed_at); \
  assert(follower_version == NEW_VERSION || follower_confirmed_at <= changed_at)

proctype clock() {
end:
  do
  :: atomic { current_tick < LAST_TICK -> current_tick++ }
  od
}

proctype operator() {
end:
  atomic { store_version = NEW_VERSION; changed_at = current_tick }
}

proctype reader() {
  byte asked_at;
  byte seen_version;
end:
  do
  :: atomic { current_tick < LAST_TICK -> asked_at = current_tick };
     seen_version = store_version;
     atomic {
       reader_version = seen_version;
#ifdef FAULT_COUNT_FROM_ANSWER
       reader_confirmed_at = current_tick;
#else
       reader_confirmed_at = asked_at;
#endif
       check_confirmations();
       asked_at = 0;
       seen_version = 0
     }
  od
}

proctype follower() {
  byte asked_at;
  byte confirmed_at;
end:
  do
  :: atomic {
       current_tick < LAST_TICK ->
       asked_at = current_tick;
       is_answered = false
     };
     /* The reader answers at any time after the request. */
     atomic {
       answer_version = reader_version;
       answer_age = current_tick - reader_confirmed_at;
       is_answered = true
     };
     atomic {
       is_answered ->
       confirmed_at = (age_reference(asked_at) > answer_age ->
         age_reference(asked_at) - answer_age : 0);
       if
       :: confirms(answer_version, follower_version) &&
          confirmed_at > follower_confirmed_at ->
            follower_confirmed_at = confirmed_at
       :: else -> skip
       fi;
       check_confirmations();
       asked_at = 0;
       confirmed_at = 0
     };
     /* A newer version is fetched from the store, which takes time. */
     if
     :: answer_version == NEW_VERSION -> follower_version = NEW_VERSION
     :: else -> skip
     fi
  od
}

init {
  atomic { run clock(); run operator(); run reader(); run follower() }
}
