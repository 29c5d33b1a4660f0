/*
 * Confirmations of the configuration on their way from the store to an
 * instance that follows another one.
 *
 * A clock ticks at any time. The operator takes a key away once. A reader polls
 * the store: the store looks at one moment between the question and the answer.
 * A follower asks the reader, which answers at some later moment with the
 * version that it knows and how old its confirmation is; the answer takes its
 * time. The instances need no common clock, since only ages are sent, and here
 * all of them count the same ticks.
 *
 * Checked: what an instance takes for the moment of a confirmation of the old
 * version is never later than the change. A key is then refused in time, however
 * long anything takes, because requests are refused once that moment is too old.
 *
 * Seeded faults: FAULT_COUNT_FROM_ANSWER lets the reader count from the store's
 * answer and not from its question, FAULT_COUNT_FROM_ARRIVAL lets the follower
 * count from the arrival of the reader's answer, and FAULT_ANY_VERSION lets it
 * take the confirmation of another version for its own.
 */
#define END 7
#define OLD 1
#define NEW 2

byte now = 0;
byte version = OLD;
byte changed_at = END + 1;

byte reader_version = OLD;
byte reader_confirmed = 0;

byte follower_version = OLD;
byte follower_confirmed = 0;

/* The reader's answer that is on its way, if there is one. */
bool answered = false;
byte told_version;
byte told_age;

#ifdef FAULT_ANY_VERSION
#define confirms(told, own) (true)
#else
#define confirms(told, own) (told == own)
#endif

#ifdef FAULT_COUNT_FROM_ARRIVAL
#define counted_from(asked) now
#else
#define counted_from(asked) asked
#endif

#define check_all() \
  assert(reader_version == NEW || reader_confirmed <= changed_at); \
  assert(follower_version == NEW || follower_confirmed <= changed_at)

proctype clock() {
end:
  do
  :: atomic { now < END -> now++ }
  od
}

proctype operator() {
end:
  atomic { version = NEW; changed_at = now }
}

proctype reader() {
  byte asked;
  byte seen;
end:
  do
  :: atomic { now < END -> asked = now };
     seen = version;
     atomic {
       reader_version = seen;
#ifdef FAULT_COUNT_FROM_ANSWER
       reader_confirmed = now;
#else
       reader_confirmed = asked;
#endif
       check_all();
       asked = 0;
       seen = 0
     }
  od
}

proctype follower() {
  byte asked;
  byte moment;
end:
  do
  :: atomic { now < END -> asked = now; answered = false };
     /* The reader answers at any moment after the question. */
     atomic {
       told_version = reader_version;
       told_age = now - reader_confirmed;
       answered = true
     };
     atomic {
       answered ->
       moment = (counted_from(asked) > told_age -> counted_from(asked) - told_age : 0);
       if
       :: confirms(told_version, follower_version) && moment > follower_confirmed ->
            follower_confirmed = moment
       :: else -> skip
       fi;
       check_all();
       asked = 0;
       moment = 0
     };
     /* A newer version is read from the store itself, which takes a while. */
     if
     :: told_version == NEW -> follower_version = NEW
     :: else -> skip
     fi
  od
}

init {
  atomic { run clock(); run operator(); run reader(); run follower() }
}
