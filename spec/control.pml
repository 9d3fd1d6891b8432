/*
 * Election, commitment, member replacement and configuration leases of the control group.
 *
 * Every step of a member is one atomic choice; between any two steps any other member may act, lose
 * what it had not synced, or be silent for ever. A message is a step that reads its sender's state
 * at the moment of delivery, so delays appear as the steps in between, and loss as a step not taken.
 *
 * What must hold:
 *   - one leader a term;
 *   - an accepted entry keeps its place and content (the ghost log);
 *   - a confirmed read covers everything accepted before it began;
 *   - an entry instance under a lease never routes by a configuration that was replaced longer ago
 *     than one lease.
 *
 * Sizes: -DTERMS, -DLENGTH, -DCRASHES, -DCHANGES, -DREADS, -DTICKS.
 * Mutants, each of which must be refuted: VOTE_WITHOUT_LOG_CHECK, ACK_BEFORE_SYNC,
 * EMPTY_DISK_VOTES, TWO_CHANGES, COUNT_OLD_TERM, READ_WITHOUT_ROUND, LEASE_FROM_RECEIPT.
 */

#ifndef TERMS
#define TERMS 3
#endif
#ifndef LENGTH
#define LENGTH 3
#endif
#ifndef CRASHES
#define CRASHES 0
#endif
#ifndef CHANGES
#define CHANGES 0
#endif
#ifndef APPENDS
#define APPENDS 3
#endif
#ifndef READS
#define READS 0
#endif
#ifndef TICKS
#define TICKS 0
#endif
#ifndef MEMBERS
#define MEMBERS 3
#endif

#define LEASE 1
#define NONE 7
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2
#define BIT(m) (1 << (m))
/* Members 0, 1 and 2 vote at the beginning; member 3 waits to replace one of them. */
#define FIRST_CONFIG 7

/* One entry: the term it was appended in, and the voters in force from it on. */
typedef Log {
    byte term[LENGTH];
    byte config[LENGTH];
    byte size;
    byte synced
}

Log logs[MEMBERS];
byte term[MEMBERS];
byte voted[MEMBERS];
byte role[MEMBERS];
byte votes[MEMBERS];
byte commit[MEMBERS];
byte led_in[TERMS + 1];
/* What the leader knows to be on a peer's disk: matched[leader * MEMBERS + peer]. */
byte matched[MEMBERS * MEMBERS];

/* The ghost log: what was ever accepted, and when. */
byte ghost_term[LENGTH];
byte ghost_config[LENGTH];
byte ghost_len = 1;
byte accepted_at[LENGTH];

byte crashes = CRASHES;
byte appends = APPENDS;
byte changes = CHANGES;
byte lost = NONE;

/* One read for an entry instance, and the lease that it gives. */
byte reads = READS;
byte read_leader = NONE;
byte read_index;
byte read_ghost;
byte read_acks;
byte read_term;
byte sent_at;
byte held;
byte lease_until;
byte clock;

/* Scratch of the atomic steps; zeroed after use so that it adds no states. */
byte a, b, n, k, count, config, need;
bit ok;

inline reset_scratch() { a = 0; b = 0; n = 0; k = 0; count = 0; config = 0; need = 0; ok = 0 }

/* Chooses any member into x. */
inline pick(x) { x = 0; do :: x < MEMBERS - 1 -> x++ :: break od }

/* Voters in force at m: those of its last entry, accepted or not. */
inline config_of(m) {
    if
    :: logs[m].size > 0 -> config = logs[m].config[logs[m].size - 1]
    :: else -> config = 0
    fi
}

/* Whether the members in `set` hold a majority of `config`. */
inline is_quorum(set) {
    count = 0; need = 0; k = 0;
    do
    :: k < MEMBERS ->
        if :: config & BIT(k) -> need++; if :: (set) & BIT(k) -> count++ :: else -> skip fi :: else -> skip fi;
        k++
    :: else -> break
    od;
    ok = (count * 2 > need)
}

inline step_down(m, t) { term[m] = t; voted[m] = NONE; role[m] = FOLLOWER; votes[m] = 0 }

inline campaign() {
    pick(a);
    config_of(a);
    if
    :: a != lost && role[a] != LEADER && term[a] < TERMS && (config & BIT(a)) ->
        term[a]++; voted[a] = a; role[a] = CANDIDATE; votes[a] = BIT(a)
    :: else -> skip
    fi
}

inline give_vote() {
    pick(a); pick(b);
    if
    :: a != b && a != lost && b != lost && role[a] == CANDIDATE && term[b] <= term[a] ->
        if :: term[b] < term[a] -> step_down(b, term[a]) :: else -> skip fi;
        ok = 1;
#ifndef VOTE_WITHOUT_LOG_CHECK
        if
        :: logs[b].size == 0
        :: logs[b].size > 0 && logs[a].size == 0 -> ok = 0
        :: logs[b].size > 0 && logs[a].size > 0 ->
            n = logs[a].term[logs[a].size - 1]; k = logs[b].term[logs[b].size - 1];
            if
            :: n < k -> ok = 0
            :: n == k && logs[a].size < logs[b].size -> ok = 0
            :: else -> skip
            fi
        fi;
#endif
        if
        :: ok && (voted[b] == NONE || voted[b] == a) ->
            voted[b] = a; votes[a] = votes[a] | BIT(b)
        :: else -> skip
        fi
    :: else -> skip
    fi
}

