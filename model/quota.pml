/* The quota of an account across owners.
 *
 * Two owners follow each other. Each stores the record of a run before it sends the start. A start
 * may be delayed, also until after the next owner has taken over, and the end of a run is learned
 * only from a report of its server. All subtasks belong to one account, whose quota is QUOTA runs.
 *
 * Guards that can be removed: NO_RECORD (a start is sent before its record is stored), NO_TOKEN
 * (servers accept starts of a former owner after the new one has asked them), RESTORED_FREE (runs
 * restored from records do not count), SENT_FREE (only confirmed runs count), END_BY_SILENCE (a run
 * on a server that does not respond counts as ended), STOP_IS_END (a run counts as ended when its
 * stop is ordered).
 */

#define N 3 /* Subtasks, each on a server of its own. */
#define QUOTA 2

mtype = { NONE, PLANNED, STORED, SENT, RUNNING };

mtype view[N] = NONE; /* The current owner's view of each run. */
bool stored[N];       /* A record of a run that may exist is stored. */
bool running[N];      /* At work on its server. */
byte inFlight[N];     /* Token of a start under way; 0: none. */
byte seen[N];         /* Highest token that the server has seen. */
bool silent[N];       /* Does not respond. */
byte token = 1;
byte silences = 1;
byte again = 1; /* Subtasks that run twice: their run is stopped and started again. */
bool done[N];

#define AT_WORK ((running[0] -> 1 : 0) + (running[1] -> 1 : 0) + (running[2] -> 1 : 0))
#ifdef SENT_FREE
#define COUNTS(i) (view[i] == RUNNING -> 1 : 0)
#else
#define COUNTS(i) (view[i] != NONE -> 1 : 0)
#endif
#define USED (COUNTS(0) + COUNTS(1) + COUNTS(2))

inline Owner(i)
{
  if
  :: atomic { view[i] == NONE && !done[i] && USED < QUOTA -> view[i] = PLANNED }
#ifdef NO_RECORD
  :: atomic { view[i] == PLANNED -> view[i] = SENT; inFlight[i] = token }
  :: atomic { view[i] == SENT && !stored[i] -> stored[i] = true }
#else
  :: atomic { view[i] == PLANNED -> view[i] = STORED; stored[i] = true }
  :: atomic { view[i] == STORED -> view[i] = SENT; inFlight[i] = token }
#endif
  /* A report of the server, asked for with this owner's token. */
  :: atomic { view[i] != NONE && view[i] != PLANNED && view[i] != STORED && !silent[i] ->
       if
       :: token > seen[i] -> seen[i] = token
       :: else
       fi;
       if
       :: running[i] -> view[i] = RUNNING
       /* A start of this owner may still arrive; one of a former owner is refused from now on. */
       :: !running[i] && inFlight[i] != token -> view[i] = NONE; stored[i] = false
       :: else
       fi
     }
#ifdef END_BY_SILENCE
  :: atomic { silent[i] && view[i] != NONE -> view[i] = NONE; stored[i] = false }
#endif
#ifdef STOP_IS_END
  :: atomic { view[i] == RUNNING && again > 0 -> again--; view[i] = NONE; stored[i] = false }
#endif
  fi
}

inline Server(i)
{
  if
  :: atomic { inFlight[i] != 0 && !silent[i] ->
       if
#ifdef NO_TOKEN
       :: true ->
#else
       :: inFlight[i] >= seen[i] ->
#endif
         running[i] = true;
         assert(AT_WORK <= QUOTA)
#ifndef NO_TOKEN
       :: else
#endif
       fi;
       inFlight[i] = 0
     }
  :: atomic { inFlight[i] != 0 -> inFlight[i] = 0 } /* The start is lost. */
  :: atomic { running[i] -> running[i] = false; done[i] = true }
  /* The run ends without a result, and is needed again. */
  :: atomic { running[i] && again > 0 -> again--; running[i] = false }
  :: atomic { silences > 0 && !silent[i] -> silences--; silent[i] = true }
  :: atomic { silent[i] -> silent[i] = false }
  fi
}

active proctype System()
{
  byte i;
end:
  do
  :: Owner(0)
  :: Owner(1)
  :: Owner(2)
  :: Server(0)
  :: Server(1)
  :: Server(2)
  /* A takeover: the next owner knows only the records. What was planned is never sent. */
  :: atomic { token < 2 ->
       token++;
       i = 0;
       do
       :: i < N ->
         if
#ifdef RESTORED_FREE
         :: true -> view[i] = NONE
#else
         :: stored[i] -> view[i] = SENT
         :: else -> view[i] = NONE
#endif
         fi;
         i++
       :: else -> break
       od;
       i = 0
     }
  od
}
