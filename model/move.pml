/* An instance moves between pools (invariants I2, I6 and I7).
 *
 * One instance moves from pool 0 to pool 1. Two entry instances dispatch to it by their own view
 * of the log; each may be paused, or partitioned, with an old view. Two movers may both drive the
 * move, and the first may be killed. Reboot orders are repeated and arrive late, the instance may
 * also restart by itself, and the platform's list may lose it for a while.
 *
 * Guards that can be removed: NO_SERVER_CHECK, NO_WAIT, NO_PLATFORM_DRAIN, IGNORE_PHASE,
 * NOT_IDEMPOTENT, RETURN_ON_ANY_BOOT, RESUME_NEW_EPOCH, ONE_MOVER (with LIVE).
 * LIVE: bounded faults and the property that the move ends.
 */

#define ENTRIES 2
#define BIT(x) (1 << (x))
#define EPOCHS 5

mtype = { SERVING, LEAVING };

typedef View {
  mtype phase;
  byte pool;
  byte boot;
};

/* The fold's state, and the view that each entry instance has read last. */
View fold;
byte epoch = 1;
byte target;
View view[ENTRIES];
bool partitioned[ENTRIES];

/* The instance and the platform. */
byte realPool; /* Pool whose service the running process offers. */
byte realBoot = 1;
bool draining; /* The platform's drain order has reached the server. */
byte pending;  /* Reboot orders on their way, by operation (epoch). */
byte executed; /* Operations that have been executed. */
byte bootOf;   /* Boot id that resulted from the reboot order. */
bool restarted;
bool glitched; /* The platform's list has lost the instance once. */
bool moved;

/* One request for each entry instance: on its way, or running. */
mtype = { NONE, SENT, RUNNING };
mtype request[ENTRIES] = NONE;
byte requestPool[ENTRIES];
byte requestBoot[ENTRIES];

#define IDLE(e) (request[e] == NONE)
#define NONE_RUNNING (request[0] != RUNNING && request[1] != RUNNING)

inline CopyView(to)
{
  to.phase = fold.phase;
  to.pool = fold.pool;
  to.boot = fold.boot
}

#ifdef IGNORE_PHASE
#define MAY_SEND(e) true
#else
#define MAY_SEND(e) (view[e].phase == SERVING)
#endif

proctype Entry(byte me)
{
  byte sent;

  do
  :: atomic { !partitioned[me] && (view[me].phase != fold.phase || view[me].boot != fold.boot) ->
      CopyView(view[me]) }
  :: atomic { IDLE(me) && sent < 2 && MAY_SEND(me) ->
      /* No new work for a leaving instance once the drain record has been read. */
      assert(view[me].phase == SERVING);
      request[me] = SENT;
      requestPool[me] = view[me].pool;
      requestBoot[me] = view[me].boot;
      sent++ }
  od
}

#ifdef NO_SERVER_CHECK
#define STALE(e) false
#else
#define STALE(e) (requestPool[e] != realPool || requestBoot[e] != realBoot)
#endif

inline Deliver(e)
{
  if
  :: request[e] == SENT ->
    if
    :: STALE(e) || draining -> request[e] = NONE /* Refused before the start. */
    :: else ->
      assert(requestPool[e] == realPool); /* Not served by the wrong pool's service. */
      request[e] = RUNNING
    fi
  :: request[e] == RUNNING -> request[e] = NONE
  fi
}

proctype Server()
{
  do
  :: atomic { request[0] != NONE -> Deliver(0) }
  :: atomic { request[1] != NONE -> Deliver(1) }
  od
}

inline Boot()
{
  realBoot++;
  draining = false;
  if
  :: request[0] == RUNNING -> request[0] = NONE
  :: else
  fi;
  if
  :: request[1] == RUNNING -> request[1] = NONE
  :: else
  fi
}

#ifdef NOT_IDEMPOTENT
#define IS_NEW(op) true
#else
#define IS_NEW(op) !(executed & BIT(op))
#endif

inline Execute(op)
{
  if
  :: pending = pending & ~BIT(op)
  :: skip /* A copy of the order is still on its way. */
  fi;
  if
  :: IS_NEW(op) && realBoot < 5 ->
    /* A planned stop interrupts no request, and reboots only a leaving instance. */
    assert(NONE_RUNNING);
    assert(fold.phase == LEAVING);
    executed = executed | BIT(op);
    Boot();
    realPool = target;
    bootOf = realBoot
  :: else
  fi
}

proctype Platform()
{
  do
  :: atomic { (pending & BIT(2)) -> Execute(2) }
  :: atomic { (pending & BIT(3)) -> Execute(3) }
  od
}

/* The instance restarts by itself and starts the service that it was last told to offer. */
proctype Restart()
{
  atomic { NONE_RUNNING && !restarted -> restarted = true; Boot() }
}

#ifdef RESUME_NEW_EPOCH
#define RESUMED (epoch + 1)
#else
#define RESUMED epoch
#endif

/* Retire and Join with an unchanged boot id while the move is in progress. */
proctype ListGlitch()
{
  atomic { fold.phase == LEAVING && realBoot == fold.boot && !glitched ->
    glitched = true;
    epoch = RESUMED }
}

proctype Partition()
{
  byte e;

  atomic { select(e : 0 .. ENTRIES - 1); partitioned[e] = true };
  partitioned[e] = false
}

#ifdef RETURN_ON_ANY_BOOT
#define REBOOTED (realBoot != fold.boot)
#else
#define REBOOTED (bootOf > fold.boot)
#endif

#ifdef NO_WAIT
#define QUIET true
#elif defined(NO_PLATFORM_DRAIN)
#define QUIET NONE_RUNNING
#else
#define QUIET (draining && NONE_RUNNING)
#endif

proctype Mover(byte me)
{
  byte orders;

  do
  :: atomic { fold.phase == SERVING && !moved ->
      /* Drain: the epoch lets only one of two racing proposals through. */
      fold.phase = LEAVING;
      epoch++;
      target = 1 }
  :: atomic { fold.phase == LEAVING && !draining && !(executed & BIT(epoch)) ->
#ifdef NO_PLATFORM_DRAIN
      skip }
#else
      draining = true }
#endif
  :: atomic { fold.phase == LEAVING && QUIET && orders < 2 && !(executed & BIT(epoch)) ->
      orders++ ;
      pending = pending | BIT(epoch) }
  :: atomic { fold.phase == LEAVING && REBOOTED ->
      /* Return. */
      assert(target == realPool); /* The process of the old pool no longer exists. */
      fold.phase = SERVING;
      fold.pool = target;
      fold.boot = realBoot;
      epoch++;
      moved = true }
  :: moved -> break
#ifdef LIVE
  :: me == 0 -> break /* Killed. */
#endif
  od
}

init {
  atomic {
    fold.phase = SERVING;
    fold.boot = 1;
    CopyView(view[0]);
    CopyView(view[1]);
    run Entry(0);
    run Entry(1);
    run Server();
    run Platform();
    run Partition();
    run Restart();
    run ListGlitch();
    run Mover(0);
#ifndef ONE_MOVER
    run Mover(1)
#endif
  }
}

#ifdef LIVE
#define ALL_BACK (moved && !partitioned[0] && !partitioned[1] && view[0].boot == fold.boot && view[1].boot == fold.boot)
ltl ends { <> ALL_BACK }
#endif
