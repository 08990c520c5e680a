/* Claim protocol of one idempotency key: a specification for spin.
 *
 * Two requests of one caller, the second sent through another entry after the
 * first was given up by the caller. Each entry reads the record, writes it by a
 * conditional write whose answer may be lost or whose effect may come late,
 * sends the call, and records the outcome. Any entry may pause between any two
 * steps (every interleaving is explored), and may die. A service without a guard
 * runs every call that reaches it.
 *
 * Checked: the call runs at most once; an answer "not run" that the caller
 * received is true then and stays true unless the caller sends again.
 */

#define ENTRIES 2
#define NOBODY 9

mtype = { ABSENT, CLAIMED, DONE, NOT_RUN, UNKNOWN };

/* The stored record. */
mtype state = ABSENT;
byte owner = NOBODY;
byte version = 0;
byte settled_at = 0;       /* Time of the caller's sends that it covers. */

byte now = 1;              /* Grows with each send of the caller. */
byte runs = 0;
bool told_not_run = false; /* The caller relies on it until it sends again. */

/* The caller waits for the answer of the newest request only. */
#define is_heard(at) ((at) == now)

inline tell_not_run(at) {
  atomic {
    if
    :: is_heard(at) -> assert(runs == 0); told_not_run = true
    :: else
    fi
  }
}

inline run_call() {
  atomic {
    runs++;
    assert(runs <= 1);
    assert(!told_not_run)
  }
}

proctype Entry(byte id; byte at) {
  byte seen;
  mtype found;
  byte found_settled;
  bool late = false;

read_record:
  atomic { seen = version; found = state; found_settled = settled_at };
  if
  :: found == ABSENT || (found == NOT_RUN && at > found_settled) -> skip
  :: found == NOT_RUN && at <= found_settled ->
     /* Settled after this request came in. */
     tell_not_run(at); goto end
  :: else -> goto end       /* Told as completed, failed or unknown. */
  fi;

  /* The conditional write of the claim. */
  if
  :: atomic {
       version == seen ->
       state = CLAIMED; owner = id; version++
     }
  :: atomic { version != seen -> goto read_record }
  :: late = true; goto give_back   /* No answer; it may still take effect. */
  fi;

  /* Holds the claim. */
  if
  :: skip
  :: goto end                      /* Dies; the record stays claimed. */
  fi;
  if
  :: run_call();
     if
     :: atomic { (state == CLAIMED && owner == id) ->
                 state = DONE; version++ }
     :: atomic { (state == CLAIMED && owner == id) ->
                 state = UNKNOWN; version++ }
     :: skip                       /* Dies, or the store stays down. */
     fi
  :: /* The service was not reached: not run, recorded before it is told. */
     atomic {
       assert(state == CLAIMED && owner == id);
       state = NOT_RUN; settled_at = now; version++;
       tell_not_run(at)
     }
  fi;
  goto end;

give_back:
  /* The write in doubt may take effect now, later, or never. */
  if
  :: atomic { version == seen -> state = CLAIMED; owner = id; version++ }
  :: skip
  fi;
  /* Giving back always writes, so that a later effect is impossible. */
  atomic {
    if
    :: state == ABSENT || state == NOT_RUN ||
       (state == CLAIMED && owner == id) ->
#ifdef BROKEN_GIVE_BACK
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
  /* Only a first sender is told "not run" without a claim. */
  if
  :: at == 1 -> tell_not_run(at)
  :: else
  fi;
  atomic {
    if
    :: late && version == seen -> state = CLAIMED; owner = id; version++
    :: else
    fi
  };
  /* It never sends under this claim. */
  assert(!(state == CLAIMED && owner == id));

end:
  skip
}

init {
  run Entry(0, 1);
  /* The caller gives up waiting and sends again, twice. */
  atomic { now = 2; told_not_run = false; run Entry(1, 2) };
  atomic { now = 3; told_not_run = false; run Entry(2, 3) }
}
