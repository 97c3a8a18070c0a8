/* One run of a subtask at a time while the ownership of the fleet passes between entry instances.
 *
 * Two entry instances, two backend servers, one subtask. Time passes in ticks. An owner stores the
 * record of a run before it sends the start; the next owner shuts it out, reads the records, and
 * takes a server with a record as empty only after a look at it or after the longest grant. A start
 * may be carried out at any time after it was sent, also by a later life of its server.
 *
 * Guards that can be removed: NO_RECORD (a start is sent without its record), NO_FENCE (the store
 * takes records of earlier owners; it still holds, because records that are stored late are not
 * modelled), NO_TOKEN (servers take orders of earlier owners), NO_WAIT (a
 * server that was not looked at counts as empty), NO_LEASE_END (a late start is carried out),
 * NO_LIFE (a later life of the server takes a start meant for an earlier one), LOOK_DISPROVES (a
 * look disproves a start that has no answer), LONG_ACT (an owner acts longer than others wait).
 *
 * With RESTARTS an owner's process ends at any moment, and the next process at its address claims at
 * once, without waiting for the owner's time; orders of the ended process may still be on their way.
 * The other instance plays the next process. Guard: CLAIM_FROM_LIVING (the owner has not ended).
 *
 * With CARRIERS an owner also renews leases through carriers, which may keep a renewal for any time.
 * A renewal carries the token and the end of the lease that it grants. Guards of these: NO_RENEWAL_END
 * (a late renewal grants a whole lease again), NO_RENEWAL_TOKEN (servers take those of earlier owners; it
 * still holds, because the end of the lease bounds them).
 */

#ifdef LONG_ACT
#define ACT 4
#else
#define ACT 1 /* Ticks that an owner acts after it sent its last stored record. */
#endif
#define CLAIM 1 /* A claim needs a last record that is older than this. */
#ifdef CARRIERS
#define GRANT 3
#else
#define GRANT 2 /* Longest lease. */
#endif
#ifdef NO_WAIT
#define WAIT 0
#elif defined(CARRIERS)
#define WAIT GRANT
#else
#define WAIT 3 /* Ticks after its claim for which an owner counts on leases of earlier ones. */
#endif
#define TOP 4 /* Ages are not counted further. */
#define MAX_TOKEN 2

#ifdef RESTARTS
byte restarts = 1;
bool vacant;       /* The owner's process has ended, and the next one at its address knows it. */
#define MAY_CLAIM (recordAge > CLAIM || vacant)
#else
#define MAY_CLAIM (recordAge > CLAIM)
#endif

byte token = 1;    /* Of the owner, by the store. */
byte recordAge;    /* Of the last record of ownership in the store. */
byte fence = 1;    /* Highest epoch that the store has seen for the records of runs. */
bool stored[2];    /* A record says that a run may be on the server. */

byte mine[2];      /* Token under which an instance acts; 0: not the owner. */
byte confirmed[2]; /* Age of its last stored record, from when it was sent. */
bool loaded[2];    /* It has shut earlier owners out and read the records. */
bool may[4];       /* instance * 2 + server: a run may be there. */
byte granted[4];   /* Ticks until the latest lease there that it counts on has ended. */
byte planned[2];   /* Server + 1 of a run whose record is stored and whose start is not sent. */

bool sent[2];      /* A start of the instance is on its way, or carried out without an answer. */
byte sentTo[2];
byte sentToken[2];
byte sentLeft[2];  /* Ticks until its lease has ended. */
byte sentLife[2];

bool reach[4];     /* instance * 2 + server */
bool online[2];    /* The store answers the instance. */
#ifndef CUTS
#define CUTS 2
#endif
byte cuts = CUTS;

bool ready;        /* The initial state is set. */
byte seen[2];      /* Highest token that the server has seen. */
bool runs[2];
byte lease[2];
byte life[2];
#ifndef BIRTHS
#define BIRTHS 1
#endif
byte births = BIRTHS;

/* Values that nothing reads any more are reset, so that they do not multiply the states. */
inline Land(n)
{
  sent[n] = false;
  sentTo[n] = 0;
  sentToken[n] = 0;
  sentLeft[n] = 0;
  sentLife[n] = 0
}

#ifdef CARRIERS
bool renewal[2];     /* A renewal of the instance is on its way. */
byte renewalTo[2];
byte renewalToken[2];
byte renewalLeft[2]; /* Ticks until the lease that it grants has ended. */

inline LandRenewal(n)
{
  renewal[n] = false;
  renewalTo[n] = 0;
  renewalToken[n] = 0;
  renewalLeft[n] = 0
}

