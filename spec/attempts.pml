/*
 * Model of the attempt records of one idempotency key.
 *
 * Two instances make up to two attempts each. Appends to the log take effect
 * late, in any order or never, and one append of an attempt may take effect
 * twice. Instances crash at any time, lose their state and read the stream
 * again from its start. `fold_record` models `attempts.fold`.
 *
 * Checked: the action is sent at most once; `not_run` with scope `key` is
 * reported only while nothing was sent; readers of the same prefix agree on the
 * holder of the key.
 *
 * Seeded faults:
 * - FAULT_SEND_UNREAD sends before the attempt record is read back.
 * - FAULT_ABANDON_SENT abandons an attempt whose answer is lost.
 * - FAULT_TAKE_OVER abandons the attempt of another instance.
 */
#define INSTANCES 2
#define ATTEMPTS_PER_INSTANCE 2
#define ATTEMPT_COUNT (INSTANCES * ATTEMPTS_PER_INSTANCE)
#define MAX_RECORDS 4
#define NO_ATTEMPT 255

mtype = { attempt, abandoned, done, idle, claiming, won, awaiting_answer }

mtype record_kinds[MAX_RECORDS];
byte record_attempts[MAX_RECORDS];
byte log_length = 0;

byte attempts_in_flight[ATTEMPT_COUNT];
byte abandoned_in_flight[ATTEMPT_COUNT];
byte done_in_flight[ATTEMPT_COUNT];
byte duplicates_left = 1;

/*
 * The fold of the whole stream, against which readers are checked: the holder
 * after each prefix and the current values of the rest. Sets of attempts are
 * bit sets, indexed by attempt.
 */
byte reference_holder[MAX_RECORDS + 1];
bool reference_is_done = false;
byte reference_abandoned_bits = 0;

byte send_count = 0;

inline append_record(kind, attempt_id) {
  record_kinds[log_length] = kind;
  record_attempts[log_length] = attempt_id;
  reference_holder[log_length + 1] = reference_holder[log_length];
  fold_record(kind, attempt_id, reference_holder[log_length + 1],
              reference_is_done, reference_abandoned_bits);
  log_length++
}

inline fold_record(kind, attempt_id, holder, is_done, abandoned_bits) {
  if
  :: kind == attempt && holder == NO_ATTEMPT && !is_done &&
     !(abandoned_bits & (1 << attempt_id)) ->
       holder = attempt_id
  :: kind == abandoned ->
       if
       :: holder == attempt_id && !is_done -> holder = NO_ATTEMPT
       :: else -> skip
       fi;
       abandoned_bits = abandoned_bits | (1 << attempt_id)
  :: kind == done && holder == attempt_id -> is_done = true
  :: else -> skip
  fi
}

/* Append a record in flight to the log, or a duplicate of it. */
inline deliver_append(attempt_id) {
  if
  :: attempts_in_flight[attempt_id] > 0 ->
       attempts_in_flight[attempt_id]--;
       append_record(attempt, attempt_id)
  :: attempts_in_flight[attempt_id] > 0 && duplicates_left > 0 ->
       duplicates_left--;
       append_record(attempt, attempt_id)
  :: abandoned_in_flight[attempt_id] > 0 ->
       abandoned_in_flight[attempt_id]--;
       append_record(abandoned, attempt_id)
  :: done_in_flight[attempt_id] > 0 ->
       done_in_flight[attempt_id]--;
       append_record(done, attempt_id)
  fi
}

#define has_append_in_flight(attempt_id) \
  (attempts_in_flight[attempt_id] + abandoned_in_flight[attempt_id] + \
   done_in_flight[attempt_id] > 0)

/* Deliver appends in flight late, in any order or never. */
proctype network() {
end:
  do
  :: atomic {
       log_length < MAX_RECORDS && has_append_in_flight(0) ->
       deliver_append(0)
     }
  :: atomic {
       log_length < MAX_RECORDS && has_append_in_flight(1) ->
       deliver_append(1)
     }
  :: atomic {
       log_length < MAX_RECORDS && has_append_in_flight(2) ->
       deliver_append(2)
     }
  :: atomic {
       log_length < MAX_RECORDS && has_append_in_flight(3) ->
       deliver_append(3)
     }
  od
}

inline fold_next_record() {
  kind = record_kinds[position];
  record_attempt = record_attempts[position];
  has_won = holder == NO_ATTEMPT;
  fold_record(kind, record_attempt, holder, is_done, abandoned_bits);
  has_won = has_won && holder != NO_ATTEMPT;
  position++;
  assert(holder == reference_holder[position])
}

inline restart() {
  position = 0;
  holder = NO_ATTEMPT;
  is_done = false;
  abandoned_bits = 0;
  phase = idle;
  own_attempt = NO_ATTEMPT
}

inline send_action() {
  send_count++;
  assert(send_count <= 1);
  phase = awaiting_answer
}

proctype instance(byte instance_id) {
  byte position = 0;
  byte holder = NO_ATTEMPT;
  bool is_done = false;
  byte abandoned_bits = 0;
  mtype phase = idle;
  byte own_attempt = NO_ATTEMPT;
  byte attempts_made = 0;
  mtype kind;
  byte record_attempt;
  bool has_won;
end:
  do
  :: atomic {
       phase == idle && attempts_made < ATTEMPTS_PER_INSTANCE ->
       own_attempt = instance_id * ATTEMPTS_PER_INSTANCE + attempts_made;
       attempts_made++;
       attempts_in_flight[own_attempt]++;
       phase = claiming;
#ifdef FAULT_SEND_UNREAD
       send_action()
#endif
     }
  :: atomic {
       position < log_length ->
       fold_next_record();
       if
       :: phase == claiming && kind == attempt &&
          record_attempt == own_attempt ->
            if
            :: has_won -> phase = won
            :: else -> phase = idle
            fi
       :: else -> skip
       fi;
       kind = 0;
       record_attempt = 0;
       has_won = false
     }
  :: atomic {
       /* Abandon an attempt not yet read back: `not_run` with scope `call`. */
       phase == claiming ->
       abandoned_in_flight[own_attempt]++;
       phase = idle
     }
  :: atomic { phase == won -> send_action() }
  :: atomic {
       /* No runner accepted a byte: `not_run` with scope `key`. */
       phase == won ->
       assert(send_count == 0);
       abandoned_in_flight[own_attempt]++;
       phase = idle
     }
  :: atomic {
       phase == awaiting_answer ->
       done_in_flight[own_attempt]++;
       phase = idle
     }
  :: atomic {
       /* The answer is lost, so the outcome is `unknown`. */
       phase == awaiting_answer ->
#ifdef FAULT_ABANDON_SENT
       abandoned_in_flight[own_attempt]++;
#endif
       phase = idle
     }
#ifdef FAULT_TAKE_OVER
  :: atomic {
       holder != NO_ATTEMPT &&
       holder / ATTEMPTS_PER_INSTANCE != instance_id && !is_done ->
       abandoned_in_flight[holder] = 1
     }
#endif
  :: atomic {
       attempts_made < ATTEMPTS_PER_INSTANCE &&
       (position > 0 || phase != idle) -> restart()
     }
  od
}

init {
  atomic {
    reference_holder[0] = NO_ATTEMPT;
    run network();
    run instance(0);
    run instance(1)
  }
}