inline become_leader() {
    pick(a);
    if
    :: a != lost && role[a] == CANDIDATE ->
        config_of(a); is_quorum(votes[a]);
        if
        :: ok ->
            assert(led_in[term[a]] == NONE || led_in[term[a]] == a);
            led_in[term[a]] = a; role[a] = LEADER;
            k = 0;
            do
            :: k < MEMBERS -> matched[a * MEMBERS + k] = 0; k++
            :: else -> break
            od
        :: else -> skip
        fi
    :: else -> skip
    fi
}

inline append_entry() {
    pick(a);
    if
    :: appends > 0 && a != lost && role[a] == LEADER && logs[a].size < LENGTH ->
        config_of(a); appends--;
        logs[a].term[logs[a].size] = term[a]; logs[a].config[logs[a].size] = config;
        logs[a].size++
    :: else -> skip
    fi
}

inline sync_disk() {
    pick(a);
    if :: a != lost -> logs[a].synced = logs[a].size :: else -> skip fi
}

/* The leader's log reaches a peer; the peer syncs before it acknowledges. */
inline replicate() {
    pick(a); pick(b);
    if
    :: a != b && a != lost && b != lost && role[a] == LEADER && term[b] <= term[a] ->
        if
        :: term[b] < term[a] -> step_down(b, term[a])
        :: term[b] == term[a] && role[b] == CANDIDATE -> role[b] = FOLLOWER
        :: else -> skip
        fi;
        /* Keep what agrees, replace from the first difference on. */
        n = 0;
        do
        :: n < logs[a].size && n < logs[b].size && logs[a].term[n] == logs[b].term[n] -> n++
        :: else -> break
        od;
        if :: n < logs[b].size && n < logs[a].size -> logs[b].size = n :: else -> skip fi;
        if :: logs[b].synced > logs[b].size -> logs[b].synced = logs[b].size :: else -> skip fi;
        do
        :: n < logs[a].size ->
            logs[b].term[n] = logs[a].term[n]; logs[b].config[n] = logs[a].config[n];
            n++; if :: logs[b].size < n -> logs[b].size = n :: else -> skip fi
        :: else -> break
        od;
#ifndef ACK_BEFORE_SYNC
        logs[b].synced = logs[b].size;
#endif
        matched[a * MEMBERS + b] = logs[a].size;
        if :: commit[a] > commit[b] -> commit[b] = commit[a] :: else -> skip fi
    :: else -> skip
    fi
}

/* The leader accepts what a majority has on disk, but counts only entries of its own term. */
inline accept() {
    pick(a);
    if
    :: a != lost && role[a] == LEADER && commit[a] < logs[a].size ->
        n = commit[a] + 1;
        do :: n < logs[a].size -> n++ :: break od;
        config_of(a);
        b = 0; k = 0;
        do
        :: k < MEMBERS ->
            if
            :: k == a && logs[a].synced >= n -> b = b | BIT(k)
            :: k != a && matched[a * MEMBERS + k] >= n -> b = b | BIT(k)
            :: else -> skip
            fi;
            k++
        :: else -> break
        od;
        is_quorum(b);
        if
#ifdef COUNT_OLD_TERM
        :: ok ->
#else
        :: ok && logs[a].term[n - 1] == term[a] ->
#endif
            commit[a] = n;
            k = 0;
            do
            :: k < n && k < ghost_len ->
                assert(ghost_term[k] == logs[a].term[k] && ghost_config[k] == logs[a].config[k]);
                k++
            :: k < n && k >= ghost_len ->
                ghost_term[k] = logs[a].term[k]; ghost_config[k] = logs[a].config[k];
                accepted_at[k] = clock;
                ghost_len = k + 1; k++
            :: else -> break
            od
        :: else -> skip
        fi
    :: else -> skip
    fi
}

/* A member loses what it had not synced and starts again. */
inline crash() {
    pick(a);
    if
    :: crashes > 0 && a != lost ->
        crashes--; logs[a].size = logs[a].synced; role[a] = FOLLOWER; votes[a] = 0;
        if :: commit[a] > logs[a].size -> commit[a] = logs[a].size :: else -> skip fi
    :: else -> skip
    fi
}

/* A disk is lost for good. Its member never acts again; another id takes its place. The members
 * are alike, so it is always number 2. */
inline lose_disk() {
    pick(a);
    if
    :: CHANGES > 0 && lost == NONE && a == 2 ->
#ifdef EMPTY_DISK_VOTES
        /* It comes back under its old id, with nothing. */
        logs[a].size = 0; logs[a].synced = 0; term[a] = 0; voted[a] = NONE; role[a] = FOLLOWER;
        votes[a] = 0; commit[a] = 0; lost = 6
#else
        lost = a; role[a] = FOLLOWER; votes[a] = 0
#endif
    :: else -> skip
    fi
}