#ifdef NO_RENEWAL_TOKEN
#define RENEWAL_TOKEN_HOLDS(n) true
#else
#define RENEWAL_TOKEN_HOLDS(n) (renewalToken[n] >= seen[renewalTo[n]])
#endif
#ifdef NO_RENEWAL_END
#define RENEWED(n) GRANT
#else
#define RENEWED(n) renewalLeft[n]
#endif
#endif

#define ACTS(n) (mine[n] > 0 && confirmed[n] <= ACT)
#ifdef NO_TOKEN
#define TOKEN_HOLDS(n) true
#else
#define TOKEN_HOLDS(n) (sentToken[n] >= seen[sentTo[n]])
#endif
#ifdef NO_LEASE_END
#define LEASE_HOLDS(n) true
#else
#define LEASE_HOLDS(n) (sentLeft[n] > 0)
#endif
#ifdef NO_LIFE
#define LIFE_HOLDS(n) true
#else
#define LIFE_HOLDS(n) (sentLife[n] == life[sentTo[n]])
#endif
#define TAKES(n) (TOKEN_HOLDS(n) && LEASE_HOLDS(n) && LIFE_HOLDS(n))
#define FLYING(n, s) (sent[n] && sentTo[n] == s)
#define PLANNED(n, s) (planned[n] == s + 1)

inline Age(x) { if :: x < TOP -> x++ :: else fi }
inline Wane(x) { if :: x > 0 -> x-- :: else fi }

inline ForgetOwnership(n)
{
  mine[n] = 0;
  loaded[n] = false;
  planned[n] = 0;
  may[n * 2] = false;
  may[n * 2 + 1] = false;
  granted[n * 2] = 0;
  granted[n * 2 + 1] = 0;
  confirmed[n] = 0
}

proctype Instance(byte n)
{
  byte s;
  do
  :: atomic {
       mine[n] > 0 && online[n] ->
       if
       :: token == mine[n] -> recordAge = 0; confirmed[n] = 0
       :: else -> ForgetOwnership(n)
       fi
     }
  :: atomic {
       mine[n] == 0 && !sent[n] && online[n] && MAY_CLAIM && token < MAX_TOKEN ->
#ifdef RESTARTS
       vacant = false;
#endif
       token++;
       mine[n] = token;
       recordAge = 0;
       confirmed[n] = 0
     }
#ifdef RESTARTS
  :: atomic {
       mine[n] > 0 && token == mine[n] && restarts > 0 ->
       restarts--;
       vacant = true
#ifndef CLAIM_FROM_LIVING
       ;
       ForgetOwnership(n)
#endif
     }
#endif
  :: atomic {
       ACTS(n) && !loaded[n] && online[n] && fence <= mine[n] ->
       fence = mine[n];
       loaded[n] = true;
       may[n * 2] = stored[0];
       may[n * 2 + 1] = stored[1];
       granted[n * 2] = WAIT;
       granted[n * 2 + 1] = WAIT
     }
  /* Plans a run and stores its record. The answer may be lost: then nothing is sent. */
  :: atomic {
       ACTS(n) && loaded[n] && planned[n] == 0 && !sent[n] && !may[n * 2] && !may[n * 2 + 1] ->
       select(s : 0 .. 1);
#ifdef NO_RECORD
       may[n * 2 + s] = true;
       planned[n] = s + 1;
       s = 0
#else
       if
#ifdef NO_FENCE
       :: online[n] ->
#else
       :: online[n] && fence == mine[n] ->
#endif
         stored[s] = true;
         may[n * 2 + s] = true;
         granted[n * 2 + s] = GRANT + 1;
         if
         :: planned[n] = s + 1
         :: skip
         fi
       :: else
       fi;
       s = 0
#endif
     }
  :: atomic {
       planned[n] > 0 ->
       s = planned[n] - 1;
       planned[n] = 0;
       if
       :: ACTS(n) ->
         sent[n] = true;
         sentTo[n] = s;
         sentToken[n] = mine[n];
         sentLeft[n] = GRANT;
         sentLife[n] = life[s];
         granted[n * 2 + s] = GRANT + 1
       :: else
       fi;
       s = 0
     }
  /* Looks at a server: raises its token, renews the lease of what runs there. */
  :: atomic {
       ACTS(n) && loaded[n] ->
       select(s : 0 .. 1);
       if
       :: reach[n * 2 + s] && seen[s] <= mine[n] ->
         seen[s] = mine[n];
         if
         :: runs[s] ->
           lease[s] = GRANT;
           granted[n * 2 + s] = GRANT + 1;
           may[n * 2 + s] = true
#ifdef LOOK_DISPROVES
         :: !runs[s] && !PLANNED(n, s) ->
#else
         :: !runs[s] && !PLANNED(n, s) && !FLYING(n, s) ->
#endif
           may[n * 2 + s] = false;
           granted[n * 2 + s] = 0
         :: else
         fi
       :: else
       fi;
       s = 0
     }
#ifdef CARRIERS
  /* Renews the lease on a server where it knows a run, through a carrier. */
  :: atomic {
       ACTS(n) && loaded[n] && !renewal[n] ->
       select(s : 0 .. 1);
       if
       :: may[n * 2 + s] && !PLANNED(n, s) ->
         renewal[n] = true;
         renewalTo[n] = s;
         renewalToken[n] = mine[n];
         renewalLeft[n] = GRANT;
         granted[n * 2 + s] = GRANT + 1
       :: else
       fi;
       s = 0
     }
#endif
  /* Takes a server as empty when the last lease there has ended. */
  :: atomic {
       loaded[n] ->
       select(s : 0 .. 1);
       if
       :: may[n * 2 + s] && granted[n * 2 + s] == 0 && !PLANNED(n, s) && !FLYING(n, s) ->
          may[n * 2 + s] = false;
          granted[n * 2 + s] = 0
       :: else
       fi;
       s = 0
     }
  /* Stores what it knows; an answered or ended start is no longer on its way. */
  :: atomic {
       loaded[n] && online[n] && fence == mine[n] && planned[n] == 0 ->
       stored[0] = may[n * 2];
       stored[1] = may[n * 2 + 1]
     }
  od
}

