/* How the end of a run as done is listed, stored and acknowledged, over the lives of a server.
 *
 * One subtask, two servers, runs 1 to 3, owner 1 and then owner 2. A run that is on a server may end
 * as done or as failed. A server numbers its ends from 1 in each life, lists those that are not
 * acknowledged in its answer to a look, and forgets those up to the acknowledged number. Server 0
 * may start again once under its id. Calls are lost, answers are lost, starts and looks are
 * carried out late, and appends wait for the store.
 *
 * Properties: no start after an end as done that is acknowledged then or later, unless the lease of
 * its server lapsed between the end and the acknowledgement; never two runs at a time.
 *
 * Guards that can be removed: ACK_BEFORE_RECORD (an end is acknowledged before its record is
 * stored), ACK_OF_FORMER_LIFE (the last stored number is sent to a server that has not just listed
 * its ends), LEASE_BY_FORMER_CLOCK (the ordinary lease is reckoned although a later life has cut it
 * to the longest), RECORD_NOT_STORED (an append counts as stored by the answer to an earlier one).
 *
 * Assumed, and not shown:
 * - A late look carries no acknowledgement. One that does can acknowledge an end of a later life
 *   unseen; this is a known gap (docs/incidents/2026-12-05-run-again-after-done.md).
 * - A server takes longer to start again (a tick) than an owner takes to follow a list of ends with
 *   its acknowledgement. Without this the property is lost: a start to the later life has no answer
 *   yet, its run ends, and the number of the former life acknowledges that end.
 * - Calls on their way when server 0 goes down, or when an owner notices its later life, have been
 *   carried out or are lost.
 * - The registration of a later life reaches the owner in the tick in which it starts, before an
 *   ordinary lease ends.
 * - Each answer tells the life of the server; in the code its clock or incarnation does.
 * Not modelled: an owner that acts beside the next one (ownership.pml), an answer that comes after
 * later calls, late looks at server 1, refused starts, ends as stopped, stops that are carried out
 * late, more than one subtask, incomplete lists, copies of an append.
 */

#define RUNS 3
#define LEASE 2 /* Ordinary lease of starts and looks, in ticks. */
#define LONG 3  /* Longest lease; a server cuts to it what ends later by its clock. */
#define UNKNOWN 2
#define UNLOOKED 0
#define ANSWERED 1
#define LISTS 2    /* It has answered in this tick, and the answer listed ends. */
#define SILENT 3

/* Servers. */
byte running[2];  /* Number of the run; 0: none. */
byte lease[2];
byte seen[2];     /* Highest token that the server has seen. */
byte counted[2];  /* Ends of this life. */
byte ends[8];     /* server * 4 + number: run * 2 + (1: done); 0: acknowledged, or no such end. */
byte life[2];     /* Only server 0 has a later one. */
byte down;        /* Of server 0; 0: up, 1: went down in this tick, 2: may start again. */

/* The stored record. */
byte storedRun;
bool storedDone;
byte storedAt;    /* Server + 1 of a run; 0: none. */

/* The owner. */
mtype = { PLANNED, SENT, RUNNING, RESTORED };
byte token = 1;
byte lastRun;
bool isDone;
byte at;
mtype phase = PLANNED;
bool dirty;
byte applied[2];  /* Highest number of an end in the book, and in the stored record. */
byte recorded[2];
byte contact[2];  /* The last call to the server; LISTS is kept for server 0 only. */
byte granted[2];  /* Ticks until the latest lease that it counts on has ended. */
byte knownLife;   /* Of server 0, by its reports. */
byte clockLife[2]; /* The lives whose clocks the owner goes by. */

/* Its append. */
bool append;      /* It is on its way. An answer that is lost is one after which the owner ends. */
byte appendRun;
bool appendDone;
byte appendAt;
byte appendEnd[2];
byte appendLife;
bool appendPlans;

/* Starts on their way, by token - 1, and a late look. */
byte startTo[2];  /* Server + 1; 0: none. */
byte startRun[2];
byte startLeft[2];
byte startLife[2];
byte lateTo;       /* Only to server 0, which has a later life; this halves the states. */
byte lateToken;
byte lateLeft;
byte lateLife;

/* Of the properties: bits of runs. */
byte doneRuns;    /* Ended as done, not acknowledged, and the lease has not lapsed since. */
byte againAfter;  /* Those of them after which a run has started. */
bool acknowledged;

