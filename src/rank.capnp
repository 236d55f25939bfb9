# Protocol between the daemons beside the engine ranks of a group, their coordinator, its relays and
# the gateways. docs/PLATFORM.md traces a poll, an order and a load report through it.
#
# After a change run scripts/generate.sh; the generated code in src/generated is committed.
@0xd3a85e1c7f4b2096;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("archdyke::rpc");

# The last report of a rank's engine.
struct RankReport
{
	service @0 :Text;
	group @1 :Text;         # empty: the engine is in no group
	epoch @2 :UInt64;
	rank @3 :UInt32;
	ranks @4 :UInt32;       # size of the group
	open @5 :Bool;
	step @6 :UInt64;
	map @7 :UInt64;
	prepared @8 :UInt64;    # versions start at 1; 0: none
	armed @9 :UInt64;       # 0: none
	held @10 :UInt64;       # 0: none
	queued @11 :UInt32;
	active @12 :UInt32;
	countsEpoch @13 :UInt64;
	countsSample @14 :UInt64;  # number of this sample; 0: no counts
	countsSince @15 :UInt64;   # number of the previous sample; 0: this is the first one
	choices @16 :List(UInt8); # of each expert since that sample, set by set, shifted right by choicesShift
	choicesShift @17 :UInt8;
	pace @18 :Float32;      # time of a step relative to the declared time
}

# Who coordinates a group.
struct Coordination
{
	term @0 :UInt64;
	address @1 :Text;       # IP:port of the coordinator's process
	storeLost @2 :Bool;     # it can't reach the store
	group @3 :Text;         # a daemon of another group ignores the message
}

struct RankOrder
{
	kind @0 :UInt8;         # archdyke::RankOrderKind
	epoch @1 :UInt64;
	version @2 :UInt64;
	step @3 :UInt64;
	map @4 :PlacedExperts;  # only for a prepare order
}

# A map, given as its difference from a base map that the rank's daemon has: the map of a version that
# it received before, or the round-robin map for version 0.
struct PlacedExperts
{
	base @0 :UInt64;
	sets @1 :UInt32;
	experts @2 :UInt32;     # per set
	ranks @3 :UInt32;
	# Bits of a change, from the highest: 1 whether the expert is added, 8 set, 11 rank, 12 expert.
	changes @4 :List(UInt32);
}

# IPv4 address and port at which a process listens, in host byte order.
struct Endpoint
{
	ip @0 :UInt32;
	port @1 :UInt16;
}

# The members of a group: the addresses at which the engines accept requests, by rank.
struct Roster
{
	version @0 :UInt64;      # incremented by each change within a term; 0: unknown
	term @1 :UInt64;
	engines @2 :List(Endpoint);
}

# A rank whose steps take longer or shorter than declared.
struct RankPace
{
	rank @0 :UInt16;
	pace @1 :Float32;        # see RankReport
}

# News of a group from its coordinator, forwarded by relays. News are ordered by term, then by number.
struct GroupNews
{
	coordination @0 :Coordination;
	number @1 :UInt64;       # 0: no news yet
	ageMs @2 :UInt32;        # age since the coordinator made it, without the time on the wire
	open @3 :Bool;
	passMs @4 :Float32;
	rosterTerm @5 :UInt64;   # term of the roster that the loads refer to
	rosterVersion @6 :UInt64;
	loads @7 :Data;          # requests running and waiting, one byte per rank; 255: no recent report
	paces @8 :List(RankPace);
	gateways @9 :UInt32;     # number of gateways that poll daemons of the group
	proof @10 :ConfigurationProof;
}

# Number of gateways that poll some daemons, and their latest proof.
struct GatewayTally
{
	count @0 :UInt32;
	proof @1 :ConfigurationProof; # the latest one that any of them reported
}

# State that several ranks have in common; fields as in RankReport.
struct SharedState
{
	epoch @0 :UInt64;
	ranks @1 :UInt32;
	open @2 :Bool;
	map @3 :UInt64;
	prepared @4 :UInt64;
	armed @5 :UInt64;
	held @6 :UInt64;
	group @7 :Text;
}

# State of one of the daemons named in a query to a relay.
struct ChildState
{
	child @0 :UInt16;        # index in the query's list of engines
	shared @1 :UInt16;       # index in the response's list of shared states
	ageMs @2 :UInt16;        # age of the daemon's report
	rank @3 :UInt16;
	queued @4 :UInt16;
	active @5 :UInt16;
	stepsAhead @6 :UInt32;   # relative to leastStep of the response
	pace @7 :Float32;
}

