/*
 * Promotions of one environment, with snapshots and retention.
 *
 * Two operators promote documents based on what they saw some time ago. Paused
 * instances append snapshots of what they folded some time ago. Retention
 * drops records at any moment. Readers start at any moment, also behind
 * dropped records.
 *
 * Checked: a promotion wins only if it was based on the active document, a
 * reader that knows the active document agrees with the whole history, and the
 * version that a reader applies never decreases.
 *
 * Seeded faults: FAULT_ANY_SNAPSHOT accepts a snapshot whatever its `as_of`,
 * and FAULT_LAST_WINS accepts a promotion whatever it is based on.
 */
#define LOG 6

mtype = { promotion, snapshot }

/* Positions are offsets + 1, so that 0 stands for no document. */
mtype kind[LOG];
byte based_on[LOG];
byte version_in[LOG];
byte newest_in[LOG];
byte as_of[LOG];
byte length = 0;
byte earliest = 0;

/* The outcome of folding the whole history up to each length. */
byte true_version[LOG + 1];
byte true_newest[LOG + 1];

#ifdef FAULT_LAST_WINS
#define accepts(base, current) (true)
#else
#define accepts(base, current) (base == current)
#endif

#ifdef FAULT_ANY_SNAPSHOT
#define covers(folded, dropped) (true)
#else
#define covers(folded, dropped) (folded >= dropped)
#endif

inline extend_truth() {
  true_version[length + 1] = true_version[length];
  true_newest[length + 1] = true_newest[length];
  if
  :: kind[length] == promotion && accepts(based_on[length], true_newest[length]) ->
       assert(based_on[length] == true_newest[length]);
       true_version[length + 1] = true_version[length] + 1;
       true_newest[length + 1] = length + 1
  :: else -> skip
  fi;
  length++
}

proctype operator() {
  byte seen;
  byte base;
  byte count = 0;
end:
  do
  :: count < 2 ->
       atomic {
         select (seen : 0 .. length);
         base = true_newest[seen];
         seen = 0
       };
       atomic {
         length < LOG ->
         kind[length] = promotion;
         based_on[length] = base;
         extend_truth();
         base = 0;
         count++
       }
  od
}

proctype snapshooter() {
  byte seen;
end:
  atomic {
    length > 0 ->
    select (seen : 1 .. length)
  };
  atomic {
    length < LOG ->
    kind[length] = snapshot;
    version_in[length] = true_version[seen];
    newest_in[length] = true_newest[seen];
    as_of[length] = seen;
    extend_truth();
    seen = 0
  }
}

proctype retention() {
end:
  do
  :: atomic { earliest < length -> earliest++ }
  od
}

inline fold_promotion(at) {
  if
  :: kind[at] == promotion && accepts(based_on[at], newest) ->
       version++;
       newest = at + 1
  :: else -> skip
  fi
}

inline apply() {
  assert(version == true_version[position]);
  assert(newest == true_newest[position]);
  assert(version >= applied);
  applied = version
}

proctype reader() {
  byte position = 0;
  byte version = 0;
  byte newest = 0;
  byte applied = 0;
  /* Records before this position were dropped before they were read. */
  byte dropped = 0;
  bool knows = true;
  byte at = 0;
end:
  do
  :: atomic {
       position < earliest ->
       position = earliest;
       dropped = earliest;
       knows = false;
       version = 0;
       newest = 0
     }
  :: atomic {
       position >= earliest && position < length ->
       if
       :: knows -> fold_promotion(position)
       :: !knows && kind[position] == snapshot && covers(as_of[position], dropped) ->
            /* The reader has kept what it read since the gap. */
            version = version_in[position];
            newest = newest_in[position];
            at = as_of[position];
            if
            :: at < dropped -> at = dropped
            :: else -> skip
            fi;
            do
            :: at < position -> fold_promotion(at); at++
            :: else -> break
            od;
            at = 0;
            knows = true
       :: else -> skip
       fi;
       position++;
       if
       :: knows -> apply()
       :: else -> skip
       fi
     }
  od
}

init {
  atomic {
    run operator();
    run operator();
    run snapshooter();
    run snapshooter();
    run retention();
    run reader()
  }
}
