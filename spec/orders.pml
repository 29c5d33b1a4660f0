/*
 * Model of orders to engines that carry the offset of their plan as a fencing
 * token.
 *
 * Plans are proposals on one stream, each based on an earlier plan. Two
 * executors read the stream at their own pace and order what the newest plan
 * that they know requires. Orders may be delivered late, also after their
 * executor has stopped; one of the executors may stop at any time. One engine
 * rejects stale tokens. The other ignores tokens, so executors compare what it
 * holds with the plan and order again.
 *
 * Checked: accepted plans form one chain, the fencing engine never returns to
 * an earlier plan, and both engines hold the newest plan when no step remains.
 *
 * Seeded faults:
 * - FAULT_NO_FENCE makes the fencing engine ignore tokens.
 * - FAULT_NO_REPEAT makes an executor order each plan only once from the engine
 *   that ignores tokens.
 * - FAULT_ANY_BASE accepts a proposal whatever it is based on.
 */
#define MAX_RECORDS 4
#define FENCING_ENGINE 0
#define NON_FENCING_ENGINE 1

/* Plans are identified by offset + 1, so that 0 means no plan. */
byte based_on[MAX_RECORDS];
byte log_length = 0;
byte newest_plan = 0;

/* By engine; orders are indexed by executor * 2 + engine. */
byte held_plans[2];
byte ordered_plans[4];
bool is_in_flight[4];

#ifdef FAULT_ANY_BASE
#define accepts(base_plan, current_plan) (true)
#else
#define accepts(base_plan, current_plan) (base_plan == current_plan)
#endif

#ifdef FAULT_NO_REPEAT
#define may_order(known_plan) (last_ordered_plan != known_plan)
#else
#define may_order(known_plan) (true)
#endif

proctype planner() {
  byte base_plan;
  byte proposal_count = 0;
end:
  do
  :: proposal_count < 2 ->
       base_plan = newest_plan;
       atomic {
         log_length < MAX_RECORDS ->
         based_on[log_length] = base_plan;
         if
         :: accepts(base_plan, newest_plan) ->
              assert(base_plan == newest_plan);
              newest_plan = log_length + 1
         :: else -> skip
         fi;
         log_length++;
         base_plan = 0;
         proposal_count++
       }
  od
}

proctype executor(byte executor_id) {
  byte position = 0;
  byte known_plan = 0;
  byte last_ordered_plan = 0;
end:
  do
  :: atomic {
       position < log_length ->
       if
       :: accepts(based_on[position], known_plan) -> known_plan = position + 1
       :: else -> skip
       fi;
       position++
     }
  :: atomic {
       known_plan > 0 && held_plans[FENCING_ENGINE] < known_plan &&
       !is_in_flight[executor_id * 2 + FENCING_ENGINE] ->
       ordered_plans[executor_id * 2 + FENCING_ENGINE] = known_plan;
       is_in_flight[executor_id * 2 + FENCING_ENGINE] = true
     }
  :: atomic {
       known_plan > 0 && held_plans[NON_FENCING_ENGINE] != known_plan &&
       may_order(known_plan) &&
       !is_in_flight[executor_id * 2 + NON_FENCING_ENGINE] ->
       last_ordered_plan = known_plan;
       ordered_plans[executor_id * 2 + NON_FENCING_ENGINE] = known_plan;
       is_in_flight[executor_id * 2 + NON_FENCING_ENGINE] = true
     }
  :: executor_id == 0 -> break
  od
}

/* Deliver orders late and in any sequence. */
proctype network() {
  byte order;
end:
  do
  :: atomic {
       is_in_flight[0] || is_in_flight[1] ||
       is_in_flight[2] || is_in_flight[3] ->
       if
       :: is_in_flight[0] -> order = 0
       :: is_in_flight[1] -> order = 1
       :: is_in_flight[2] -> order = 2
       :: is_in_flight[3] -> order = 3
       fi;
       is_in_flight[order] = false;
       if
       :: order % 2 == NON_FENCING_ENGINE ->
            held_plans[NON_FENCING_ENGINE] = ordered_plans[order]
#ifndef FAULT_NO_FENCE
       :: order % 2 == FENCING_ENGINE &&
          ordered_plans[order] < held_plans[FENCING_ENGINE] -> skip
       :: order % 2 == FENCING_ENGINE &&
          ordered_plans[order] >= held_plans[FENCING_ENGINE] ->
#else
       :: order % 2 == FENCING_ENGINE ->
#endif
            assert(ordered_plans[order] >= held_plans[FENCING_ENGINE]);
            held_plans[FENCING_ENGINE] = ordered_plans[order]
       fi;
       ordered_plans[order] = 0;
       order = 0
     }
  od
}

/* When no step remains, both engines hold the newest plan. */
proctype check_quiescence() {
  timeout ->
  assert(held_plans[FENCING_ENGINE] == newest_plan);
  assert(held_plans[NON_FENCING_ENGINE] == newest_plan)
}

init {
  atomic {
    run planner();
    run planner();
    run executor(0);
    run executor(1);
    run network();
    run check_quiescence()
  }
}
