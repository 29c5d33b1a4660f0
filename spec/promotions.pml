/*
 * Model of the promotions of one environment, with snapshots and retention.
 *
 * Two operators promote documents based on an earlier state of the stream.
 * Instances append snapshots of an earlier state, as if they had been paused.
 * Retention drops records from the start of the stream at any time. A reader
 * starts at any time and may find that records before its position are gone.
 *
 * Checked: a promotion is accepted only if it is based on the document in
 * force; a reader that knows the document in force agrees with a fold of the
 * whole history; the version that a reader applies never decreases.
 *
 * Seeded faults:
 * - FAULT_ANY_SNAPSHOT accepts a snapshot whatever its `as_of`.
 * - FAULT_LAST_WINS accepts a promotion whatever it is based on.
 */
#define MAX_RECORDS 6

mtype = { promotion, snapshot }

/*
 * Fields of the records. Documents are identified by the offset of their
 * promotion + 1, so that 0 means no document. `as_of` is the number of records
 * that a snapshot covers.
 */
mtype record_kinds[MAX_RECORDS];
byte based_on[MAX_RECORDS];
byte snapshot_versions[MAX_RECORDS];
byte snapshot_documents[MAX_RECORDS];
byte as_of[MAX_RECORDS];
byte log_length = 0;
byte earliest_position = 0;

/* The fold of the first N records, by N; readers are checked against it. */
byte reference_versions[MAX_RECORDS + 1];
byte reference_documents[MAX_RECORDS + 1];

#ifdef FAULT_LAST_WINS
#define accepts(base_document, current_document) (true)
#else
#define accepts(base_document, current_document) \
  (base_document == current_document)
#endif

#ifdef FAULT_ANY_SNAPSHOT
#define covers(folded_length, gap_end) (true)
#else
#define covers(folded_length, gap_end) (folded_length >= gap_end)
#endif

/* Extend the reference fold by the record just written. */
inline complete_append() {
  reference_versions[log_length + 1] = reference_versions[log_length];
  reference_documents[log_length + 1] = reference_documents[log_length];
  if
  :: record_kinds[log_length] == promotion &&
     accepts(based_on[log_length], reference_documents[log_length]) ->
       assert(based_on[log_length] == reference_documents[log_length]);
       reference_versions[log_length + 1] = reference_versions[log_length] + 1;
       reference_documents[log_length + 1] = log_length + 1
  :: else -> skip
  fi;
  log_length++
}

proctype operator() {
  byte seen_length;
  byte base_document;
  byte promotion_count = 0;
end:
  do
  :: promotion_count < 2 ->
       atomic {
         select (seen_length : 0 .. log_length);
         base_document = reference_documents[seen_length];
         seen_length = 0
       };
       atomic {
         log_length < MAX_RECORDS ->
         record_kinds[log_length] = promotion;
         based_on[log_length] = base_document;
         complete_append();
         base_document = 0;
         promotion_count++
       }
  od
}

proctype snapshot_writer() {
  byte seen_length;
end:
  atomic {
    log_length > 0 ->
    select (seen_length : 1 .. log_length)
  };
  atomic {
    log_length < MAX_RECORDS ->
    record_kinds[log_length] = snapshot;
    snapshot_versions[log_length] = reference_versions[seen_length];
    snapshot_documents[log_length] = reference_documents[seen_length];
    as_of[log_length] = seen_length;
    complete_append();
    seen_length = 0
  }
}

proctype retention() {
end:
  do
  :: atomic { earliest_position < log_length -> earliest_position++ }
  od
}

inline fold_promotion(replay_position) {
  if
  :: record_kinds[replay_position] == promotion &&
     accepts(based_on[replay_position], document) ->
       version++;
       document = replay_position + 1
  :: else -> skip
  fi
}

inline apply_version() {
  assert(version == reference_versions[position]);
  assert(document == reference_documents[position]);
  assert(version >= applied_version);
  applied_version = version
}

proctype reader() {
  byte position = 0;
  byte version = 0;
  byte document = 0;
  byte applied_version = 0;
  /* The end of the gap; records before it were dropped unread. */
  byte gap_end = 0;
  bool is_document_known = true;
  byte replay_position = 0;
end:
  do
  :: atomic {
       position < earliest_position ->
       position = earliest_position;
       gap_end = earliest_position;
       is_document_known = false;
       version = 0;
       document = 0
     }
  :: atomic {
       position >= earliest_position && position < log_length ->
       if
       :: is_document_known -> fold_promotion(position)
       :: !is_document_known && record_kinds[position] == snapshot &&
          covers(as_of[position], gap_end) ->
            /* Replay the records that the reader has kept since the gap. */
            version = snapshot_versions[position];
            document = snapshot_documents[position];
            replay_position = as_of[position];
            if
            :: replay_position < gap_end -> replay_position = gap_end
            :: else -> skip
            fi;
            do
            :: replay_position < position ->
                 fold_promotion(replay_position);
                 replay_position++
            :: else -> break
            od;
            replay_position = 0;
            is_document_known = true
       :: else -> skip
       fi;
       position++;
       if
       :: is_document_known -> apply_version()
       :: else -> skip
       fi
     }
  od
}

init {
  atomic {
    run operator();
    run operator();
    run snapshot_writer();
    run snapshot_writer();
    run retention();
    run reader()
  }
}
