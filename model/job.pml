/* A non-idempotent job: claim, fencing, outcome (invariants I4 and I5).
 *
 * Entry instance 0 receives the request and claims the job. It may be paused or killed at any
 * step. Entry instance 1 is its successor: it resolves the claim, and submits the same key again
 * once the first submission is reported as not run. The append of a submission may be repeated
 * after a lost response, and the copy may arrive late. Dispatches and replies are delayed or lost,
 * and the server reboots once.
 *
 * TASK_NONE: the server has task_control "none": it remembers no stops and checks nothing.
 * QUEUED: the job is accepted into the queue and cancelled by its caller.
 * Guards that can be removed: NO_STOP_MEMORY, NO_BOOT_CHECK, NO_START_BEFORE, NO_FENCE,
 * NO_CLAIM_READ, NO_SUBMIT_MEMORY, MOVE_UNREFUSED (the claimant moves its claim to another server
 * without a refusal by the first one).
 * SILENCE_IS_CRASH: the successor takes silence for a crash and decides from its own state, as in
 * a three-phase commit without a log. CHECK_STOPPED adds a property that holds with task_control
 * "full" only: a job reported as stopped does not start later.
 */

#ifdef QUEUED
#define ATTEMPTS 3 /* Attempt 0 is unused. */
#else
#define ATTEMPTS 4
#endif
#define BIT(x) (1 << (x))

mtype = { NONE, QUEUED_, CLAIMED, COMPLETED, STOPPED, NOTRUN };
mtype = { IDLE, SENT, RUNNING, DONE, KILLED, REFUSED };

/* State of the fold at the end of the log. */
mtype phase = NONE;
byte attempt;
byte claimant;
byte submits; /* Ids of the accepted submissions of the key. */
bool cancelled;

/* The network and the server, for each attempt. */
mtype run_[ATTEMPTS] = IDLE;
byte sentBoot[ATTEMPTS];
byte submitOf[ATTEMPTS]; /* The submission that an attempt belongs to. */
byte boot = 1;
byte claimBoot[ATTEMPTS];
byte stops;   /* Attempts whose stop the server remembers. */
byte expired; /* Attempts whose start-before has passed on the server's clock. */

byte starts;
byte reported; /* Submissions that were reported as not run. */
byte started;  /* Submissions of which an attempt has started. */
bool stoppedReported;
bool copyPending; /* A repeated append of submission 0 that has not arrived yet. */

#ifdef TASK_NONE
#define FULL false
#else
#define FULL true
#endif

#ifdef NO_SUBMIT_MEMORY
#define IS_NEW(id) true
#else
#define IS_NEW(id) !(submits & BIT(id))
#endif

#if defined(NO_FENCE) || defined(SILENCE_IS_CRASH)
#define MAY_GIVE_BACK(fenced) true
#else
#define MAY_GIVE_BACK(fenced) (fenced && FULL)
#endif

inline FoldSubmit(id, entry)
{
  if
  :: (phase == NONE || phase == NOTRUN) && attempt + 1 < ATTEMPTS && IS_NEW(id) ->
    submits = submits | BIT(id);
    cancelled = false;
#ifdef QUEUED
    phase = QUEUED_;
    submitOf[attempt + 1] = id
#else
    attempt++;
    submitOf[attempt] = id;
    claimant = entry;
    claimBoot[attempt] = boot;
    phase = CLAIMED
#endif
  :: else
  fi
}

inline FoldClaim(entry, n)
{
  if
  :: phase == QUEUED_ && n == attempt + 1 && n < ATTEMPTS ->
    submitOf[n] = submitOf[attempt + 1];
    attempt = n;
    claimant = entry;
    claimBoot[attempt] = boot;
    phase = CLAIMED
  :: else
  fi
}

/* A claim after a refusal: the claimant goes on to the next attempt on another server. */
inline FoldMove(entry, n)
{
  if
  :: phase == CLAIMED && attempt == n && claimant == entry && !cancelled && n + 1 < ATTEMPTS ->
    attempt = n + 1;
    submitOf[attempt] = submitOf[n];
    claimBoot[attempt] = boot
  :: else
  fi
}

