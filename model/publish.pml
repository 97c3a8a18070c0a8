/* Publishing a revision through the log (invariant I8).
 *
 * Two operators publish, each through the reader of one entry instance. An append may take effect
 * although its response is lost, and is then repeated. A process that was paused writes a snapshot
 * late. Records expire; a reader that has missed records, and a new one, start from a snapshot.
 *
 * Guards that can be removed: NO_BASE_CHECK, FORGET_VERDICTS, SNAPSHOT_APPLIES, START_WITH_GAP,
 * READY_EARLY.
 */

#ifndef ROUNDS
#define ROUNDS 1 /* Publishes of each operator. */
#endif
#define PUBLISHES (2 * ROUNDS)
#define SNAPSHOTS 1
#define LOG (3 * ROUNDS + SNAPSHOTS)
#define READERS 3
#define NEW 2 /* Joins late and has read nothing. */
#define BIT(x) (1 << (x))

typedef Fleet {
  byte next;     /* All records below this offset are applied. */
  byte revision;
  byte known;    /* Publish ids with a verdict. */
  byte accepted; /* Publish ids that were accepted. */
};

typedef Record {
  bool snapshot;
  byte base;
  byte id;
  Fleet state; /* Snapshot: the state that it covers. */
};

Record log[LOG];
byte end;
byte oldest; /* Records below this offset have expired. */
Fleet reader[READERS];
byte readyFrom[READERS]; /* End of the log when the reader started. */
Fleet reference;         /* The state at the end of the log. */
byte revisionAt[LOG + 1], acceptedAt[LOG + 1]; /* The reference state at each offset. */
byte winners[PUBLISHES + 1];                   /* Accepted publishes for each base. */

inline Copy(to, from)
{
  to.next = from.next;
  to.revision = from.revision;
  to.known = from.known;
  to.accepted = from.accepted
}

inline Fold(s, r)
{
  if
  :: r.snapshot ->
#ifdef SNAPSHOT_APPLIES
    s.revision = r.state.revision;
    s.known = r.state.known;
    s.accepted = r.state.accepted
#else
    skip
#endif
#ifndef FORGET_VERDICTS
  :: !r.snapshot && (s.known & BIT(r.id)) -> skip
#endif
  :: else ->
    s.known = s.known | BIT(r.id);
    if
#ifdef NO_BASE_CHECK
    :: true ->
#else
    :: r.base == s.revision ->
#endif
      s.revision++;
      s.accepted = s.accepted | BIT(r.id)
#ifndef NO_BASE_CHECK
    :: else -> s.accepted = s.accepted & ~BIT(r.id)
#endif
    fi
  fi;
  s.next++
}

hidden byte revisionBefore, acceptedBefore;

/* The record at `end` is filled in. */
inline Append()
{
  revisionBefore = reference.revision;
  acceptedBefore = reference.accepted;
  Fold(reference, log[end]);
  if
  :: reference.revision > revisionBefore ->
    winners[log[end].base]++;
    assert(winners[log[end].base] <= 1) /* One winner for each base. */
  :: else
  fi;
  assert(reference.revision >= revisionBefore);           /* No revision is taken back. */
  assert((acceptedBefore & ~reference.accepted) == 0);    /* A verdict does not change. */
  end++;
  revisionAt[end] = reference.revision;
  acceptedAt[end] = reference.accepted;
  revisionBefore = 0;
  acceptedBefore = 0
}

proctype Operator(byte me; byte rounds)
{
  byte base, id, round, copies;

  do
  :: round < rounds ->
    id = me * ROUNDS + round;
    atomic { base = reader[me].revision; copies = 1 }
    if
    :: copies = 1            /* The response arrives, or the lost request is repeated. */
    :: me == 0 -> copies = 2 /* The response is lost after the append took effect. */
    fi;
    do
    :: atomic { copies > 0 ->
        log[end].snapshot = false;
        log[end].base = base;
        log[end].id = id;
        Append();
        copies--
      }
    :: atomic { copies == 0 -> break }
    od;
    atomic { (reader[me].known & BIT(id)) -> base = 0; id = 0; round++ }
  :: else -> break
  od
}

/* Copies a state, may be paused for any time, and then appends the copy. */
proctype Snapshotter()
{
  Fleet copy;

  d_step { Copy(copy, reader[0]) };
  atomic {
    log[end].snapshot = true;
    Copy(log[end].state, copy);
    Append()
  }
}

#ifdef START_WITH_GAP
#define USABLE(i) (log[i].snapshot)
#else
#define USABLE(i) (log[i].snapshot && log[i].state.next >= oldest)
#endif

#ifdef READY_EARLY
#define READY(me) true
#else
#define READY(me) (reader[me].next >= readyFrom[me])
#endif

proctype Reader(byte me)
{
  byte from;

  do
  :: atomic { reader[me].next < oldest ->
      /* Take the newest snapshot whose following records are all present. */
      from = end;
      do
      :: from > oldest && !USABLE(from - 1) -> from--
      :: else -> break
      od;
      if
      :: from > oldest ->
        readyFrom[me] = end;
        Copy(reader[me], log[from - 1].state);
        if
        :: reader[me].next < oldest -> reader[me].next = oldest /* START_WITH_GAP only. */
        :: else
        fi;
        assert(!READY(me) || reader[me].revision >= revisionAt[readyFrom[me]])
      :: else
      fi;
      from = 0
    }
  :: atomic { reader[me].next >= oldest && reader[me].next < end ->
      from = reader[me].revision;
      Fold(reader[me], log[reader[me].next]);
      assert(reader[me].revision >= from); /* The revision of a reader never goes back. */
      from = 0;
      /* Every reader has the same state at the same offset. */
      assert(reader[me].revision == revisionAt[reader[me].next]);
      assert(reader[me].accepted == acceptedAt[reader[me].next]);
      /* A started reader serves nothing older than the fleet did when it started. */
      assert(!READY(me) || reader[me].revision >= revisionAt[readyFrom[me]])
    }
  od
}

/* The new reader starts at any time; it counts from the end of the log at its start. */
proctype Starter()
{
  atomic { readyFrom[NEW] = end };
  run Reader(NEW)
}

proctype Expiry()
{
  do
  :: atomic { oldest < end -> oldest++ }
  :: break
  od
}

init {
  atomic {
    run Operator(0, ROUNDS);
    run Operator(1, ROUNDS);
    run Snapshotter();
    run Reader(0);
    run Reader(1);
    run Starter();
    run Expiry()
  }
}