/* Number 2 leaves or number 3 joins, once the change before is accepted and the term is settled. */
inline change_members() {
    pick(a); pick(b);
    if
    :: changes > 0 && a != lost && role[a] == LEADER && logs[a].size < LENGTH ->
        config_of(a);
        n = logs[a].size;
        /* Index behind the entry that brought the configuration in force. */
        do
        :: n > 1 && logs[a].config[n - 2] == config -> n--
        :: else -> break
        od;
        ok = 1;
#ifndef TWO_CHANGES
        if :: commit[a] < n -> ok = 0 :: else -> skip fi;
        if
        :: commit[a] == 0 -> ok = 0
        :: commit[a] > 0 && logs[a].term[commit[a] - 1] != term[a] -> ok = 0
        :: else -> skip
        fi;
#endif
        if
        :: ok && b >= 2 && (config ^ BIT(b)) != 0 ->
            changes--;
            logs[a].term[logs[a].size] = term[a];
            logs[a].config[logs[a].size] = config ^ BIT(b);
            logs[a].size++
        :: else -> skip
        fi
    :: else -> skip
    fi
}

inline begin_read() {
    pick(a);
    if
    :: reads > 0 && read_leader == NONE && a != lost && role[a] == LEADER && commit[a] > 0 &&
       logs[a].term[commit[a] - 1] == term[a] ->
        reads--; read_leader = a; read_index = commit[a]; read_ghost = ghost_len;
        read_term = term[a]; read_acks = BIT(a); sent_at = clock
    :: else -> skip
    fi
}

/* A peer answers a heartbeat that left after the read began. */
inline ack_read() {
    pick(b);
    if
    :: read_leader != NONE && b != read_leader && b != lost && term[b] <= read_term ->
        if :: term[b] < read_term -> step_down(b, read_term) :: else -> skip fi;
        read_acks = read_acks | BIT(b)
    :: else -> skip
    fi
}

/* While the lease holds, nothing that the entry instance misses may be older than one lease. */
inline check_lease() {
    if
    :: clock < lease_until && held < ghost_len -> assert(accepted_at[held] + LEASE > clock)
    :: else -> skip
    fi
}

inline end_read() {
    a = 0; /* An option may not begin with another choice's else. */
    if
    :: read_leader != NONE && role[read_leader] == LEADER && term[read_leader] == read_term ->
        config_of(read_leader);
#ifdef READ_WITHOUT_ROUND
        ok = 1;
#else
        is_quorum(read_acks);
#endif
        if
        :: ok ->
            assert(read_index >= read_ghost);
            if :: read_index > held -> held = read_index :: else -> skip fi;
#ifdef LEASE_FROM_RECEIPT
            lease_until = clock + LEASE;
#else
            if :: sent_at + LEASE > lease_until -> lease_until = sent_at + LEASE :: else -> skip fi;
#endif
            read_leader = NONE;
            check_lease()
        :: else -> skip
        fi
    :: read_leader != NONE && (role[read_leader] != LEADER || term[read_leader] != read_term) ->
        read_leader = NONE
    :: else -> skip
    fi
}

/* Time passes. */
inline pass_time() {
    a = 0;
    if
    :: clock < TICKS ->
        clock++;
        check_lease()
    :: else -> skip
    fi
}

init {
    atomic {
        k = 0;
        do
        :: k < MEMBERS ->
            voted[k] = NONE;
            if
            :: k < 3 ->
                logs[k].term[0] = 1; logs[k].config[0] = FIRST_CONFIG; logs[k].size = 1;
                logs[k].synced = 1; term[k] = 1; commit[k] = 1
            :: else -> skip
            fi;
            k++
        :: else -> break
        od;
        k = 0;
        do :: k <= TERMS -> led_in[k] = NONE; k++ :: else -> break od;
        ghost_term[0] = 1; ghost_config[0] = FIRST_CONFIG; held = 1;
        reset_scratch()
    };
    do
    :: atomic { campaign(); reset_scratch() }
    :: atomic { give_vote(); reset_scratch() }
    :: atomic { become_leader(); reset_scratch() }
#if CHANGES == 0 || APPENDS > 0
    :: atomic { append_entry(); reset_scratch() }
#endif
    :: atomic { replicate(); reset_scratch() }
    :: atomic { accept(); reset_scratch() }
#if CRASHES > 0
    :: atomic { sync_disk(); reset_scratch() }
    :: atomic { crash(); reset_scratch() }
#else
    :: atomic { sync_disk(); reset_scratch() }
#endif
#if CHANGES > 0
    :: atomic { lose_disk(); reset_scratch() }
    :: atomic { change_members(); reset_scratch() }
#endif
#if READS > 0
    :: atomic { begin_read(); reset_scratch() }
    :: atomic { ack_read(); reset_scratch() }
    :: atomic { end_read(); reset_scratch() }
#endif
#if TICKS > 0
    :: atomic { pass_time(); reset_scratch() }
#endif
    od
}
