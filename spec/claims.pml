/* Promela model, for spin, of the claim protocol of one idempotency key.
 *
 * One caller sends an action three times, each time through another entry after
 * it stopped waiting for the previous response. Each entry reads the record of
 * the key, claims it by a conditional write whose response may be lost or which
 * may take effect late, sends the call to the service, and records the outcome.
 * An entry may pause between any two steps (every interleaving is explored) and
 * may crash. The service has no guard against repeated calls: it runs every
 * call that reaches it.
 *
 * Properties: the call runs at most once; a response "not run" that the caller
 * receives is true at that time and stays true until the caller sends again.
 */

#define ENTRIES 2
#define NO_OWNER 9

mtype = { ABSENT, CLAIMED, DONE, NOT_RUN, UNKNOWN };

/* The stored record. */
mtype state = ABSENT;
byte owner = NO_OWNER;
byte version = 0;
byte settled_at = 0;     /* Latest send that a NOT_RUN record covers. */

byte now = 1;            /* Logical time: the number of sends of the caller. */
byte runs = 0;
/* The caller relies on a reported "not run" until it sends again. */
bool not_run_reported = false;

/* The caller waits for the response to its latest request only. */
#define is_awaited(at) ((at) == now)

inline report_not_run(at) {
  atomic {
    if
    :: is_awaited(at) -> assert(runs == 0); not_run_reported = true
    :: else
    fi
  }
}

inline run_call() {
  atomic {
    runs++;
    assert(runs <= 1);
    assert(!not_run_reported)
  }
}

proctype Entry(byte id; byte at) {
  byte seen;
  mtype found;
  byte found_settled;
  bool claim_pending = false;

read_record:
  atomic { seen = version; found = state; found_settled = settled_at };
  if
  :: found == ABSENT || (found == NOT_RUN && at > found_settled) -> skip
  :: found == NOT_RUN && at <= found_settled ->
     /* This request was settled as not run after it had arrived. */
     report_not_run(at); goto end
  :: else -> goto end       /* Reports completed, failed or unknown. */
  fi;

  /* Claims the key by a conditional write. */
  if
  :: atomic {
       version == seen ->
       state = CLAIMED; owner = id; version++
     }
  :: atomic { version != seen -> goto read_record }
  :: /* No response; the write may still take effect. */
     claim_pending = true; goto give_back
  fi;

  /* This entry holds the claim. */
  if
  :: skip
  :: goto end                      /* Crashes; the record stays claimed. */
  fi;
  if
  :: run_call();
     if
     :: atomic { (state == CLAIMED && owner == id) ->
                 state = DONE; version++ }
     :: atomic { (state == CLAIMED && owner == id) ->
                 state = UNKNOWN; version++ }
     :: skip                       /* Crashes, or the store stays down. */
     fi
  :: /* The service was not reached; NOT_RUN is recorded, then reported. */
     atomic {
       assert(state == CLAIMED && owner == id);
       state = NOT_RUN; settled_at = now; version++;
       report_not_run(at)
     }
  fi;
  goto end;

give_back:
  /* The unconfirmed claim write may take effect now, later or never. */
  if
  :: atomic { version == seen -> state = CLAIMED; owner = id; version++ }
  :: skip
  fi;
  /* Giving the claim back always writes the record. This changes its version,
   * so that the pending conditional write can no longer take effect. */
  atomic {
    if
    :: state == ABSENT || state == NOT_RUN ||
       (state == CLAIMED && owner == id) ->
#ifdef BROKEN_GIVE_BACK
       /* Leaves a NOT_RUN record at its version, so that the pending write can
        * still take effect. */
       if
       :: state == NOT_RUN -> skip
       :: else -> state = NOT_RUN; owner = id; settled_at = now; version++
       fi
#else
       state = NOT_RUN; owner = id; settled_at = now; version++
#endif
    :: else -> version++
    fi
  };
  /* Without a claim, "not run" is reported to the caller's first send only. */
  if
  :: at == 1 -> report_not_run(at)
  :: else
  fi;
  atomic {
    if
    :: claim_pending && version == seen ->
       state = CLAIMED; owner = id; version++
    :: else
    fi
  };
  /* This entry will not send the call, so it must not hold the claim. */
  assert(!(state == CLAIMED && owner == id));

end:
  skip
}

init {
  run Entry(0, 1);
  /* The caller stops waiting and sends again, twice. */
  atomic { now = 2; not_run_reported = false; run Entry(1, 2) };
  atomic { now = 3; not_run_reported = false; run Entry(2, 3) }
}