/* Carries starts out, or loses them. */
active proctype Network()
{
  byte n;
  do
  :: atomic {
       select(n : 0 .. 1);
       if
       :: sent[n] ->
         if
         :: TAKES(n) ->
           if
           :: sentToken[n] > seen[sentTo[n]] -> seen[sentTo[n]] = sentToken[n]
           :: else
           fi;
           runs[sentTo[n]] = true;
           if
           :: lease[sentTo[n]] < sentLeft[n] -> lease[sentTo[n]] = sentLeft[n]
           :: else
           fi
         :: else
         fi;
         Land(n)
       :: else
       fi;
       n = 0
     }
#ifdef CARRIERS
  :: atomic {
       select(n : 0 .. 1);
       if
       :: renewal[n] ->
         if
         :: RENEWAL_TOKEN_HOLDS(n) && runs[renewalTo[n]] && lease[renewalTo[n]] < RENEWED(n) ->
           lease[renewalTo[n]] = RENEWED(n)
         :: else
         fi;
         if
         :: RENEWAL_TOKEN_HOLDS(n) && renewalToken[n] > seen[renewalTo[n]] ->
           seen[renewalTo[n]] = renewalToken[n]
         :: else
         fi;
         LandRenewal(n)
       :: else
       fi;
       n = 0
     }
#endif
  /* A start whose lease has ended cannot be carried out any more. */
  :: atomic {
       select(n : 0 .. 1);
       if
#ifdef NO_LEASE_END
       :: false
#else
       :: sent[n] && sentLeft[n] == 0 -> Land(n)
#endif
       :: else
       fi;
       n = 0
     }
  od
}

active proctype World()
{
  byte k;
  ready;
  do
  :: atomic { cuts > 0 -> cuts--; select(k : 0 .. 3); reach[k] = !reach[k]; k = 0 }
  :: atomic { cuts > 0 -> cuts--; select(k : 0 .. 1); online[k] = !online[k]; k = 0 }
  :: atomic {
       births > 0 ->
       births--;
       select(k : 0 .. 1);
       runs[k] = false;
       lease[k] = 0;
       seen[k] = 0;
       life[k]++;
       k = 0
#ifdef NO_LIFE
       ;
       /* The clock of a new life starts low, so that an earlier order looks timely. */
       if :: sent[0] && sentLife[0] != life[sentTo[0]] -> sentLeft[0] = GRANT :: else fi;
       if :: sent[1] && sentLife[1] != life[sentTo[1]] -> sentLeft[1] = GRANT :: else fi
#endif
     }
  :: atomic {
       Age(recordAge);
       if :: mine[0] > 0 -> Age(confirmed[0]) :: else fi;
       if :: mine[1] > 0 -> Age(confirmed[1]) :: else fi;
       for (k : 0 .. 3) { Wane(granted[k]) }
       for (k : 0 .. 1) {
         if :: sent[k] -> Wane(sentLeft[k]) :: else fi;
#ifdef CARRIERS
         if :: renewal[k] -> Wane(renewalLeft[k]) :: else fi;
#endif
         Wane(lease[k]);
         if :: lease[k] == 0 -> runs[k] = false :: else fi
       }
       k = 0
     }
  od
}

active proctype Monitor() { atomic { runs[0] && runs[1] -> assert(false) } }

init
{
  atomic {
    mine[0] = 1;
    loaded[0] = true;
    reach[0] = true;
    reach[1] = true;
    reach[2] = true;
    reach[3] = true;
    online[0] = true;
    online[1] = true;
    ready = true;
    run Instance(0);
    run Instance(1)
  }
}