inline FoldGiveBack(entry, n, fenced)
{
  if
  :: phase == CLAIMED && attempt == n && (claimant == entry || MAY_GIVE_BACK(fenced)) ->
#ifdef QUEUED
    if
    :: !cancelled && attempt + 1 < ATTEMPTS ->
      phase = QUEUED_;
      submitOf[attempt + 1] = submitOf[attempt]
    :: else -> phase = NOTRUN
    fi
#else
    phase = NOTRUN
#endif
  :: else
  fi
}

inline FoldFinish(n, outcome)
{
  if
  :: phase == CLAIMED && attempt == n -> phase = outcome
  :: else
  fi
}

/* A reader of the log tells the caller. */
proctype Reporter()
{
  do
  :: atomic { phase == NOTRUN && !(reported & submits) ->
      /* Never "not run" after a start. Earlier submissions are in `reported` already. */
      assert(!(started & submits));
      reported = reported | submits
    }
  :: atomic { phase == NOTRUN && (reported & submits) != submits ->
      assert(!(started & submits));
      reported = reported | submits
    }
  :: atomic { phase == STOPPED && !stoppedReported -> stoppedReported = true }
  od
}

#ifdef QUEUED
proctype Caller()
{
  atomic {
    phase != NONE;
    if
    :: phase == QUEUED_ -> cancelled = true; phase = NOTRUN
    :: phase == CLAIMED -> cancelled = true
    :: else
    fi
  }
}
#endif