# One order for several ranks.
struct OrderBatch
{
	order @0 :RankOrder;
	engines @1 :List(Endpoint);
}

struct ChildOutcome
{
	answered @0 :Bool;       # the daemon responded with an outcome
	accepted @1 :Bool;
	status @2 :UInt16;
	baseUnknown @3 :Bool;
}

# A row of a table that the coordinator follows in the store.
struct TableRow
{
	key @0 :Text;
	version @1 :UInt64;
	gone @2 :Bool;
	value @3 :Data;
}

# A row, given as its difference from a version that the receiver has.
struct RowDifference
{
	key @0 :Text;
	version @1 :UInt64;
	base @2 :UInt64;            # version of the row that the receiver has
	difference @3 :Data;        # format: archdyke/text_difference.h
}

# The coordinator's copy of a table, or its changes.
struct TableNews
{
	storeTime @0 :Int64;        # store clock at which this was the table's current state; 0: not known
	version @1 :UInt64;         # all changes up to this version are included
	whole @2 :Bool;             # true: all rows of the table; false: changes since the held version
	rows @3 :List(TableRow);
	differences @4 :List(RowDifference);
}

# Proof that at storeTime the operators' configuration had no change newer than changedAt.
struct ConfigurationProof
{
	changedAt @0 :UInt64;       # version in the store; 0: not known
	storeTime @1 :Int64;        # by the store's clock
}

# Versions that a receiver already has, so that they aren't sent again; 0: none.
struct HeldVersions
{
	rosterTerm @0 :UInt64;
	rosterVersion @1 :UInt64;
	operators @2 :UInt64;
	crashes @3 :UInt64;
	upstreams @4 :UInt64;
}

# News of a group, with the lists that their receiver lacks.
struct NewsBundle
{
	news @0 :GroupNews;
	roster @1 :Roster;          # version 0: not included
	operators @2 :TableNews;
	crashes @3 :TableNews;
	upstreams @4 :TableNews;
}

interface RankDaemon
{
	# Polls the rank's state and delivers the news of the group. The response tells a coordinator of an
	# older term about the newer one.
	# sample: the last sample of counts that the caller has, 0 for none; used if counts is set.
	# held: the versions that the daemon has, so that later news bring what it lacks.
	observe @0 (coordination :Coordination, counts :Bool, sample :UInt64, bundle :NewsBundle)
		-> (newest :Coordination, report :RankReport, gateways :GatewayTally, held :HeldVersions);

	# Asks a relay to poll the daemons of some engines. The relay responds once all daemons have
	# responded, or after patienceMs with what it has.
	# counted: how many engines, from the first one on, are asked for counts; the relay sums these up.
	relay @1 (coordination :Coordination, engines :List(Endpoint), patienceMs :UInt16, counted :UInt16, bundle :NewsBundle)
		-> (newest :Coordination, tookMs :UInt32, leastStep :UInt64, shared :List(SharedState), children :List(ChildState), choices :RankReport, choicesSpanMs :UInt32, gateways :GatewayTally, held :HeldVersions);

	# Sends an order to the engine. A daemon whose engine is in another group ignores it.
	# accepted: the engine began it or has already done it. status: the engine's HTTP status, 0 for none.
	# baseUnknown: the daemon lacks the base map of a prepare order, and nothing was sent to the engine.
	# report: the rank's state after the order, without counts; unset if the engine didn't report it.
	order @2 (term :UInt64, order :RankOrder, group :Text) -> (accepted :Bool, status :UInt16, baseUnknown :Bool, report :RankReport);

	# Asks a relay to send an order to the daemons of several engines in parallel.
	# outcomes: one for each engine of the batch. The other results are as in relay.
	relayOrders @3 (coordination :Coordination, batch :OrderBatch, patienceMs :UInt16)
		-> (outcomes :List(ChildOutcome), tookMs :UInt32, leastStep :UInt64, shared :List(SharedState), children :List(ChildState));

	# A gateway asks any daemon of a group for the coordinator's news, and reports its proof.
	# name: of the gateway; empty: it is searching for a group and isn't counted.
	# The response brings what the gateway lacks, and the newest coordinator.
	news @4 (name :Text, held :HeldVersions, proof :ConfigurationProof)
		-> (newest :Coordination, bundle :NewsBundle);

	# A daemon that hears no coordinator asks another daemon. If that one coordinates the group, it polls
	# the engine from then on.
	# heardMsAgo: time since the daemon last heard a coordinator that reaches the store; about 0 for the coordinator itself.
	join @5 (engine :Endpoint, group :Text) -> (newest :Coordination, coordinates :Bool, heardMsAgo :UInt32);
}
