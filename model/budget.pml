/* The availability budget of a pool (invariant I1).
 *
 * Two planners with stale views race to drain the four instances of one pool, which lie in two
 * racks. Instances fail during the wave, and a whole rack may fail. Only the fold's check decides.
 *
 * Guards that can be removed: NO_FOLD_CHECK (the planner's own check is trusted),
 * LEAVING_COUNTS and FAILED_COUNTS (such instances count as serving), NO_TOLERATE (the budget does
 * not cover the loss of a rack).
 */

#define N 4
#define MIN 1
#ifndef FAILURES
#define FAILURES 2 /* Failures of single instances. */
#endif
#define WAVES 2 /* Drains proposed by each planner. */
#define RACK(i) ((i) / 2)

mtype = { SERVING, LEAVING, FAILED };

mtype phase[N];
byte failures;
hidden byte serving[2];

inline Count()
{
  serving[0] = 0;
  serving[1] = 0;
  n = 0;
  do
  :: n < N ->
    if
    :: phase[n] == SERVING -> serving[RACK(n)]++
#ifdef LEAVING_COUNTS
    :: phase[n] == LEAVING -> serving[RACK(n)]++
#endif
#ifdef FAILED_COUNTS
    :: phase[n] == FAILED -> serving[RACK(n)]++
#endif
    :: else
    fi;
    n++
  :: else -> break
  od;
  n = 0
}

#define SMALLER (serving[0] < serving[1] -> serving[0] : serving[1])
#ifdef NO_TOLERATE
#define GUARANTEED (serving[0] + serving[1])
#else
#define GUARANTEED SMALLER
#endif

/* Instances that really serve, and what is left of them after the loss of the larger rack. */
#define UP(i) (phase[i] == SERVING -> 1 : 0)
#define UP0 (UP(0) + UP(1))
#define UP1 (UP(2) + UP(3))
#define LEFT (UP0 < UP1 -> UP0 : UP1)

inline Fold(i)
{
  if
  :: phase[i] == SERVING ->
    phase[i] = LEAVING;
    Count();
    if
#ifdef NO_FOLD_CHECK
    :: true ->
#else
    :: GUARANTEED >= MIN ->
#endif
      /* Planned work leaves the budget, even if the larger rack is lost next. */
      assert(LEFT >= MIN)
#ifndef NO_FOLD_CHECK
    :: else -> phase[i] = SERVING
#endif
    fi
  :: else
  fi
}

proctype Planner()
{
  byte i, n, waves;

  do
  :: waves < WAVES ->
    /* The view may be old by the time the proposal reaches the log. */
    atomic {
      select(i : 0 .. N - 1);
      phase[i] == SERVING ->
      Count();
      serving[RACK(i)]--;
      if
      :: GUARANTEED >= MIN -> skip
      :: else -> i = N
      fi
    };
    if
    :: i < N -> d_step { Fold(i) }
    :: else
    fi;
    d_step { i = 0; waves++ }
  :: else -> break
  od
}

/* A drained instance returns after its reboot, or never. */
proctype Reboots()
{
  byte i;

  do
  :: atomic { select(i : 0 .. N - 1); phase[i] == LEAVING ->
      phase[i] = SERVING; i = 0 }
  od
}

proctype Failures()
{
  byte i;

  do
  :: atomic { failures < FAILURES; select(i : 0 .. N - 1); phase[i] == SERVING ->
      phase[i] = FAILED; failures++; i = 0 }
  :: atomic { select(i : 0 .. N - 1); phase[i] == FAILED ->
      phase[i] = SERVING; i = 0 }
  :: break
  od
}

/* One rack is lost at any time while nothing else has failed: the pool must still have MIN. */
proctype RackLoss()
{
  byte rack, lost;

  atomic {
    failures == 0;
    select(rack : 0 .. 1);
    lost = (rack == 0 -> UP0 : UP1);
    assert(UP0 + UP1 - lost >= MIN)
  }
}

init {
  atomic {
    byte i;
    for (i : 0 .. N - 1) { phase[i] = SERVING };
    run Planner();
    run Planner();
    run Reboots();
    run Failures();
    run RackLoss()
  }
}