proctype Claimant()
{
  byte mine;

  if
  :: atomic { true -> FoldSubmit(0, 0) }
  :: atomic { true -> FoldSubmit(0, 0); copyPending = true } /* The response is lost. */
  :: atomic { copyPending = true } /* Both the request and the repeat are delayed. */
  :: goto killed                   /* Killed before the append. */
  fi;
#ifdef QUEUED
again:
  atomic { phase == QUEUED_ -> FoldClaim(0, attempt + 1) };
#endif
  /* The claim is read back from the log. */
#ifdef NO_CLAIM_READ
  /* Dispatched at once; an attempt that the log may refuse has its own slot. */
  atomic { mine = ATTEMPTS - 1; submitOf[mine] = 0; claimBoot[mine] = boot };
#else
  atomic { phase == CLAIMED && claimant == 0 -> mine = attempt };
#endif
  if
  :: atomic { true -> FoldGiveBack(0, mine, false) }; /* The claim is too old to be dispatched. */
    goto killed
  :: skip
  :: goto killed
  fi;
dispatch:
  /* Any pause may happen here, after the check of the claim's age. */
  atomic {
    run_[mine] == IDLE ->
    run_[mine] = SENT;
    sentBoot[mine] = claimBoot[mine]
  };
  if
  :: atomic { run_[mine] == DONE -> FoldFinish(mine, COMPLETED) }
  :: atomic { run_[mine] == REFUSED -> FoldGiveBack(0, mine, false) }
#ifdef QUEUED
    ; mine = 0; goto again
#else
#ifdef MOVE_UNREFUSED
  :: atomic { true ->
#else
  :: atomic { run_[mine] == REFUSED ->
#endif
      FoldMove(0, mine);
      if
      :: phase == CLAIMED && claimant == 0 && attempt == mine + 1 -> mine = attempt
      :: else -> mine = 0
      fi
    };
    if
    :: mine != 0 -> goto dispatch
    :: else
    fi
#endif
  :: goto killed /* Killed, or the reply is lost: the job stays claimed. */
  fi;
killed:
  skip
}

/* Late copy of the first submission. */
proctype LateCopy()
{
  atomic { copyPending -> copyPending = false; FoldSubmit(0, 0) }
}

/* Resolves a claim of the other entry instance whenever it takes that one for dead. */
proctype Successor()
{
  byte n;
  bool own;

  do
  :: atomic { phase == CLAIMED && !own -> n = attempt };
#ifdef SILENCE_IS_CRASH
    /* No completion is known here, so the job is taken as not run. */
    atomic { FoldGiveBack(1, n, false) };
#else
    if
#ifdef NO_FENCE
    :: atomic { true -> FoldGiveBack(1, n, false) }
#endif
    :: atomic { sentBoot[n] == boot || (run_[n] == IDLE && claimBoot[n] == boot) ->
        /* The stop reaches the server. */
        if
        :: run_[n] == DONE -> FoldFinish(n, COMPLETED)
        :: run_[n] == RUNNING && FULL -> run_[n] = KILLED; FoldFinish(n, STOPPED)
        :: run_[n] != DONE && run_[n] != RUNNING ->
#ifndef NO_STOP_MEMORY
          stops = stops | BIT(n)
#endif
        :: else
        fi
      };
      /* The reply "never started" leads to a separate append, and may be lost. */
      if
      :: atomic { FULL && phase == CLAIMED && attempt == n && (stops & BIT(n)) ->
          FoldGiveBack(1, n, true) }
#ifdef NO_STOP_MEMORY
      :: atomic { phase == CLAIMED && attempt == n && run_[n] != RUNNING && run_[n] != DONE ->
          FoldGiveBack(1, n, true) }
#endif
      :: skip
      fi
    :: atomic { phase == CLAIMED && attempt == n && boot != claimBoot[n] ->
        /* A new boot id shows that the attempt cannot run any more. */
        FoldFinish(n, STOPPED) }
    :: atomic { phase != CLAIMED || attempt != n -> skip }
    fi;
#endif
    n = 0
  :: atomic { (phase == NONE || (phase == NOTRUN && (reported & BIT(0)))) && !(submits & BIT(1)) ->
      /* The caller repeats the request here, after a broken connection or after "not run". */
      FoldSubmit(1, 1);
#ifdef QUEUED
      FoldClaim(1, attempt + 1);
#endif
      own = (phase == CLAIMED && claimant == 1);
      n = attempt
    };
    if
    :: own -> atomic {
        run_[n] == IDLE -> run_[n] = SENT; sentBoot[n] = claimBoot[n]; n = 0 }
    :: else -> n = 0
    fi
#ifdef QUEUED
  :: atomic { phase == QUEUED_ && (submits & BIT(0)) && !own ->
      FoldClaim(1, attempt + 1);
      n = attempt;
      own = (phase == CLAIMED && claimant == 1) };
    if
    :: own -> atomic {
        run_[n] == IDLE -> run_[n] = SENT; sentBoot[n] = claimBoot[n]; n = 0; own = false }
    :: else -> n = 0
    fi
#endif
  od
}

inline Refuse(n)
{
  run_[n] = REFUSED
}

proctype Server()
{
  byte n;

  do
  :: atomic {
      select(n : 1 .. ATTEMPTS - 1);
      if
      :: run_[n] == SENT ->
        if
#ifndef NO_BOOT_CHECK
        :: FULL && sentBoot[n] != boot -> Refuse(n)
#endif
#ifndef NO_START_BEFORE
        :: FULL && (expired & BIT(n)) -> Refuse(n)
#endif
        :: FULL && (stops & BIT(n)) -> Refuse(n)
        :: else ->
          run_[n] = RUNNING;
          starts++;
          started = started | BIT(submitOf[n]);
          assert(starts <= 1);                      /* At most one run. */
          assert(!(reported & BIT(submitOf[n])));   /* Not after "not run". */
#ifdef CHECK_STOPPED
          assert(!stoppedReported)
#endif
        fi
      :: run_[n] == RUNNING -> run_[n] = DONE
      :: else
      fi;
      n = 0
    }
  :: atomic { /* No free slot, with or without task control. */
      select(n : 1 .. ATTEMPTS - 1);
      if
      :: run_[n] == SENT -> Refuse(n)
      :: else
      fi;
      n = 0
    }
  :: atomic { boot == 1 -> /* A reboot ends what runs and forgets the stops. */
      n = 1;
      do
      :: n < ATTEMPTS ->
        if
        :: run_[n] == RUNNING -> run_[n] = KILLED
        :: else
        fi;
        n++
      :: else -> break
      od;
      n = 0;
      stops = 0;
      boot = 2
    }
  :: atomic { select(n : 1 .. ATTEMPTS - 1); !(expired & BIT(n)) && attempt >= n ->
      expired = expired | BIT(n); n = 0 }
  :: atomic { select(n : 1 .. ATTEMPTS - 1); (stops & BIT(n)) && (expired & BIT(n)) ->
      stops = stops & ~BIT(n); n = 0 } /* A stop is kept until start-before has passed. */
#ifdef NO_START_BEFORE
  :: atomic { select(n : 1 .. ATTEMPTS - 1); (stops & BIT(n)) -> stops = stops & ~BIT(n); n = 0 }
#endif
  od
}

init {
  atomic {
    run Claimant();
    run LateCopy();
    run Successor();
    run Server();
    run Reporter();
#ifdef QUEUED
    run Caller();
#endif
  }
}
