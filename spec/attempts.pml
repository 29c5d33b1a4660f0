/*
 * Attempt records of one idempotency key.
 *
 * Two instances make up to two attempts each. An append may take effect late,
 * twice or never, and instances crash at any moment and read the stream again
 * from its start. The fold is that of attempts.fold.
 *
 * Checked: the action is sent at most once, `not_run` with scope `key` is
 * stated only while nothing was sent, and readers of the same prefix agree.
 *
 * Seeded faults: FAULT_SEND_UNREAD sends before the record is read back,
 * FAULT_ABANDON_SENT abandons an attempt whose answer is lost, and
 * FAULT_TAKE_OVER abandons the attempt of another instance.
 */
#define INSTANCES 2
#define TRIES 2
#define ATTEMPTS 4
#define LOG 4
#define NONE 255

mtype = { attempt, abandoned, done, idle, claiming, won, waiting }

mtype kind[LOG];
byte subject[LOG];
byte length = 0;

byte attempts_in_flight[ATTEMPTS];
byte abandoned_in_flight[ATTEMPTS];
byte done_in_flight[ATTEMPTS];
byte copies_left = 1;

/* What a fold of the whole stream makes of each prefix; `dead` is a bit set. */
byte true_holder[LOG + 1];
bool true_done = false;
byte true_dead = 0;

byte sends = 0;

inline append(what, one) {
  kind[length] = what;
  subject[length] = one;
  true_holder[length + 1] = true_holder[length];
  fold(what, one, true_holder[length + 1], true_done, true_dead);
  length++
}

inline fold(what, one, holder, is_done, dead) {
  if
  :: what == attempt && holder == NONE && !is_done && !(dead & (1 << one)) ->
       holder = one
  :: what == abandoned ->
       if
       :: holder == one && !is_done -> holder = NONE
       :: else -> skip
       fi;
       dead = dead | (1 << one)
  :: what == done && holder == one -> is_done = true
  :: else -> skip
  fi
}

/* Let an append in flight take effect, or one of its copies. */
inline take_effect(one) {
  if
  :: attempts_in_flight[one] > 0 ->
       attempts_in_flight[one]--;
       append(attempt, one)
  :: attempts_in_flight[one] > 0 && copies_left > 0 ->
       copies_left--;
       append(attempt, one)
  :: abandoned_in_flight[one] > 0 ->
       abandoned_in_flight[one]--;
       append(abandoned, one)
  :: done_in_flight[one] > 0 ->
       done_in_flight[one]--;
       append(done, one)
  fi
}

#define is_in_flight(one) \
  (attempts_in_flight[one] + abandoned_in_flight[one] + \
   done_in_flight[one] > 0)

/* Appends in flight take effect in any order, at any time or never. */
proctype network() {
end:
  do
  :: atomic { length < LOG && is_in_flight(0) -> take_effect(0) }
  :: atomic { length < LOG && is_in_flight(1) -> take_effect(1) }
  :: atomic { length < LOG && is_in_flight(2) -> take_effect(2) }
  :: atomic { length < LOG && is_in_flight(3) -> take_effect(3) }
  od
}

inline fold_next() {
  what = kind[position];
  other = subject[position];
  has_won = holder == NONE;
  fold(what, other, holder, is_done, dead);
  has_won = has_won && holder != NONE;
  position++;
  assert(holder == true_holder[position])
}

inline forget() {
  position = 0;
  holder = NONE;
  is_done = false;
  dead = 0;
  phase = idle;
  own = NONE
}

inline send() {
  sends++;
  assert(sends <= 1);
  phase = waiting
}

proctype instance(byte number) {
  byte position = 0;
  byte holder = NONE;
  bool is_done = false;
  byte dead = 0;
  mtype phase = idle;
  byte own = NONE;
  byte tries = 0;
  mtype what;
  byte other;
  bool has_won;
end:
  do
  :: atomic {
       phase == idle && tries < TRIES ->
       own = number * TRIES + tries;
       tries++;
       attempts_in_flight[own]++;
       phase = claiming;
#ifdef FAULT_SEND_UNREAD
       send()
#endif
     }
  :: atomic {
       position < length ->
       fold_next();
       if
       :: phase == claiming && what == attempt && other == own ->
            if
            :: has_won -> phase = won
            :: else -> phase = idle
            fi
       :: else -> skip
       fi;
       what = 0;
       other = 0;
       has_won = false
     }
  :: atomic {
       /* Given up before it was read back: `not_run`, scope `call`. */
       phase == claiming ->
       abandoned_in_flight[own]++;
       phase = idle
     }
  :: atomic { phase == won -> send() }
  :: atomic {
       /* No runner took a byte: `not_run`, scope `key`. */
       phase == won ->
       assert(sends == 0);
       abandoned_in_flight[own]++;
       phase = idle
     }
  :: atomic {
       phase == waiting ->
       done_in_flight[own]++;
       phase = idle
     }
  :: atomic {
       /* The answer is lost: `unknown`. */
       phase == waiting ->
#ifdef FAULT_ABANDON_SENT
       abandoned_in_flight[own]++;
#endif
       phase = idle
     }
#ifdef FAULT_TAKE_OVER
  :: atomic {
       holder != NONE && holder / TRIES != number && !is_done ->
       abandoned_in_flight[holder] = 1
     }
#endif
  :: atomic { tries < TRIES && (position > 0 || phase != idle) -> forget() }
  od
}

init {
  atomic {
    true_holder[0] = NONE;
    run network();
    run instance(0);
    run instance(1)
  }
}