#define BIT(r) (1 << (r))
#define UP(s) (s == 1 || down == 0)

#ifdef ACK_BEFORE_RECORD
#define CONFIRMED(s) applied[s]
#else
#define CONFIRMED(s) recorded[s]
#endif
#ifdef ACK_OF_FORMER_LIFE
#define ACK(s) CONFIRMED(s)
#else
#define ACK(s) (s == 1 || contact[0] == LISTS -> CONFIRMED(s) : 0)
#endif

inline Raise(x, y) { if :: x < (y) -> x = (y) :: else fi }
inline Wane(x) { if :: x > 0 -> x-- :: else fi }

inline DropStart(i)
{
  startTo[i] = 0; startRun[i] = 0; startLeft[i] = 0; startLife[i] = 0
}

inline DropLate() { lateTo = 0; lateToken = 0; lateLeft = 0; lateLife = 0 }

/* The calls on their way to server 0 are lost. */
inline LoseCalls()
{
  if :: startTo[0] == 1 -> DropStart(0) :: else fi;
  if :: startTo[1] == 1 -> DropStart(1) :: else fi;
  if :: lateTo == 1 -> DropLate() :: else fi
}

/* The run in the book is gone. What was granted counts only while a run is there. */
inline Leave() { granted[at - 1] = 0; at = 0; phase = PLANNED; dirty = true }

/* The owner notices a later life of server 0. */
inline NoticeLife()
{
  clockLife[0] = life[0];
#ifndef LEASE_BY_FORMER_CLOCK
  if :: at == 1 -> Raise(granted[0], LONG) :: else fi;
#endif
  LoseCalls()
}

/* Drops what ran in the former life; a start without an answer may be of the new one. */
inline BeginLife()
{
  if
  :: at == 1 && (phase == RUNNING || phase == RESTORED) -> Leave()
  :: else
  fi;
  applied[0] = 0;
  recorded[0] = 0;
  contact[0] = UNLOOKED
}

/* The lease on a server by an order that was timed by the clock of a life. */
inline Grant(s, left, ofLife)
{
  if
  :: lease[s] == 0 && running[s] == 0 -> skip /* Nothing depends on it. */
  :: (lease[s] > 0 || running[s] > 0) && ofLife != life[s] -> lease[s] = LONG
  :: else -> Raise(lease[s], left)
  fi
}

inline Acknowledge(s, upTo)
{
  d_step {
    n = 1;
    do
    :: n <= RUNS && n <= upTo ->
      if
      :: ends[s * 4 + n] & 1 ->
        r = ends[s * 4 + n] >> 1;
        if
        :: doneRuns & BIT(r) ->
          assert(!(againAfter & BIT(r)));
          acknowledged = true;
          doneRuns = doneRuns & ~BIT(r);
          if :: running[s] == 0 && doneRuns == 0 -> lease[s] = 0 :: else fi
        :: else
        fi;
        r = 0
      :: else
      fi;
      ends[s * 4 + n] = 0;
      n++
    :: else -> break
    od;
    n = 0
  }
}

inline ApplyReport(s)
{
  d_step {
    if
    :: s == 0 && knownLife != life[0] ->
      if
      :: knownLife != UNKNOWN -> BeginLife(); NoticeLife()
      :: knownLife == UNKNOWN && clockLife[0] != life[0] -> NoticeLife()
      :: else
      fi;
      knownLife = life[0];
      applied[0] = 0;
      recorded[0] = 0
    :: else
    fi;
    contact[s] = ANSWERED;
    n = 1;
    do
    :: n <= RUNS ->
      if
      :: ends[s * 4 + n] > 0 ->
        if :: s == 0 -> contact[0] = LISTS :: else fi;
        if
        :: n > applied[s] ->
          applied[s] = n;
          dirty = true;
          if :: ends[s * 4 + n] & 1 -> isDone = true :: else fi;
          if
          :: at == s + 1 && lastRun == (ends[s * 4 + n] >> 1) -> Leave()
          :: else
          fi
        :: else
        fi
      :: else
      fi;
      n++
    :: else -> break
    od;
    n = 0
  };
  if
  :: running[s] > 0 && at == s + 1 && running[s] == lastRun ->
    phase = RUNNING;
    Raise(granted[s], LEASE)
  :: running[s] > 0 && at == 0 && !isDone ->
    at = s + 1;
    phase = RUNNING;
    dirty = true;
    Raise(granted[s], LEASE)
  :: running[s] == 0 && at == s + 1 && (phase == RUNNING || phase == RESTORED) -> Leave()
  :: running[s] == 0 && at == s + 1 && phase == SENT ->
    if
    :: DropStart(token - 1); Leave() /* A stop was accepted. */
    :: skip
    fi
  :: else
  fi
}

