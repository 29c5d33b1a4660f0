/*
 * Orders to engines that carry the offset of their plan as fencing token.
 *
 * Plans are proposals on one stream, each based on an earlier one. Two
 * executors read the stream at their own pace and order what the newest plan
 * that they know says. An order may be delivered late, also after its executor
 * has stopped, which one of them may do at any moment. One engine rejects a
 * stale token, the other ignores tokens, so that executors compare what it
 * holds with the plan and repeat.
 *
 * Checked: accepted plans form one chain, the fencing engine never returns to
 * an earlier plan, and both engines hold the newest plan once nothing is left
 * to do.
 *
 * Seeded faults: FAULT_NO_FENCE makes the first engine ignore tokens,
 * FAULT_NO_REPEAT orders only once per plan, and FAULT_ANY_BASE accepts a
 * proposal whatever it is based on.
 */
#define LOG 4
#define FENCING 0
#define IGNORING 1

/* Positions are offsets + 1, so that 0 stands for no plan. */
byte based_on[LOG];
byte length = 0;
byte newest = 0;

byte held[2];
byte ordered[4];
bool in_flight[4];

#ifdef FAULT_ANY_BASE
#define accepts(base, current) (true)
#else
#define accepts(base, current) (base == current)
#endif

#ifdef FAULT_NO_REPEAT
#define may_order(plan) (last != plan)
#else
#define may_order(plan) (true)
#endif

proctype planner() {
  byte base;
  byte count = 0;
end:
  do
  :: count < 2 ->
       base = newest;
       atomic {
         length < LOG ->
         based_on[length] = base;
         if
         :: accepts(base, newest) ->
              assert(base == newest);
              newest = length + 1
         :: else -> skip
         fi;
         length++;
         base = 0;
         count++
       }
  od
}

proctype executor(byte number) {
  byte position = 0;
  byte plan = 0;
  byte last = 0;
end:
  do
  :: atomic {
       position < length ->
       if
       :: accepts(based_on[position], plan) -> plan = position + 1
       :: else -> skip
       fi;
       position++
     }
  :: atomic {
       plan > 0 && held[FENCING] < plan && !in_flight[number * 2 + FENCING] ->
       ordered[number * 2 + FENCING] = plan;
       in_flight[number * 2 + FENCING] = true
     }
  :: atomic {
       plan > 0 && held[IGNORING] != plan && may_order(plan) &&
       !in_flight[number * 2 + IGNORING] ->
       last = plan;
       ordered[number * 2 + IGNORING] = plan;
       in_flight[number * 2 + IGNORING] = true
     }
  :: number == 0 -> break
  od
}

/* Deliver orders late and in any order. */
proctype network() {
  byte one;
end:
  do
  :: atomic {
       in_flight[0] || in_flight[1] || in_flight[2] || in_flight[3] ->
       if
       :: in_flight[0] -> one = 0
       :: in_flight[1] -> one = 1
       :: in_flight[2] -> one = 2
       :: in_flight[3] -> one = 3
       fi;
       in_flight[one] = false;
       if
       :: one % 2 == IGNORING -> held[IGNORING] = ordered[one]
#ifndef FAULT_NO_FENCE
       :: one % 2 == FENCING && ordered[one] < held[FENCING] -> skip
       :: one % 2 == FENCING && ordered[one] >= held[FENCING] ->
#else
       :: one % 2 == FENCING ->
#endif
            assert(ordered[one] >= held[FENCING]);
            held[FENCING] = ordered[one]
       fi;
       ordered[one] = 0;
       one = 0
     }
  od
}

/* Nothing is left to do: both engines hold the newest plan. */
proctype at_rest() {
  timeout ->
  assert(held[FENCING] == newest);
  assert(held[IGNORING] == newest)
}

init {
  atomic {
    run planner();
    run planner();
    run executor(0);
    run executor(1);
    run network();
    run at_rest()
  }
}