/* No start can follow, and no end that was followed by one can be acknowledged. */
#define OVER (storedDone && isDone && !append && startTo[0] == 0 && startTo[1] == 0 && \
              !(againAfter & doneRuns))

active proctype System() provided (!OVER)
{
  byte s;
  byte n;
  byte r;
  do
  /* The owner plans a run. */
  :: atomic {
       at == 0 && !isDone && lastRun < RUNS ->
       if :: s = 0 :: s = 1 fi;
       if
       :: contact[s] == ANSWERED || contact[s] == LISTS ->
         lastRun++;
         at = s + 1;
         phase = PLANNED;
         dirty = true
       :: else
       fi;
       s = 0
     }
  :: d_step {
       dirty && !append ->
       append = true;
       dirty = false;
       appendRun = lastRun;
       appendDone = isDone;
       appendAt = at;
       appendEnd[0] = applied[0];
       appendEnd[1] = applied[1];
       appendLife = knownLife;
       appendPlans = (at > 0 && phase == PLANNED)
     }
  /* The append is stored and answered: its ends may be acknowledged, and its run is sent. */
  :: atomic {
       append ->
       if
       :: storedRun = appendRun; storedDone = appendDone; storedAt = appendAt
#ifdef RECORD_NOT_STORED
       :: skip
#endif
       fi;
       if :: appendLife == knownLife -> Raise(recorded[0], appendEnd[0]) :: else fi;
       Raise(recorded[1], appendEnd[1]);
       if
       :: appendPlans && at > 0 && phase == PLANNED && lastRun == appendRun && isDone -> Leave()
       :: appendPlans && at > 0 && phase == PLANNED && lastRun == appendRun && !isDone ->
         phase = SENT;
         startTo[token - 1] = at;
         startRun[token - 1] = lastRun;
         startLeft[token - 1] = LEASE;
         startLife[token - 1] = clockLife[at - 1];
         Raise(granted[at - 1], LEASE)
       :: else
       fi;
       append = false;
       appendRun = 0;
       appendDone = false;
       appendAt = 0;
       appendEnd[0] = 0;
       appendEnd[1] = 0;
       appendLife = 0;
       appendPlans = false
     }
  /* A start is carried out or lost; its answer may be lost. */
  :: atomic {
       startTo[0] > 0 || startTo[1] > 0 ->
       if :: n = 0 :: n = 1 fi;
       if
       :: startTo[n] > 0 ->
         s = startTo[n] - 1;
         if
         :: UP(s) && n + 1 >= seen[s] ->
           assert(running[0] == 0 && running[1] == 0);
           assert(!acknowledged);
           againAfter = againAfter | doneRuns;
           seen[s] = n + 1;
           running[s] = startRun[n];
           Grant(s, startLeft[n], startLife[n]);
           if
           :: n + 1 == token && at == s + 1 && lastRun == startRun[n] && phase == SENT ->
             DropStart(n);
             if
             :: if
                :: s == 0 && clockLife[0] != life[0] ->
                  BeginLife();
                  NoticeLife();
                  knownLife = UNKNOWN
                :: else
                fi;
                phase = RUNNING;
                if :: contact[s] == SILENT -> contact[s] = ANSWERED :: else fi
             :: contact[s] = SILENT
             :: skip /* Not known yet. */
             fi
           :: else -> DropStart(n)
           fi
         :: DropStart(n); if :: n + 1 == token -> contact[s] = SILENT :: else fi
         fi
       :: else
       fi;
       s = 0;
       n = 0
     }
  /* The owner looks at a server. A silent server's lease is not renewed. */
  :: atomic {
       if :: s = 0 :: s = 1 fi;
       if :: contact[s] != SILENT && at == s + 1 -> Raise(granted[s], LEASE) :: else fi;
       if
       :: UP(s) && token >= seen[s] ->
         seen[s] = token;
         r = ACK(s);
         Acknowledge(s, r);
         r = 0;
         if
         :: contact[s] != SILENT -> Grant(s, LEASE, clockLife[s])
         :: else
         fi;
         if
         :: ApplyReport(s)
         :: contact[s] = SILENT
         fi
       :: s == 0 && contact[s] != SILENT && lateTo == 0 ->
         lateTo = s + 1;
         lateToken = token;
         lateLeft = LEASE;
         lateLife = clockLife[s];
         contact[s] = SILENT
       :: contact[s] = SILENT
       fi;
       s = 0
     }
  /* A late look renews the lease; it carries no acknowledgement, and its answer is not awaited. */
  :: atomic {
       lateTo > 0 ->
       s = lateTo - 1;
       if
       :: UP(s) && lateToken >= seen[s] ->
         seen[s] = lateToken;
         Grant(s, lateLeft, lateLife)
       :: else
       fi;
       DropLate();
       s = 0
     }
  /* The owner gives up a run whose lease it reckons to have ended. */
  :: atomic {
       at > 0 && phase != PLANNED && granted[at - 1] == 0 ->
       contact[at - 1] = UNLOOKED;
       Leave()
     }
  /* The registration of a later life reaches the owner. */
  :: atomic { down == 0 && clockLife[0] != life[0] -> NoticeLife(); contact[0] = UNLOOKED }
  /* The next owner shuts the first one out and reads the record. */
  :: d_step {
       token == 1 ->
       token = 2;
       lastRun = storedRun;
       isDone = storedDone;
       at = storedAt;
       phase = (storedAt > 0 -> RESTORED : PLANNED);
       dirty = false;
       append = false;
       appendRun = 0;
       appendDone = false;
       appendAt = 0;
       appendLife = 0;
       appendPlans = false;
       for (s : 0 .. 1) {
         appendEnd[s] = 0;
         applied[s] = 0;
         recorded[s] = 0;
         contact[s] = UNLOOKED;
         granted[s] = (storedAt == s + 1 -> LONG : 0)
       }
       knownLife = UNKNOWN;
       s = 0
     }
  /* A run ends. */
  :: atomic {
       running[0] > 0 || running[1] > 0 ->
       s = (running[0] > 0 -> 0 : 1);
       counted[s]++;
       if
       :: ends[s * 4 + counted[s]] = running[s] * 2 + 1; doneRuns = doneRuns | BIT(running[s])
       :: ends[s * 4 + counted[s]] = running[s] * 2;
          if :: doneRuns == 0 -> lease[s] = 0 :: else fi
       fi;
       running[s] = 0;
       s = 0
     }
  /* Server 0 goes down, and starts again later. Its ends are gone and are never acknowledged. */
  :: d_step {
       life[0] == 0 && down == 0 ->
       down = 1;
       for (n : 1 .. RUNS) {
         if :: ends[n] & 1 -> doneRuns = doneRuns & ~BIT(ends[n] >> 1) :: else fi;
         ends[n] = 0
       }
       LoseCalls();
       running[0] = 0;
       lease[0] = 0;
       seen[0] = 0;
       counted[0] = 0;
       n = 0
     }
  :: atomic { down == 2 -> down = 0; life[0] = 1 }
  /* Time passes. */
  :: d_step {
       down > 0 || clockLife[0] == life[0] ->
       if :: down == 1 -> down = 2 :: else fi;
       Wane(lateLeft);
       if :: lateTo > 0 && lateLeft == 0 -> DropLate() :: else fi;
       for (s : 0 .. 1) {
         if :: contact[s] == LISTS -> contact[s] = ANSWERED :: else fi;
         Wane(granted[s]);
         if
         :: startTo[s] > 0 ->
           startLeft[s]--;
           if :: startLeft[s] == 0 -> DropStart(s) :: else fi
         :: else
         fi;
         if
         :: lease[s] == 1 ->
           running[s] = 0;
           for (n : 1 .. RUNS) {
             if :: ends[s * 4 + n] & 1 -> doneRuns = doneRuns & ~BIT(ends[s * 4 + n] >> 1) :: else fi
           }
           n = 0
         :: else
         fi;
         Wane(lease[s])
       }
       s = 0
     }
  od
}
